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
class _Slot:
    """A simulated replica."""

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
        self._slots: dict[str, _Slot] = {}
        self._incarnation = 0
        self._now_s: float = 0
        self._changed = True
        self._settled = True
        self._short_since_s: dict[str, float] = {}

    def run(self, settle_s: float) -> ReplayFigures:
        """Replay the trace; the first ``settle_s`` are not measured."""
        self._now_s = -settle_s
        while self._now_s < self._head.until_s:
            self._take_events()
            self._detect()
            if self._changed or self._short_since_s:
                self._changed = False
                for move in self._planner.plan(self._facts()):
                    self._apply(move)
            self._load()
            self._end_drains()
            if self._now_s >= 0:
                self._measure()
            self._now_s += _STEP_S
        return self.figures

    def _take_events(self) -> None:
        while self._events and self._events[0].at_s <= self._now_s:
            self._take(self._events.pop(0))

    def _take(self, event: TraceEvent) -> None:
        self._changed = True
        if event.kind in _PRESET_KINDS:
            self._wanted = dict(event.wanted)
            self._settled = event.kind == 'preset'
        for host in event.hosts:
            if event.kind == 'down':
                self._down.add(host)
                self._break_holder(host)
            elif event.kind == 'up':
                self._down.discard(host)
                self._states[host] = HostState.LIVE
            elif event.kind == 'leaving':
                self._states[host] = HostState.LEAVING
                self._add_leaving_floor(host)

    def _add_leaving_floor(self, host: str) -> None:
        """Add one load to the floor: a replica drains before another loads."""
        for slot in self._slots.values():
            held = any(each.host == host for each in slot.record.hosts)
            serving = slot.record.state is ReplicaState.SERVING
            if held and serving and self._now_s >= 0:
                self.figures.floor_replica_s += self._head.load_s

    def _break_holder(self, host: str) -> None:
        for slot in self._slots.values():
            held = any(each.host == host for each in slot.record.hosts)
            if held and slot.broken_at_s is None:
                slot.broken_at_s = self._now_s
                serving = slot.record.state is ReplicaState.SERVING
                if serving and self._now_s >= 0:
                    self.figures.breaks += 1
                    needed_s = _DETECT_S + self._head.load_s
                    self.figures.floor_replica_s += needed_s

    def _detect(self) -> None:
        for slot in self._slots.values():
            broken_at_s = slot.broken_at_s
            if broken_at_s is None:
                continue
            known = slot.record.state is ReplicaState.BROKEN
            if not known and self._now_s - broken_at_s >= _DETECT_S:
                self._changed = True
                slot.record = attrs.evolve(
                    slot.record,
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
            replicas=tuple(slot.record for slot in self._slots.values()),
            groups=self._head.groups,
            wanted=self._wanted,
            max_loading=self._head.max_loading,
            missing_s=self._missing_s(),
            load_s=self._head.load_s,
            settled=self._settled,
        )

    def _missing_s(self) -> dict[str, float]:
        have = Counter(
            slot.record.group
            for slot in self._slots.values()
            if slot.record.state in _COUNTED
        )
        self._short_since_s = {
            name: self._short_since_s.get(name, self._now_s)
            for name, wanted in self._wanted.items()
            if have[name] < wanted
        }
        return {
            name: self._now_s - since_s
            for name, since_s in self._short_since_s.items()
        }

    def _apply(self, move: Move) -> None:
        self._changed = True
        match move:
            case Form():
                self._form(move)
            case Drain():
                slot = self._slots[move.replica]
                slot.since_s = self._now_s
                slot.record = attrs.evolve(
                    slot.record,
                    state=ReplicaState.DRAINING,
                )
                self._count('drains')
            case Release():
                self._slots.pop(move.replica)

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
        self._slots[name] = _Slot(record, record.is_split)
        self._count('forms')

    def _count(self, name: str) -> None:
        if self._now_s >= 0:
            setattr(self.figures, name, getattr(self.figures, name) + 1)

    def _load(self) -> None:
        """Advance loads; too many at once share the weight store's rate."""
        loading = [
            slot
            for slot in self._slots.values()
            if slot.record.state is ReplicaState.LOADING
            and slot.broken_at_s is None
        ]
        if not loading:
            return
        rate = min(1, self._head.full_rate_loads / len(loading))
        for slot in loading:
            slot.loaded_s += _STEP_S * rate
            if slot.loaded_s >= self._head.load_s:
                self._changed = True
                slot.record = attrs.evolve(
                    slot.record,
                    state=ReplicaState.SERVING,
                )

    def _end_drains(self) -> None:
        for name, slot in list(self._slots.items()):
            drained = slot.record.state is ReplicaState.DRAINING
            if drained and self._now_s - slot.since_s >= _DRAIN_S:
                self._changed = True
                self._slots.pop(name)

    def _measure(self) -> None:
        serving: Counter[str] = Counter()
        for slot in self._slots.values():
            whole = slot.broken_at_s is None
            if slot.record.state is ReplicaState.SERVING and whole:
                serving[slot.record.group] += 1
                if slot.split:
                    self.figures.split_replica_s += _STEP_S
            else:
                held_s = len(slot.record.hosts) * _STEP_S
                self.figures.stranded_host_s += held_s
        for group, wanted in self._wanted.items():
            missing = max(0, wanted - serving[group])
            self.figures.downtime_replica_s += missing * _STEP_S
            if missing:
                self._note_causes(group, missing)
        self._add_floor()

    def _note_causes(self, group: str, missing: int) -> None:
        """Attribute missing replicas to the states of the group's replicas."""
        states = [
            slot.record.state.value
            for slot in self._slots.values()
            if slot.record.group == group
            and slot.record.state is not ReplicaState.SERVING
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
