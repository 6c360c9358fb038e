"""Replay a trace through the same planner code that the daemon runs."""

from collections import Counter
from collections.abc import Sequence

import attrs

from yuccavalve.ports import HostState
from yuccavalve.replicas.models import (
    Drain,
    Form,
    Move,
    PlanHost,
    PlanInput,
    Planner,
    Release,
    Replica,
    ReplicaHost,
    ReplicaState,
)
from yuccavalve.replicas.traces import TraceEvent, TraceHead

__all__ = ('Replay', 'ReplayFigures')

_STEP_S = 5.0
_DETECT_S = 6.0
_DRAIN_S = 20.0
_PRESET_KINDS = frozenset(('preset', 'preset_committed'))
_COUNTED = frozenset((ReplicaState.LOADING, ReplicaState.SERVING))


@attrs.define
class ReplayFigures:
    """Measurements of a replay.

    Attributes
    ----------
    downtime_replica_s
        Total time that wanted replicas did not serve.
    stranded_host_s
        Total time that hosts were held by a replica that did not serve.
    split_replica_s
        Total time that replicas served across fabric domains.
    floor_replica_s
        Downtime that no planner could have avoided with this input: missing
        hosts, detection and one load for each replica that broke, and one
        load for each replica of which a host left on schedule.
    """

    downtime_replica_s: float = 0
    stranded_host_s: float = 0
    split_replica_s: float = 0
    floor_replica_s: float = 0
    breaks: int = 0
    forms: int = 0
    drains: int = 0
    downtime_by_cause: Counter[str] = attrs.field(factory=Counter)

    def score(self, downtime_weight: float, stranded_weight: float) -> float:
        """Return the weighted sum of downtime and stranding; less is better."""
        return (
            downtime_weight * self.downtime_replica_s
            + stranded_weight * self.stranded_host_s
        )


@attrs.define
class _SimulatedReplica:
    """A replica of the simulation, with the progress of its load."""

    record: Replica
    split: bool = False
    loaded_s: float = 0
    since_s: float = 0
    broken_at_s: float | None = None


