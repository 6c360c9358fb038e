"""Build the status and burn report documents from one daemon's state."""

from typing import Any

import attrs

from yuccavalve.daemon.node import Node
from yuccavalve.observability.burn import objective_of
from yuccavalve.replicas import Replica

__all__ = ('burn_document', 'status_document')


def status_document(node: Node) -> dict[str, Any]:
    """Return members, replicas and configuration versions as JSON types."""
    now_s = node.clock.now_s()
    adoption = node.adoption
    configuration = adoption.configuration
    electorate = configuration.electorate
    return {
        'daemon': node.local_member.member,
        'version': configuration.version,
        'revision': configuration.revision,
        'accepted': adoption.is_accepted(configuration.version, now_s),
        'fresh': adoption.is_fresh(now_s),
        'control_bytes': {
            'peers': node.peers.control_bytes,
            'platform': node.platform_caller.control_bytes,
            'engines': node.engine_caller.control_bytes,
        },
        'preset_in_force': configuration.document.preset_in_force,
        'voters': [voter.name for voter in electorate.voters],
        'previous_voters': [voter.name for voter in electorate.previous],
        'members': _member_rows(node, now_s),
        'replicas': [
            _replica_row(node, record, now_s)
            for record in node.replicas.all_records()
        ],
    }


def burn_document(node: Node) -> dict[str, Any]:
    """Return this daemon's part of the burn report as JSON types.

    Sample times are relative to now, since monotonic clocks of different
    hosts can't be compared: a sample of a minute ago has ``at_s`` -60.
    """
    now_s = node.clock.now_s()
    samples = node.samples.samples(now_s)
    services = node.adoption.configuration.document.services
    classes = {(sample.service, sample.request_class) for sample in samples}
    return {
        'objectives': [
            attrs.asdict(objective_of(service, request_class))
            for service in services
            for service_name, request_class in sorted(classes)
            if service_name == service.name
        ],
        'samples': [
            {**attrs.asdict(sample), 'at_s': sample.at_s - now_s}
            for sample in samples
        ],
        'downtime_by_cause_s': dict(node.usage.downtime_by_cause_s),
        'stranded_host_s': node.usage.stranded_host_s,
    }


def _member_rows(node: Node, now_s: float) -> list[dict[str, Any]]:
    rows = []
    for member in node.roster.members():
        rows.append(
            {
                'member': member.member,
                'name': member.name,
                'region': member.region,
                'availability_zone': member.availability_zone,
                'caller_address': member.caller_address,
                'peer_address': member.peer_address,
                'alive': node.roster.is_live(member.member, now_s),
                'leaving': member.leaving,
                'version': node.adoption.version_of(member.name),
            },
        )
    return rows


def _replica_row(node: Node, record: Replica, now_s: float) -> dict[str, Any]:
    grant = node.grants.current(record.replica, record.incarnation, now_s)
    return {
        'replica': record.replica,
        'group': record.group,
        'state': record.state.value,
        'incarnation': record.incarnation,
        'hosts': [host.host for host in record.hosts],
        'split': record.is_split,
        'granted': grant is not None,
        'load': grant.load if grant else 0,
    }
