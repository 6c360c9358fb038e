"""The duty that keeps the electorate and sweeps members' rows."""

import uuid
from collections import Counter

import attrs

from yuccavalve.const import MEMBER_LEASE_S
from yuccavalve.daemon.node import Node
from yuccavalve.daemon.spread import async_push_configuration
from yuccavalve.membership import Lease, Member, next_electorate
from yuccavalve.membership.const import (
    ELECTORATE_DEAD_S,
    ELECTORATE_STABLE_S,
)

__all__ = ('ElectorateDuty',)


@attrs.define
class ElectorateDuty:
    """Adds live members to the electorate and removes dead ones."""

    node: Node
    _since_s: dict[str, float] = attrs.field(factory=dict)
    _missing_since_s: dict[str, float] = attrs.field(factory=dict)

    async def async_run_once(self, lease: Lease) -> None:
        """Commit the next electorate when there is one."""
        node = self.node
        now_s = node.clock.now_s()
        suspects = [
            member.member
            for member in node.roster.members()
            if not node.roster.is_alive(member.member, now_s)
        ]
        await node.registry.async_sweep(suspects, now_s, MEMBER_LEASE_S)
        present = node.adoption.configuration.electorate
        proposed = next_electorate(
            present,
            accepted=node.adoption.accepted(node.adoption.version, now_s),
            joined=self._joined(now_s),
            gone=self._gone(now_s),
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

    def lapse(self) -> None:
        """Forget since when members were seen or missing."""
        self._since_s = {}
        self._missing_since_s = {}

    def _joined(self, now_s: float) -> list[Member]:
        entries = self.node.roster.entries(now_s)
        names = {member.name for member in entries}
        self._since_s = {name: self._since_s.get(name, now_s) for name in names}
        stable = [
            member
            for member in entries
            if now_s - self._since_s[member.name] >= ELECTORATE_STABLE_S
        ]
        return _spread_over_zones(stable)

    def _gone(self, now_s: float) -> set[str]:
        node = self.node
        alive = {member.name for member in node.roster.live(now_s)}
        voters = node.adoption.configuration.electorate.voters
        missing = {voter.name for voter in voters} - alive
        self._missing_since_s = {
            name: self._missing_since_s.get(name, now_s) for name in missing
        }
        return {
            name
            for name, since_s in self._missing_since_s.items()
            if now_s - since_s >= ELECTORATE_DEAD_S
        }


def _spread_over_zones(members: list[Member]) -> list[Member]:
    """Order members so that each next one comes from another zone."""
    seen: Counter[str] = Counter()
    ranked = []
    for each in sorted(members, key=lambda entry: entry.name):
        seen[each.availability_zone] += 1
        ranked.append((seen[each.availability_zone], each.name, each))
    return [row[-1] for row in sorted(ranked, key=lambda row: row[:2])]
