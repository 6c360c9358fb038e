"""Bounds of what the records of engines may say."""

from collections.abc import Collection

from yuccavalve.checks import (
    MAX_UINT32,
    MAX_UINT64,
    check_address,
    check_id,
    check_name,
    check_number,
)
from yuccavalve.ports.fleet import EngineRecord, Membership

__all__ = ('check_membership', 'check_record')

_MAX_SLOTS = 65536
_MAX_MODELS = 256
# The year 2100. A record with a later start would hide those that the engine
# itself writes, since the latest start counts.
_MAX_BORN_MS = 4102444800000
_MS = 1000


def check_record(record: EngineRecord) -> None:
    """Raise ``ValueError`` unless all values of a record are within bounds.

    Their types have been checked before.
    """
    check_id(record.engine, 'engine')
    check_name(record.service, 'service')
    check_name(record.availability_zone, 'availability_zone')
    check_address(record.address, 'address')
    check_number(record.born_ms, 'born_ms', _MAX_BORN_MS)
    check_number(record.slots, 'slots', _MAX_SLOTS, 1)
    check_number(record.warmup_left_s, 'warmup_left_s', MAX_UINT32 // _MS)
    if record.fabric_domain:
        check_name(record.fabric_domain, 'fabric_domain')
    _check_models(record.models, 'models')
    _check_models(record.staged, 'staged')
    if record.membership is not None:
        check_membership(record.membership)


def check_membership(membership: Membership) -> None:
    """Raise ``ValueError`` unless a membership's values are within bounds."""
    check_name(membership.replica, 'replica')
    check_number(membership.epoch, 'epoch', MAX_UINT64)
    check_number(membership.rank, 'rank', MAX_UINT32)


def _check_models(models: Collection[str], field: str) -> None:
    check_number(len(models), field, _MAX_MODELS)
    for model in models:
        check_name(model, field)
