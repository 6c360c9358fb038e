"""Choose what replicas to form next and what spares to warm."""

from collections import Counter
from collections.abc import Mapping, Sequence

from yuccavalve.formation.const import (
    BALANCE_MARGIN,
    BUSY_PART,
    HEAD_START,
    LEAST_RUNNING,
    MEASURED_WEIGHT,
    SCARCE_REPLICAS,
    SLOW_PENALTY_S,
    TAKEOVER_PENALTY_S,
)
from yuccavalve.formation.facts import (
    busy_part,
    cold_members,
    held_model,
    is_half_there,
)
from yuccavalve.formation.models import FormationInput
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.routing import ModelProfile

__all__ = (
    'Domains',
    'can_form',
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
        left = _without_needed(facts, usable, model, models[0], counts)
        members = _best_members(facts, left, model, counts)
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
    most = _coverage_after(facts, models[0], counts)
    for model in models:
        ahead = _coverage_after(facts, model, counts) > most * BALANCE_MARGIN
        if ahead and counts[model.name] >= SCARCE_REPLICAS:
            continue
        members = _best_members(facts, usable, model, counts)
        if members:
            return model, members
    return None


def can_form(
    facts: FormationInput,
    usable: Domains,
    model: ModelProfile,
    counts: Mapping[str, int],
) -> bool:
    """Tell whether some domain has the engines for a replica of a model."""
    return bool(_best_members(facts, usable, model, counts))


def _by_need(
    facts: FormationInput,
    counts: Mapping[str, int],
) -> list[ModelProfile]:
    return sorted(
        facts.models,
        key=lambda model: (
            model.name != facts.favoured,
            _coverage(facts, model, counts),
            -model.size,
        ),
    )


def _best_members(
    facts: FormationInput,
    usable: Domains,
    model: ModelProfile,
    counts: Mapping[str, int],
) -> list[EngineRecord]:
    """Return the engines that form a replica soonest; none if none can."""
    available = [
        _available(facts, records, model, counts) for records in usable.values()
    ]
    fitting = [
        _members(facts, records, model)
        for records in available
        if len(records) >= model.size
    ]
    largest = max(each.size for each in facts.models)
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
    facts: FormationInput,
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
    after = _coverage_after(facts, needy, counts)
    return after * 2 <= _coverage(facts, other, counts)


def _without_needed(
    facts: FormationInput,
    usable: Domains,
    model: ModelProfile,
    needy: ModelProfile,
    counts: Mapping[str, int],
) -> Domains:
    """Return the domains where a model may form without harm to another."""
    after = {**counts, model.name: counts[model.name] + 1}
    if model == needy or not _is_short(facts, needy, model, after):
        return usable
    return {
        domain: records
        for domain, records in usable.items()
        if not len(records) - model.size < needy.size <= len(records)
    }


def _coverage(
    facts: FormationInput,
    model: ModelProfile,
    counts: Mapping[str, int],
) -> float:
    """Return a model's replicas for its part of the work."""
    return counts.get(model.name, 0) / _work(facts, model)


def _coverage_after(
    facts: FormationInput,
    model: ModelProfile,
    counts: Mapping[str, int],
) -> float:
    with_one_more = {model.name: counts.get(model.name, 0) + 1}
    return _coverage(facts, model, with_one_more)


def _work(facts: FormationInput, model: ModelProfile) -> float:
    """Return a model's part of the work: as stated, and as it is now.

    What is stated counts in engines, what is measured in requests under way
    at replicas of equally many slots.
    """
    models = facts.models
    stated = sum(each.share / each.size for each in models)
    part = model.share / model.size / max(stated, _LEAST_SHARE)
    running = sum(facts.running.get(each.name, 0) for each in models)
    if running >= LEAST_RUNNING:
        measured = facts.running.get(model.name, 0) / running
        part += MEASURED_WEIGHT * (measured - part)
    return max(part, _LEAST_SHARE)


def _spoilt(free: int, model: ModelProfile, largest: int) -> int:
    """Return how many replicas of the largest model a domain then lacks."""
    return free // largest - (free - model.size) // largest


def _available(
    facts: FormationInput,
    records: Sequence[EngineRecord],
    model: ModelProfile,
    counts: Mapping[str, int],
) -> list[EngineRecord]:
    """Return the engines of a domain that a model may use.

    Those that hold half of another model's replica or more wait for the rest
    of it, unless their domain has too few engines for it, or this model
    lacks no more engines than that, or needs them more.
    """
    domain = records[0].fabric_domain
    held = Counter(held_model(facts, record) for record in records)
    lacking = model.size - held[model.name]
    held.update(facts.returning.get(domain, {}))
    in_domain = _engines_in(facts, domain)
    kept = {
        other.name
        for other in facts.models
        if is_half_there(other, held)
        and other.size <= in_domain
        and other.size - held[other.name] < lacking
    }
    kept -= {
        other.name
        for other in facts.models
        if other == model or _needs_more(facts, model, other, counts)
    }
    return [
        record for record in records if held_model(facts, record) not in kept
    ]


def _engines_in(facts: FormationInput, domain: str) -> int:
    """Count the engines of a domain that may serve."""
    return sum(
        each.fabric_domain == domain and not each.draining
        for each in facts.engines.values()
    )


def _needs_more(
    facts: FormationInput,
    model: ModelProfile,
    other: ModelProfile,
    counts: Mapping[str, int],
) -> bool:
    """Tell whether a model is busier than another one with one replica more."""
    busy = busy_part(facts, model, counts[model.name])
    after = busy_part(facts, other, counts[other.name] + 1)
    return busy > max(BUSY_PART, after)


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
    held = held_model(facts, record)
    retired = held == facts.retired.get(record.engine) == model.name
    if model.name in record.models or retired:
        return penalty_s
    if model.name in record.staged:
        return penalty_s + model.warm_s
    if held and held != model.name:
        penalty_s += TAKEOVER_PENALTY_S
    return penalty_s + model.load_s * (1 - HEAD_START * (held == model.name))
