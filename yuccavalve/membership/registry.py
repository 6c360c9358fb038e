"""Keep members' rows in the table service."""

from collections.abc import Iterable
from types import MappingProxyType
from typing import Any

import attrs

from yuccavalve.checks import (
    MAX_UINT32,
    check_address,
    check_name,
    check_number,
)
from yuccavalve.exceptions import TransactionConflictError
from yuccavalve.membership.const import MEMBER_PREFIX, MEMBERS_REMOVED_KEY
from yuccavalve.membership.models import Member
from yuccavalve.observability.unreadable import UnreadableInputs
from yuccavalve.ports import Condition, Row, TableStore, Transaction, Write

__all__ = ('MemberRegistry', 'decode_members')

_TYPES = MappingProxyType(
    {field.name: field.type for field in attrs.fields(Member)}
)
_PEER_ADDRESS = 'peer_address'
_NAMES = ('member', 'name', 'region', 'availability_zone')
_ADDRESSES = (_PEER_ADDRESS, 'caller_address', 'relay_address')


def decode_members(
    rows: Iterable[Row], unreadable: UnreadableInputs | None = None
) -> list[Member]:
    """Return the members in rows; rows of another form are left out."""
    unreadable = unreadable or UnreadableInputs()
    members = []
    for row in rows:
        try:
            members.append(_decode_member(row.fields))
        except (TypeError, ValueError) as error:
            unreadable.record('member', row.key, str(row.version), error)
    return members


def _decode_member(fields: Any) -> Member:
    member = Member(**fields)
    for name, field_type in _TYPES.items():
        found = getattr(member, name)
        is_other_type = isinstance(found, bool) and field_type is not bool
        if is_other_type or not isinstance(found, field_type):
            raise TypeError(f'{name}: is of type {type(found)}')
    for name in _NAMES:
        check_name(getattr(member, name), name)
    for name in _ADDRESSES:
        address = getattr(member, name)
        if address or name == _PEER_ADDRESS:
            check_address(address, name)
    check_number(
        member.processor_millicores, 'processor_millicores', MAX_UINT32
    )
    return member


@attrs.define
class MemberRegistry:
    """Rows of members; those that are not renewed are removed.

    Each removal also writes the row ``MEMBERS_REMOVED_KEY``, so that daemons
    need to list the members again only after a removal.
    """

    table: TableStore
    _suspect_versions: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    async def async_write(self, member: Member) -> None:
        """Write this member's row; each write renews it."""
        write = Write(MEMBER_PREFIX + member.member, attrs.asdict(member))
        await self.table.async_transact(Transaction((), (write,)))

    async def async_remove(self, member: str) -> None:
        """Remove a member's row."""
        await self.table.async_transact(_removal(MEMBER_PREFIX + member, ()))

    async def async_list(self) -> list[Member]:
        """Return the registered members."""
        rows = await self.table.async_scan(MEMBER_PREFIX)
        return decode_members(rows)

    async def async_sweep(
        self,
        suspects: Iterable[str],
        now_s: float,
        expiry_s: float,
    ) -> list[str]:
        """Remove suspects' rows that are not renewed; return their ids.

        Parameters
        ----------
        suspects
            Ids of members that are not live.
        expiry_s
            Time for which a row must have stayed unchanged.
        """
        keys = [MEMBER_PREFIX + name for name in suspects]
        self._suspect_versions = {
            key: self._suspect_versions[key]
            for key in keys
            if key in self._suspect_versions
        }
        new_keys = [key for key in keys if key not in self._suspect_versions]
        await self._async_note_versions(new_keys, now_s)
        removed = []
        for key, (version, since_s) in list(self._suspect_versions.items()):
            if now_s - since_s < expiry_s:
                continue
            self._suspect_versions.pop(key)
            if await self._async_remove_unchanged(key, version):
                removed.append(key.removeprefix(MEMBER_PREFIX))
        return removed

    async def _async_note_versions(self, keys: list[str], now_s: float) -> None:
        if not keys:
            return
        rows = await self.table.async_read(keys)
        for key, row in rows.items():
            self._suspect_versions[key] = (row.version, now_s)

    async def _async_remove_unchanged(self, key: str, version: int) -> bool:
        condition = Condition(key, version)
        try:
            await self.table.async_transact(_removal(key, (condition,)))
        except TransactionConflictError:
            return False
        return True


def _removal(key: str, conditions: tuple[Condition, ...]) -> Transaction:
    removal = Write(MEMBERS_REMOVED_KEY, {'member': key})
    return Transaction(conditions, (Write(key, None), removal))
