"""Move engines from less busy models to one that is short of replicas.

A replica that lost a member and has no spare in its domain must wait until an
engine is added there. If its model is the busier one, a replica of another
model in the same domain is given up instead, and its engines move. Before
that, they load the needed model onto their hosts while their replica serves.
"""

from collections import defaultdict
from collections.abc import Collection, Iterator, Mapping, Sequence

import attrs
from absl import logging

from yuccavalve.formation.const import (
    BUSY_SLOT_FRACTION,
    FORMING_FACTOR,
    MODEL_PRIORITY_S,
    SHORTAGE_S,
)
from yuccavalve.formation.load_rate import LoadRateLimiter
from yuccavalve.formation.models import (
    FormationInput,
    ObservedReplica,
    OrderTask,
)
from yuccavalve.formation.observation import (
    domain_of,
    is_warm,
    model_of,
    replicas_of,
    slot_usage,
)
from yuccavalve.formation.selection import EnginesByDomain, can_form
from yuccavalve.ports.fleet import EngineRecord, GroupOrder, GroupOrderKind
from yuccavalve.routing import ModelProfile

__all__ = ('EngineMove', 'Rebalancer')

_Replicas = Mapping[str, ObservedReplica]


@attrs.frozen
class EngineMove:
    """Move of engines from one or more replicas to another model.

    Attributes
    ----------
    donors
        Replicas that are given up once their engines hold the model.
    recipient
        Model that gets the engines.
    engines
        Members of the donors that must load the model.
    give_up_at_s
        Monotonic time at which the move is cancelled.
    """

    donors: tuple[str, ...]
    recipient: ModelProfile
    engines: tuple[str, ...]
    give_up_at_s: float = 0


