"""Duty that maintains the electorate and removes dead members' rows."""

import uuid
from collections import Counter

import attrs

from yuccavalve.const import MEMBER_LEASE_S
from yuccavalve.daemon.broadcast import async_push_configuration
from yuccavalve.daemon.node import Node
from yuccavalve.membership import Lease, Member
from yuccavalve.membership.electorate import next_electorate
from yuccavalve.membership.const import (
    ELECTORATE_DEAD_S,
    ELECTORATE_STABLE_S,
)

__all__ = ('ElectorateDuty',)


@attrs.define
class ElectorateDuty:
    """Adds live members to the electorate and removes dead ones."""

    node: Node
    _live_since_s: dict[str, float] = attrs.field(factory=dict)
    _missing_since_s: dict[str, float] = attrs.field(factory=dict)

    async def async_run_once(self, lease: Lease) -> None:
        """Remove rows of dead members and commit a changed electorate."""
        node = self.node
        now_s = node.clock.now_s()
        dead = [
            member.member
            for member in node.roster.members()
            if not node.roster.is_live(member.member, now_s)
        ]
        await node.registry.async_sweep(dead, now_s, MEMBER_LEASE_S)
        current = node.adoption.configuration.electorate
        proposed = next_electorate(
            current,
            accepted=node.adoption.is_accepted(node.adoption.version, now_s),
            candidates=self._stable_members(now_s),
            dead=self._dead_voters(now_s),
        )
        if proposed is None or not lease.is_held(node.clock.now_s()):
            return
        committed = await node.configurations.async_commit_electorate(
            node.adoption.configuration,
            proposed,
            uuid.uuid4().hex,
        )
        if committed is not None:
            await async_push_configuration(node, committed)

    def reset(self) -> None:
        """Discard since when members have been live or missing."""
        self._live_since_s = {}
        self._missing_since_s = {}

    def _stable_members(self, now_s: float) -> list[Member]:
        entries = self.node.roster.entries(now_s)
        names = {member.name for member in entries}
        self._live_since_s = {
            name: self._live_since_s.get(name, now_s) for name in names
        }
        stable = [
            member
            for member in entries
            if now_s - self._live_since_s[member.name] >= ELECTORATE_STABLE_S
        ]
        return _interleave_zones(stable)

    def _dead_voters(self, now_s: float) -> set[str]:
        node = self.node
        live = {member.name for member in node.roster.live(now_s)}
        voters = node.adoption.configuration.electorate.voters
        missing = {voter.name for voter in voters} - live
        self._missing_since_s = {
            name: self._missing_since_s.get(name, now_s) for name in missing
        }
        return {
            name
            for name, since_s in self._missing_since_s.items()
            if now_s - since_s >= ELECTORATE_DEAD_S
        }


def _interleave_zones(members: list[Member]) -> list[Member]:
    """Order members round-robin over availability zones."""
    count_by_zone: Counter[str] = Counter()
    ranked = []
    for member in sorted(members, key=lambda entry: entry.name):
        count_by_zone[member.availability_zone] += 1
        ranked.append(
            (count_by_zone[member.availability_zone], member.name, member)
        )
    return [row[-1] for row in sorted(ranked, key=lambda row: row[:2])]