class Replay:
    """Simulation of hosts and loads that drives a planner with a trace."""

    def __init__(
        self,
        head: TraceHead,
        events: Sequence[TraceEvent],
        planner: Planner,
    ) -> None:
        """Start with all hosts free and present."""
        self.figures = ReplayFigures()
        self._head = head
        self._events = list(events)
        self._planner = planner
        self._groups = {group.name: group for group in head.groups}
        self._wanted = dict(head.wanted)
        self._states = dict.fromkeys(head.domains, HostState.LIVE)
        self._down: set[str] = set()
        self._replicas: dict[str, _SimulatedReplica] = {}
        self._incarnation = 0
        self._now_s: float = 0
        self._changed = True
        self._settled = True
        self._missing_since_s: dict[str, float] = {}

    def run(self, settle_s: float) -> ReplayFigures:
        """Replay the trace; the first ``settle_s`` are not measured."""
        self._now_s = -settle_s
        while self._now_s < self._head.until_s:
            self._apply_events()
            self._detect()
            if self._changed or self._missing_since_s:
                self._changed = False
                for move in self._planner.plan(self._facts()):
                    self._apply(move)
            self._advance_loads()
            self._finish_drains()
            if self._now_s >= 0:
                self._measure()
            self._now_s += _STEP_S
        return self.figures

    def _apply_events(self) -> None:
        while self._events and self._events[0].at_s <= self._now_s:
            self._apply_event(self._events.pop(0))

    def _apply_event(self, event: TraceEvent) -> None:
        self._changed = True
        if event.kind in _PRESET_KINDS:
            self._wanted = dict(event.wanted)
            self._settled = event.kind == 'preset'
        for host in event.hosts:
            if event.kind == 'down':
                self._down.add(host)
                self._break_replica_of(host)
            elif event.kind == 'up':
                self._down.discard(host)
                self._states[host] = HostState.LIVE
            elif event.kind == 'leaving':
                self._states[host] = HostState.LEAVING
                self._add_leaving_floor(host)

    def _add_leaving_floor(self, host: str) -> None:
        """Add one load to the floor: a replica drains before another loads."""
        for entry in self._replicas.values():
            held = any(each.host == host for each in entry.record.hosts)
            serving = entry.record.state is ReplicaState.SERVING
            if held and serving and self._now_s >= 0:
                self.figures.floor_replica_s += self._head.load_s

    def _break_replica_of(self, host: str) -> None:
        for entry in self._replicas.values():
            held = any(each.host == host for each in entry.record.hosts)
            if held and entry.broken_at_s is None:
                entry.broken_at_s = self._now_s
                serving = entry.record.state is ReplicaState.SERVING
                if serving and self._now_s >= 0:
                    self.figures.breaks += 1
                    needed_s = _DETECT_S + self._head.load_s
                    self.figures.floor_replica_s += needed_s

    def _detect(self) -> None:
        for entry in self._replicas.values():
            broken_at_s = entry.broken_at_s
            if broken_at_s is None:
                continue
            detected = entry.record.state is ReplicaState.BROKEN
            if not detected and self._now_s - broken_at_s >= _DETECT_S:
                self._changed = True
                entry.record = attrs.evolve(
                    entry.record,
                    state=ReplicaState.BROKEN,
                )

    def _facts(self) -> PlanInput:
        hosts = {
            name: PlanHost(name, name, domain, self._states[name])
            for name, domain in self._head.domains.items()
            if name not in self._down
        }
        return PlanInput(
            hosts=hosts,
            replicas=tuple(entry.record for entry in self._replicas.values()),
            groups=self._head.groups,
            wanted=self._wanted,
            max_loading=self._head.max_loading,
            missing_s=self._missing_s(),
            load_s=self._head.load_s,
            settled=self._settled,
        )

    def _missing_s(self) -> dict[str, float]:
        counts = Counter(
            entry.record.group
            for entry in self._replicas.values()
            if entry.record.state in _COUNTED
        )
        self._missing_since_s = {
            name: self._missing_since_s.get(name, self._now_s)
            for name, wanted in self._wanted.items()
            if counts[name] < wanted
        }
        return {
            name: self._now_s - since_s
            for name, since_s in self._missing_since_s.items()
        }

    def _apply(self, move: Move) -> None:
        self._changed = True
        match move:
            case Form():
                self._form(move)
            case Drain():
                entry = self._replicas[move.replica]
                entry.since_s = self._now_s
                entry.record = attrs.evolve(
                    entry.record,
                    state=ReplicaState.DRAINING,
                )
                self._count('drains')
            case Release():
                self._replicas.pop(move.replica)

    def _form(self, move: Form) -> None:
        self._incarnation += 1
        group = self._groups[move.group]
        name = f'{group.name}-{self._incarnation}'
        record = Replica(
            replica=name,
            group=group.name,
            model=group.model,
            incarnation=self._incarnation,
            slots=group.slots,
            state=ReplicaState.LOADING,
            hosts=tuple(
                ReplicaHost(host, host, self._head.domains[host])
                for host in move.hosts
            ),
        )
        self._replicas[name] = _SimulatedReplica(record, record.is_split)
        self._count('forms')

    def _count(self, name: str) -> None:
        if self._now_s >= 0:
            setattr(self.figures, name, getattr(self.figures, name) + 1)

    def _advance_loads(self) -> None:
        """Advance loads; too many at once share the weight store's rate."""
        loading = [
            entry
            for entry in self._replicas.values()
            if entry.record.state is ReplicaState.LOADING
            and entry.broken_at_s is None
        ]
        if not loading:
            return
        rate = min(1, self._head.full_rate_loads / len(loading))
        for entry in loading:
            entry.loaded_s += _STEP_S * rate
            if entry.loaded_s >= self._head.load_s:
                self._changed = True
                entry.record = attrs.evolve(
                    entry.record,
                    state=ReplicaState.SERVING,
                )

    def _finish_drains(self) -> None:
        for name, entry in list(self._replicas.items()):
            drained = entry.record.state is ReplicaState.DRAINING
            if drained and self._now_s - entry.since_s >= _DRAIN_S:
                self._changed = True
                self._replicas.pop(name)

    def _measure(self) -> None:
        serving: Counter[str] = Counter()
        for entry in self._replicas.values():
            intact = entry.broken_at_s is None
            if entry.record.state is ReplicaState.SERVING and intact:
                serving[entry.record.group] += 1
                if entry.split:
                    self.figures.split_replica_s += _STEP_S
            else:
                held_s = len(entry.record.hosts) * _STEP_S
                self.figures.stranded_host_s += held_s
        for group, wanted in self._wanted.items():
            missing = max(0, wanted - serving[group])
            self.figures.downtime_replica_s += missing * _STEP_S
            if missing:
                self._record_causes(group, missing)
        self._add_floor()

    def _record_causes(self, group: str, missing: int) -> None:
        """Attribute missing replicas to the states of the group's replicas."""
        states = [
            entry.record.state.value
            for entry in self._replicas.values()
            if entry.record.group == group
            and entry.record.state is not ReplicaState.SERVING
        ]
        for cause in states[:missing]:
            self.figures.downtime_by_cause[cause] += int(_STEP_S)
        waiting = max(0, missing - len(states))
        if waiting:
            self.figures.downtime_by_cause['waiting'] += int(waiting * _STEP_S)

    def _add_floor(self) -> None:
        """Add wanted replicas to the floor for which hosts are missing."""
        live = len(self._head.domains) - len(self._down)
        needed = sum(
            wanted * self._groups[name].hosts_per_replica
            for name, wanted in self._wanted.items()
        )
        span = max(group.hosts_per_replica for group in self._head.groups)
        short = -(-max(0, needed - live) // span)
        self.figures.floor_replica_s += short * _STEP_S