@attrs.define
class Rebalancer:
    """Starts and finishes moves, one at a time.

    Attributes
    ----------
    loads
        Rate limit of loads from the weight store, shared by all parts of the
        planner.
    """

    loads: LoadRateLimiter
    _move: EngineMove | None = None
    _priority_model: str = ''
    _priority_until_s: float = 0
    _short_since_s: float | None = None
    _donors: tuple[str, ...] = ()

    def clear(self) -> None:
        """Cancel the move that is in progress."""
        self._move = None
        self._short_since_s = None
        self._donors = ()

    def is_waiting(self, retiring: Collection[str], now_s: float) -> bool:
        """Return whether donors still end the requests that they run.

        The model that gets their engines keeps its priority meanwhile.
        """
        is_waiting = any(donor in retiring for donor in self._donors)
        if is_waiting:
            self._priority_until_s = now_s + MODEL_PRIORITY_S
        return is_waiting

    def step(
        self,
        facts: FormationInput,
        replicas: _Replicas,
        usable: EnginesByDomain,
        counts: Mapping[str, int],
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the replicas to give up now."""
        if self._move is None:
            self._begin(facts, replicas, usable, counts, now_s)
        move = self._move
        if move is None:
            return ()
        members = _moving_engines(facts, replicas, move)
        if members is None or now_s > move.give_up_at_s:
            self.clear()
            return ()
        if not all(is_warm(record, move.recipient.name) for record in members):
            return ()
        self.clear()
        self._donors = move.donors
        self._priority_model = move.recipient.name
        self._priority_until_s = now_s + MODEL_PRIORITY_S
        return move.donors

    def priority_model(self, now_s: float) -> str:
        """Return the model that engines just moved to, or an empty string."""
        return self._priority_model if now_s < self._priority_until_s else ''

    def tasks(
        self,
        facts: FormationInput,
        term: int,
    ) -> Iterator[OrderTask]:
        """Yield the orders to stage the needed model on hosts."""
        if self._move is None:
            return
        for engine in self._move.engines:
            record = facts.engines.get(engine)
            if record is None or is_warm(record, self._move.recipient.name):
                continue
            order = GroupOrder(
                GroupOrderKind.STAGE,
                model=self._move.recipient.name,
                term=term,
            )
            yield OrderTask(record, order)

    def _begin(
        self,
        facts: FormationInput,
        replicas: _Replicas,
        usable: EnginesByDomain,
        counts: Mapping[str, int],
        now_s: float,
    ) -> None:
        move = choose_move(facts, replicas, usable, counts)
        if move is None:
            self._short_since_s = None
            return
        if self._short_since_s is None:
            self._short_since_s = now_s
        if now_s - self._short_since_s < SHORTAGE_S:
            return
        count = len(move.engines)
        if not self.loads.may_start(facts, count, now_s):
            return
        self.loads.start(count, now_s)
        limit_s = move.recipient.load_s * FORMING_FACTOR
        self._move = attrs.evolve(move, give_up_at_s=now_s + limit_s)
        logging.info(
            'event=engines_moving donors=%s model=%s engines=%s',
            ','.join(move.donors),
            move.recipient.name,
            ','.join(move.engines),
        )


def choose_move(
    facts: FormationInput,
    replicas: _Replicas,
    usable: EnginesByDomain,
    counts: Mapping[str, int],
) -> EngineMove | None:
    """Return the move to the busiest model that needs the fewest loads.

    Return None if no model is short of replicas, or if every move would leave
    its donors' models busier than that model.
    """
    recipient = max(
        facts.joinable_models,
        default=None,
        key=lambda model: slot_usage(facts, model, counts[model.name]),
    )
    if recipient is None:
        return None
    if (
        slot_usage(facts, recipient, counts[recipient.name])
        <= BUSY_SLOT_FRACTION
    ):
        return None
    donors: dict[str, list[ObservedReplica]] = defaultdict(list)
    for donor in replicas.values():
        if _may_donate(facts, donor, recipient):
            donors[domain_of(facts, donor)].append(donor)
    moves = [
        _move_in_domain(facts, usable.get(domain, ()), recipient, domain_donors)
        for domain, domain_donors in donors.items()
    ]
    helpful = [
        move for move in moves if move and _is_helpful(facts, move, counts)
    ]
    # If available engines suffice for a replica, its last members are
    # loading already, so a move that needs further loads is of no use.
    if can_form(facts, usable, recipient, counts):
        helpful = [move for move in helpful if not move.engines]
    return min(
        helpful,
        default=None,
        key=lambda move: (len(move.engines), len(move.donors)),
    )


def _may_donate(
    facts: FormationInput,
    replica: ObservedReplica,
    recipient: ModelProfile,
) -> bool:
    model = model_of(facts, replica)
    if not replica.is_open or model is None or model == recipient:
        return False
    if facts.is_evacuated(replica.head):
        return False
    return facts.engines.keys() >= replica.members.keys()


def _move_in_domain(
    facts: FormationInput,
    usable: Sequence[EngineRecord],
    recipient: ModelProfile,
    donors: Sequence[ObservedReplica],
) -> EngineMove | None:
    """Return a move within a domain, preferably one without loads."""
    for count in range(1, len(donors) + 1):
        move = _move_from(facts, usable, recipient, donors[:count])
        if move is not None and not move.engines:
            return move
    for count in range(1, len(donors) + 1):
        move = _move_from(facts, usable, recipient, donors[:count])
        if move is not None:
            return move
    return None


def _move_from(
    facts: FormationInput,
    usable: Sequence[EngineRecord],
    recipient: ModelProfile,
    donors: Sequence[ObservedReplica],
) -> EngineMove | None:
    """Return the move that gives these replicas up, if they suffice."""
    members = [
        facts.engines[engine]
        for donor in donors
        for engine in sorted(donor.members)
    ]
    if len(usable) + len(members) < recipient.size:
        return None
    warm = sum(is_warm(each, recipient.name) for each in (*usable, *members))
    cold = [
        each.engine for each in members if not is_warm(each, recipient.name)
    ]
    return EngineMove(
        tuple(donor.replica for donor in donors),
        recipient,
        tuple(cold[: max(0, recipient.size - warm)]),
    )


def _is_helpful(
    facts: FormationInput,
    move: EngineMove,
    counts: Mapping[str, int],
) -> bool:
    """Return whether no donor's model gets busier than the recipient.

    The recipient counts with one more replica. Each donor's model must also
    keep at least one replica.
    """
    replicas = replicas_of(facts)
    models = [model_of(facts, replicas[donor]) for donor in move.donors]
    busy = slot_usage(facts, move.recipient, counts[move.recipient.name] + 1)
    for model in models:
        if model is None:
            return False
        remaining = counts[model.name] - models.count(model)
        if remaining < 1 or slot_usage(facts, model, remaining) > busy:
            return False
    return True


def _moving_engines(
    facts: FormationInput,
    replicas: _Replicas,
    move: EngineMove,
) -> list[EngineRecord] | None:
    """Return the engines that load the model, or None.

    None means that a donor is no longer open, that its zone is evacuated, or
    that an engine is no longer listed.
    """
    donors = [replicas.get(donor) for donor in move.donors]
    if not all(
        donor is not None
        and donor.is_open
        and not facts.is_evacuated(donor.head)
        for donor in donors
    ):
        return None
    records = [facts.engines.get(engine) for engine in move.engines]
    listed = [record for record in records if record is not None]
    return listed if len(listed) == len(records) else None
