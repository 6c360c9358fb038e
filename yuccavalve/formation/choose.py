"""Choose what replicas to form next and what spares to warm."""

from collections.abc import Mapping, Sequence

from yuccavalve.formation.const import (
    BALANCE_MARGIN,
    SCARCE_REPLICAS,
    SLOW_PENALTY_S,
    TAKEOVER_PENALTY_S,
)
from yuccavalve.formation.facts import (
    cold_members,
    domain_of,
    held_model,
    model_of,
)
from yuccavalve.formation.models import FormationInput, ReplicaFacts
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.routing import ModelProfile

__all__ = (
    'choose_donor',
    'choose_next',
    'choose_ready',
)

_LEAST_SHARE = 0.01

Domains = Mapping[str, list[EngineRecord]]
Chosen = tuple[ModelProfile, list[EngineRecord]]


def choose_ready(
    facts: FormationInput,
    usable: Domains,
    counts: Mapping[str, int],
) -> Chosen | None:
    """Return the model and members of a replica that needs no load.

    Engines that hold a model are of no use to another one without a load,
    so only a model that has far too few replicas is left the engines that
    it could take over.
    """
    models = _by_need(facts, counts)
    for model in models:
        left = _without_needed(usable, model, models[0], counts)
        members = _best_members(facts, left, model)
        if members and not cold_members(members, model.name):
            return model, members
    return None


def choose_next(
    facts: FormationInput,
    usable: Domains,
    counts: Mapping[str, int],
) -> Chosen | None:
    """Return the model and members of the replica that is missed most.

    The model whose replicas are fewest for its share of the work goes
    first; a larger model goes first among equals, since its engines are
    harder to find together. A model that is ahead of it waits, so that
    engines that are still missing for the first are not taken from it.
    Members come from one fabric domain.
    """
    models = _by_need(facts, counts)
    if not models:
        return None
    most = _coverage_after(models[0], counts)
    for model in models:
        ahead = _coverage_after(model, counts) > most * BALANCE_MARGIN
        if ahead and counts[model.name] >= SCARCE_REPLICAS:
            continue
        members = _best_members(facts, usable, model)
        if members:
            return model, members
    return None


def choose_donor(
    facts: FormationInput,
    replicas: Mapping[str, ReplicaFacts],
    usable: Domains,
    counts: Mapping[str, int],
) -> ReplicaFacts | None:
    """Return a replica to give up so that another model can form one.

    The other model must have far too few, and the donor's model must keep at
    least one.
    """
    profile = facts.service.engine
    if profile is None:
        return None
    needy = min(profile.models, key=lambda model: _coverage(model, counts))
    for replica in replicas.values():
        model = model_of(facts, replica)
        if not replica.is_open or model is None or model == needy:
            continue
        free = usable.get(domain_of(facts, replica), ())
        fits = len(free) + len(replica.members) >= needy.size
        if fits and _is_short(needy, model, counts):
            return replica
    return None


def _by_need(
    facts: FormationInput,
    counts: Mapping[str, int],
) -> list[ModelProfile]:
    profile = facts.service.engine
    models = () if profile is None else profile.models
    return sorted(
        models,
        key=lambda model: (_coverage(model, counts), -model.size),
    )


def _best_members(
    facts: FormationInput,
    usable: Domains,
    model: ModelProfile,
) -> list[EngineRecord]:
    """Return the engines that form a replica soonest; none if none can."""
    fitting = [
        _members(facts, records, model)
        for records in usable.values()
        if len(records) >= model.size
    ]
    profile = facts.service.engine
    sizes = [] if profile is None else [each.size for each in profile.models]
    largest = max(sizes, default=model.size)
    return min(
        fitting,
        default=[],
        key=lambda members: (
            cold_members(members, model.name),
            _spoilt(len(usable[members[0].fabric_domain]), model, largest),
            members[0].fabric_domain,
        ),
    )


def _is_short(
    needy: ModelProfile,
    other: ModelProfile,
    counts: Mapping[str, int],
) -> bool:
    """Tell whether a model has far too few replicas against another.

    That is when it would have less than half of the other's for its share
    of the work even with one more, or when it has none.
    """
    if not counts[needy.name]:
        return counts[other.name] > 1
    return _coverage_after(needy, counts) * 2 <= _coverage(other, counts)


def _without_needed(
    usable: Domains,
    model: ModelProfile,
    needy: ModelProfile,
    counts: Mapping[str, int],
) -> Domains:
    """Return the domains where a model may form without harm to another."""
    after = {**counts, model.name: counts[model.name] + 1}
    if model == needy or not _is_short(needy, model, after):
        return usable
    return {
        domain: records
        for domain, records in usable.items()
        if not len(records) - model.size < needy.size <= len(records)
    }


def _coverage(model: ModelProfile, counts: Mapping[str, int]) -> float:
    return (
        counts.get(model.name, 0) * model.size / max(model.share, _LEAST_SHARE)
    )


def _coverage_after(model: ModelProfile, counts: Mapping[str, int]) -> float:
    return _coverage(model, {model.name: counts.get(model.name, 0) + 1})


def _spoilt(free: int, model: ModelProfile, largest: int) -> int:
    """Return how many replicas of the largest model a domain then lacks."""
    return free // largest - (free - model.size) // largest


def _members(
    facts: FormationInput,
    records: Sequence[EngineRecord],
    model: ModelProfile,
) -> list[EngineRecord]:
    """Return the engines of a domain that are ready soonest."""
    ranked = sorted(
        records,
        key=lambda each: (_wait_s(facts, each, model), each.engine),
    )
    return ranked[: model.size]


def _wait_s(
    facts: FormationInput,
    record: EngineRecord,
    model: ModelProfile,
) -> float:
    """Return how long an engine takes to join.

    One that is loading another model ends that first, and one that holds
    another model is of use to that. A slow one, which would slow the whole
    replica down, comes after all others.
    """
    penalty_s = SLOW_PENALTY_S * (record.engine in facts.slow)
    if model.name in record.models:
        return penalty_s
    if model.name in record.staged:
        return penalty_s + model.warm_s
    if facts.warming.get(record.engine) == model.name:
        return penalty_s + model.load_s
    if facts.warming.get(record.engine) or held_model(facts, record):
        penalty_s += TAKEOVER_PENALTY_S
    return penalty_s + model.load_s
