"""Move engines from less busy models to one that is short of replicas.

A replica that lost a member and has no spare in its domain must wait until an
engine is added there. If its model is the busier one, a replica of another
model in the same domain is given up instead, and its engines move. Before
that, they load the needed model onto their hosts while their replica serves.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

import attrs
from absl import logging

from yuccavalve.formation.choose import Domains, can_form
from yuccavalve.formation.const import (
    BUSY_PART,
    FAVOUR_S,
    FORMING_FACTOR,
    SHORTAGE_S,
)
from yuccavalve.formation.facts import (
    busy_part,
    domain_of,
    is_warm,
    model_of,
    replicas_of,
)
from yuccavalve.formation.loads import WeightLoads
from yuccavalve.formation.models import FormationInput, OrderTask, ReplicaFacts
from yuccavalve.ports.fleet import EngineRecord, GroupOrder, GroupOrderKind
from yuccavalve.routing import ModelProfile

__all__ = ('Move', 'Rebalancer')

_Replicas = Mapping[str, ReplicaFacts]


@attrs.frozen
class Move:
    """Move of engines from one or more replicas to another model.

    Attributes
    ----------
    donors
        Replicas that are given up once their engines hold the model.
    needy
        Model that gets the engines.
    engines
        Members of the donors that must load the model.
    give_up_at_s
        Monotonic time at which the move is cancelled.
    """

    donors: tuple[str, ...]
    needy: ModelProfile
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

    loads: WeightLoads
    _move: Move | None = None
    _favoured: str = ''
    _favoured_until_s: float = 0
    _short_since_s: float | None = None

    def clear(self) -> None:
        """Cancel the move that is in progress."""
        self._move = None
        self._short_since_s = None

    def step(
        self,
        facts: FormationInput,
        replicas: _Replicas,
        usable: Domains,
        counts: Mapping[str, int],
        now_s: float,
    ) -> tuple[str, ...]:
        """Return the replicas to give up now."""
        if self._move is None:
            self._begin(facts, replicas, usable, counts, now_s)
        move = self._move
        if move is None:
            return ()
        members = _members(facts, replicas, move)
        if members is None or now_s > move.give_up_at_s:
            self.clear()
            return ()
        if not all(is_warm(record, move.needy.name) for record in members):
            return ()
        self.clear()
        self._favoured = move.needy.name
        self._favoured_until_s = now_s + FAVOUR_S
        return move.donors

    def favoured(self, now_s: float) -> str:
        """Return the model that engines were just moved to, or nothing."""
        return self._favoured if now_s < self._favoured_until_s else ''

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
            if record is None or is_warm(record, self._move.needy.name):
                continue
            order = GroupOrder(
                GroupOrderKind.STAGE,
                model=self._move.needy.name,
                term=term,
            )
            yield OrderTask(record, order)

    def _begin(
        self,
        facts: FormationInput,
        replicas: _Replicas,
        usable: Domains,
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
        limit_s = move.needy.load_s * FORMING_FACTOR
        self._move = attrs.evolve(move, give_up_at_s=now_s + limit_s)
        logging.info(
            'event=engines_moving donors=%s model=%s engines=%s',
            ','.join(move.donors),
            move.needy.name,
            ','.join(move.engines),
        )


def choose_move(
    facts: FormationInput,
    replicas: _Replicas,
    usable: Domains,
    counts: Mapping[str, int],
) -> Move | None:
    """Return the move to the busiest model that needs the fewest loads.

    Return None if no model is short of replicas, or if every move would leave
    its donors' models busier than that model.
    """
    needy = max(
        facts.models,
        default=None,
        key=lambda model: busy_part(facts, model, counts[model.name]),
    )
    if needy is None:
        return None
    if busy_part(facts, needy, counts[needy.name]) <= BUSY_PART:
        return None
    donors: dict[str, list[ReplicaFacts]] = defaultdict(list)
    for given in replicas.values():
        if _may_give(facts, given, needy):
            donors[domain_of(facts, given)].append(given)
    moves = [
        _move_in(facts, usable.get(domain, ()), needy, offered)
        for domain, offered in donors.items()
    ]
    helpful = [move for move in moves if move and _helps(facts, move, counts)]
    # If available engines suffice for a replica, its last members are
    # loading already, so a move that needs further loads is of no use.
    if can_form(facts, usable, needy, counts):
        helpful = [move for move in helpful if not move.engines]
    return min(
        helpful,
        default=None,
        key=lambda move: (len(move.engines), len(move.donors)),
    )


def _may_give(
    facts: FormationInput,
    replica: ReplicaFacts,
    needy: ModelProfile,
) -> bool:
    model = model_of(facts, replica)
    if not replica.is_open or model is None or model == needy:
        return False
    return facts.engines.keys() >= replica.members.keys()


def _move_in(
    facts: FormationInput,
    free: Sequence[EngineRecord],
    needy: ModelProfile,
    donors: Sequence[ReplicaFacts],
) -> Move | None:
    """Return a move within a domain, preferably one without loads."""
    for count in range(1, len(donors) + 1):
        move = _move_of(facts, free, needy, donors[:count])
        if move is not None and not move.engines:
            return move
    for count in range(1, len(donors) + 1):
        move = _move_of(facts, free, needy, donors[:count])
        if move is not None:
            return move
    return None


def _move_of(
    facts: FormationInput,
    free: Sequence[EngineRecord],
    needy: ModelProfile,
    donors: Sequence[ReplicaFacts],
) -> Move | None:
    """Return the move that gives these replicas up, if they suffice."""
    members = [
        facts.engines[engine]
        for donor in donors
        for engine in sorted(donor.members)
    ]
    if len(free) + len(members) < needy.size:
        return None
    warm = sum(is_warm(each, needy.name) for each in (*free, *members))
    cold = [each.engine for each in members if not is_warm(each, needy.name)]
    return Move(
        tuple(donor.replica for donor in donors),
        needy,
        tuple(cold[: max(0, needy.size - warm)]),
    )


def _helps(
    facts: FormationInput,
    move: Move,
    counts: Mapping[str, int],
) -> bool:
    """Return whether a move leaves no donor's model busier than the needy.

    The needy model counts with one more replica. Each donor's model must also
    keep at least one replica.
    """
    replicas = replicas_of(facts)
    models = [model_of(facts, replicas[donor]) for donor in move.donors]
    busy = busy_part(facts, move.needy, counts[move.needy.name] + 1)
    for model in models:
        if model is None:
            return False
        left = counts[model.name] - models.count(model)
        if left < 1 or busy_part(facts, model, left) > busy:
            return False
    return True


def _members(
    facts: FormationInput,
    replicas: _Replicas,
    move: Move,
) -> list[EngineRecord] | None:
    """Return the engines that load the model, or None.

    None means that a donor is no longer open or an engine no longer listed.
    """
    donors = [replicas.get(donor) for donor in move.donors]
    if not all(donor is not None and donor.is_open for donor in donors):
        return None
    records = [facts.engines.get(engine) for engine in move.engines]
    found = [record for record in records if record is not None]
    return found if len(found) == len(records) else None
