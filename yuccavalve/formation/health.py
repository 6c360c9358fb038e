"""Detect open replicas that must be given up."""

import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from yuccavalve.fleet.const import MIN_STRIKES_STALLED, STALL_BUSY_S
from yuccavalve.formation.const import (
    DRAIN_MARGIN_S,
    ENGINE_SILENCE_S,
    LINGER_S,
)
from yuccavalve.formation.models import (
    FormationInput,
    GiveUpReason,
    ObservedReplica,
)
from yuccavalve.formation.observation import model_of
from yuccavalve.ports.fleet import EngineRecord, MemberState
from yuccavalve.routing import ModelProfile

__all__ = ('ReplicaHealth',)

_Spares = Mapping[str, Sequence[EngineRecord]]


@attrs.define
class ReplicaHealth:
    """Health checks of replicas by records, probes and requests.

    Attributes
    ----------
    drain_s
        How long an engine serves after it began to drain.
    """

    drain_s: float
    _draining_at_s: dict[str, float] = attrs.field(factory=dict)
    _struck_at_s: dict[str, float] = attrs.field(factory=dict)
    _has_begun: bool = False

    def update(self, facts: FormationInput, now_s: float) -> None:
        """Record since when engines have been leaving or have strikes.

        Those that leave at the first update may have done so for long, unless
        this daemon knows since when.
        """
        seen_at_s = {} if self._has_begun else facts.leaving_at_s
        unknown_s = now_s if self._has_begun else -math.inf
        self._has_begun = True
        self._struck_at_s = {
            engine: self._struck_at_s.get(engine, now_s)
            for engine, strikes in facts.strikes.items()
            if strikes
        }
        draining = {
            record.engine
            for record in (*facts.unlisted.values(), *facts.engines.values())
            if record.draining
        }
        self._draining_at_s = {
            engine: self._draining_at_s.get(
                engine, seen_at_s.get(engine, unknown_s)
            )
            for engine in draining | facts.withdrawn
        }

    def reason(
        self,
        facts: FormationInput,
        replica: ObservedReplica,
        spares: _Spares,
        now_s: float,
    ) -> GiveUpReason | None:
        """Return why a replica must be given up, or None."""
        state = replica.members[replica.head].state
        if state is not MemberState.OPEN:
            closes = state is MemberState.CLOSING
            return GiveUpReason(
                f'head engine is {state}, not open',
                facts.close_s if closes else 0,
            )
        model = model_of(facts, replica)
        if model is None:
            return None
        broken = self._broken_reason(facts, replica, model, now_s)
        if broken is not None:
            return broken
        deaf = facts.dead.intersection(replica.members, self._draining_at_s)
        if deaf:
            return GiveUpReason(
                f'{min(deaf)} no longer listens',
                min(facts.close_s, LINGER_S),
            )
        if replica.head not in facts.engines:
            return GiveUpReason(
                'head engine is no longer listed',
                self._serves_s(facts, replica.head, now_s),
                is_lost=replica.head not in self._draining_at_s,
            )
        return self._replacement_reason(facts, replica, model, spares, now_s)

    def _serves_s(
        self, facts: FormationInput, head: str, now_s: float
    ) -> float:
        """Return for how long a head engine can end its requests.

        One that does not leave serves until all of them have ended.
        """
        serves_s = self.serves_until_s(head) - now_s
        return max(0, min(facts.close_s, serves_s))

    def serves_until_s(self, head: str) -> float:
        """Return until when a head engine certainly takes orders.

        One whose record expired does not leave: it is cut off from the store.
        """
        draining_at_s = self._draining_at_s.get(head, math.inf)
        return draining_at_s + self.drain_s - DRAIN_MARGIN_S

    def _replacement_reason(
        self,
        facts: FormationInput,
        replica: ObservedReplica,
        model: ModelProfile,
        spares: _Spares,
        now_s: float,
    ) -> GiveUpReason | None:
        """Return why leaving or slow members must be replaced now, if so.

        They are replaced once enough spares that are not slow hold the model.
        Without such spares, the replica is given up shortly before a leaving
        head engine stops. Any other leaving member keeps running while its
        replica has work, so the replica serves until that member's record is
        removed.
        """
        has_strikes = facts.strikes.get(replica.head, 0) > 0
        outgoing = [
            engine
            for engine in replica.members
            if engine in self._draining_at_s
            or (has_strikes and engine in facts.slow)
        ]
        if not outgoing:
            return None
        serves_s = self._serves_s(facts, replica.head, now_s)
        if not serves_s:
            return GiveUpReason(f'head engine {replica.head} is leaving')
        domain = facts.engines[replica.head].fabric_domain
        warm_spares = [
            record
            for record in spares.get(domain, ())
            if record.engine not in facts.slow
            and model.name in record.staged.union(record.models)
        ]
        if len(warm_spares) < len(outgoing):
            return None
        condition = 'is slow' if outgoing[0] in facts.slow else 'leaves'
        return GiveUpReason(
            f'{outgoing[0]} {condition}, spare {warm_spares[0].engine} is warm',
            serves_s,
        )

    def _broken_reason(
        self,
        facts: FormationInput,
        replica: ObservedReplica,
        model: ModelProfile,
        now_s: float,
    ) -> GiveUpReason | None:
        """Return why a replica stands still, or None."""
        if len(replica.members) < model.size:
            return GiveUpReason(
                f'{len(replica.members)} of {model.size} members'
            )
        broken = self.standstill(facts, replica.head, replica.members, now_s)
        return GiveUpReason(broken, is_lost=True) if broken else None

    def standstill(
        self,
        facts: FormationInput,
        head: str,
        members: Iterable[str],
        now_s: float,
    ) -> str:
        """Return why a whole replica makes no progress, or an empty string.

        A leaving member that no longer listens still works for its replica.
        """
        dead = facts.dead.intersection(members) - self._draining_at_s.keys()
        if dead:
            return f'dead {min(dead)}'
        strikes = facts.strikes.get(head, 0)
        struck_s = now_s - self._struck_at_s.get(head, now_s)
        is_stalled = (
            strikes >= MIN_STRIKES_STALLED
            and struck_s >= ENGINE_SILENCE_S - STALL_BUSY_S
        )
        # A slow member explains the stalls; the replica makes progress.
        if is_stalled and facts.slow.isdisjoint(members):
            return 'replica stalled'
        return ''
