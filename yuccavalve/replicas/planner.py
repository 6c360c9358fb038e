"""Plan which replicas to form, drain and release.

Hosts are claimed only as a complete set and only when loading can begin, since
a host that waits for others or for the weight store is stranded. A split
replica is replaced before it is drained if there are enough free hosts.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable

import attrs

from yuccavalve.configuration.models import Group
from yuccavalve.ports import HostState
from yuccavalve.replicas.models import (
    Drain,
    Form,
    Move,
    PlanHost,
    PlanInput,
    Release,
    Replica,
    ReplicaState,
)

__all__ = ('ReplicaPlanner',)

_STARTING = frozenset((ReplicaState.FORMING, ReplicaState.LOADING))
_COUNTED = _STARTING | {ReplicaState.SERVING}


@attrs.define
class _FreeHosts:
    """Free hosts by fabric domain."""

    by_domain: dict[str, list[PlanHost]]

    def take_from_one_domain(self, count: int) -> tuple[str, ...] | None:
        """Take hosts from the smallest single domain that has enough."""
        fitting = [
            (len(hosts), domain)
            for domain, hosts in self.by_domain.items()
            if len(hosts) >= count
        ]
        if not fitting:
            return None
        _, domain = min(fitting)
        return self._take(domain, count)

    def take_from_several(self, count: int) -> tuple[str, ...] | None:
        """Take hosts from as few domains as possible."""
        total = sum(len(hosts) for hosts in self.by_domain.values())
        if total < count:
            return None
        taken: tuple[str, ...] = ()
        largest_first = sorted(
            self.by_domain,
            key=lambda domain: (-len(self.by_domain[domain]), domain),
        )
        for domain in largest_first:
            domain_count = min(count - len(taken), len(self.by_domain[domain]))
            taken += self._take(domain, domain_count)
        return taken

    def add(self, hosts: Iterable[PlanHost]) -> None:
        """Add free hosts."""
        for host in hosts:
            self.by_domain.setdefault(host.fabric_domain, []).append(host)

    def _take(self, domain: str, count: int) -> tuple[str, ...]:
        hosts = self.by_domain[domain]
        self.by_domain[domain] = hosts[count:]
        return tuple(host.host for host in hosts[:count])


@attrs.frozen
class ReplicaPlanner:
    """Planner that may form replicas across fabric domains.

    Attributes
    ----------
    allow_split
        Whether a replica may span fabric domains if no domain has enough
        free hosts.
    """

    allow_split: bool = True

    def plan(self, facts: PlanInput) -> list[Move]:
        """Return the moves to make now, the most urgent first."""
        return _Plan(facts, allow_split=self.allow_split).moves()


class _Plan:
    def __init__(self, facts: PlanInput, *, allow_split: bool) -> None:
        self._facts = facts
        self._allow_split = allow_split
        self._groups = {group.name: group for group in facts.groups}
        self._broken = [
            replica
            for replica in facts.replicas
            if replica.state is ReplicaState.BROKEN
        ]
        self._counted = [
            replica for replica in facts.replicas if replica.state in _COUNTED
        ]
        self._leaving = [
            replica for replica in self._counted if self._is_leaving(replica)
        ]
        self._counted = [
            replica for replica in self._counted if replica not in self._leaving
        ]
        self._is_any_draining = any(
            replica.state is ReplicaState.DRAINING for replica in facts.replicas
        )
        self._free = self._free_hosts()
        loading = sum(replica.state in _STARTING for replica in facts.replicas)
        self._load_budget = max(0, facts.max_loading - loading)

    def moves(self) -> list[Move]:
        """Return all moves, the most urgent first."""
        releases = [Release(replica.replica) for replica in self._broken]
        drains: list[Move] = [
            Drain(replica.replica) for replica in self._leaving
        ]
        drains.extend(self._shrink())
        self._is_any_draining = self._is_any_draining or bool(drains)
        forms = self._form_missing()
        return [*releases, *drains, *forms, *self._replace_split_replicas()]

    def _free_hosts(self) -> _FreeHosts:
        held = {
            host.host
            for replica in self._facts.replicas
            if replica.state is not ReplicaState.BROKEN
            for host in replica.hosts
        }
        free = _FreeHosts({})
        free.add(
            self._facts.hosts[name]
            for name in sorted(self._facts.hosts)
            if name not in held
            and self._facts.hosts[name].state is HostState.LIVE
        )
        return free

    def _shrink(self) -> list[Move]:
        if not self._facts.settled:
            return []
        moves: list[Move] = []
        for group, replicas in self._by_group().items():
            wanted = self._facts.wanted.get(group, 0)
            moves.extend(self._shrink_group(replicas, wanted))
        return moves

    def _shrink_group(self, replicas: list[Replica], wanted: int) -> list[Move]:
        """Drain surplus replicas, except replacements that still load."""
        starting = [entry for entry in replicas if entry.state in _STARTING]
        serving = [entry for entry in replicas if entry.state not in _STARTING]
        to_replace = sum(entry.is_split for entry in serving)
        needed = max(0, wanted - len(serving)) + min(to_replace, wanted)
        starting.sort(key=lambda entry: entry.incarnation)
        serving.sort(key=self._keep_order)
        drained = starting[needed:] + serving[wanted:]
        self._counted = [
            entry for entry in self._counted if entry not in drained
        ]
        return [Drain(replica.replica) for replica in drained]

    def _keep_order(self, replica: Replica) -> tuple[bool, int]:
        """Return a sort key; replicas to keep come first."""
        return (replica.is_split, replica.incarnation)

    def _form_missing(self) -> list[Move]:
        counts = Counter(replica.group for replica in self._counted)
        moves: list[Move] = []
        while self._load_budget > 0:
            move = self._form_most_urgent(counts)
            if move is None:
                break
            moves.append(move)
            counts[move.group] += 1
            self._load_budget -= 1
        return moves

    def _form_most_urgent(self, counts: Counter[str]) -> Form | None:
        ranked = sorted(
            (self._urgency(group, counts[group.name]), group.name)
            for group in self._groups.values()
        )
        for _, name in ranked:
            group = self._groups[name]
            if counts[group.name] >= self._facts.wanted.get(group.name, 0):
                continue
            hosts = self._free.take_from_one_domain(group.hosts_per_replica)
            if hosts is None and self._may_split(group):
                hosts = self._free.take_from_several(group.hosts_per_replica)
            if hosts is not None:
                return Form(group.name, hosts)
        return None

    def _may_split(self, group: Group) -> bool:
        """Return whether to form a split replica rather than wait.

        A split replica is replaced later, which strands its hosts for one
        more load. So a group waits until the downtime has cost as much as
        that load will (as in the ski rental problem). It also waits while
        any replica drains, since its hosts become free soon.
        """
        if not self._allow_split or self._is_any_draining:
            return False
        waited_s = self._facts.missing_s.get(group.name, 0)
        waited = group.downtime_weight * waited_s
        held_host_s = group.hosts_per_replica * self._facts.load_s
        return waited >= group.stranded_weight * held_host_s

    def _urgency(self, group: Group, count: int) -> float:
        wanted = self._facts.wanted.get(group.name, 0)
        missing_share = (wanted - count) / max(1, wanted)
        return -group.downtime_weight * missing_share

    def _replace_split_replicas(self) -> list[Move]:
        """Form replacements of split replicas within a single domain."""
        moves: list[Move] = []
        for replica in self._counted:
            serving = replica.state is ReplicaState.SERVING
            if (
                serving
                and replica.is_split
                and not self._has_successor(replica)
            ):
                moves.extend(self._replace_split(replica))
        return moves

    def _replace_split(self, replica: Replica) -> list[Move]:
        group = self._groups.get(replica.group)
        if group is None or self._load_budget <= 0:
            return []
        hosts = self._free.take_from_one_domain(group.hosts_per_replica)
        if hosts is None:
            return []
        self._load_budget -= 1
        return [Form(group.name, hosts)]

    def _has_successor(self, replica: Replica) -> bool:
        """Return whether a replacement exists already."""
        count = sum(entry.group == replica.group for entry in self._counted)
        return count > self._facts.wanted.get(replica.group, 0)

    def _is_leaving(self, replica: Replica) -> bool:
        return any(
            host.host in self._facts.hosts
            and self._facts.hosts[host.host].state is HostState.LEAVING
            for host in replica.hosts
        )

    def _by_group(self) -> dict[str, list[Replica]]:
        groups: dict[str, list[Replica]] = defaultdict(list)
        for replica in self._counted:
            groups[replica.group].append(replica)
        return groups
