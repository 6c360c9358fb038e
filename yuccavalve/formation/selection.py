"""Select the model and the members of the next replica."""

from collections import Counter
from collections.abc import Mapping, Sequence

from yuccavalve.formation.const import (
    BALANCE_MARGIN,
    BUSY_SLOT_FRACTION,
    LOAD_DONE_FRACTION,
    MEASURED_WEIGHT,
    MIN_REPLICAS,
    MIN_RUNNING,
    SLOW_PENALTY_S,
    TAKEOVER_PENALTY_S,
)
from yuccavalve.formation.models import FormationInput
from yuccavalve.formation.observation import (
    cold_members,
    held_model,
    is_half_warm,
    slot_usage,
)
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.routing import ModelProfile

__all__ = (
    'EnginesByDomain',
    'can_form',
    'choose_next',
    'choose_warm',
)

_MIN_SHARE = 0.01

EnginesByDomain = Mapping[str, list[EngineRecord]]
Chosen = tuple[ModelProfile, list[EngineRecord]]


def choose_warm(
    facts: FormationInput,
    usable: EnginesByDomain,
    counts: Mapping[str, int],
) -> Chosen | None:
    """Return the model and members of a replica that needs no load.

    Engines that hold one model can serve another only after a load, so they
    are used for their own model. They are kept for the neediest model
    only if it has far too few replicas.
    """
    models = _by_need(facts, counts)
    for model in models:
        remaining = _without_reserved(facts, usable, model, models[0], counts)
        members = _best_members(facts, remaining, model, counts)
        if members and not cold_members(members, model.name):
            return model, members
    return None


def choose_next(
    facts: FormationInput,
    usable: EnginesByDomain,
    counts: Mapping[str, int],
) -> Chosen | None:
    """Return the model and members of the replica that is needed most.

    The model with the fewest replicas for its share of the work goes first.
    Among equals it is the larger model, since enough engines in one domain
    are harder to find. A model that is ahead of the first waits, so that it
    doesn't take engines that the first still needs. All members are in one
    fabric domain.
    """
    models = _by_need(facts, counts)
    if not models:
        return None
    neediest_coverage = _coverage_after(facts, models[0], counts)
    for model in models:
        ahead = (
            _coverage_after(facts, model, counts)
            > neediest_coverage * BALANCE_MARGIN
        )
        if ahead and counts[model.name] >= MIN_REPLICAS:
            continue
        members = _best_members(facts, usable, model, counts)
        if members:
            return model, members
    return None


def can_form(
    facts: FormationInput,
    usable: EnginesByDomain,
    model: ModelProfile,
    counts: Mapping[str, int],
) -> bool:
    """Return whether some domain has the engines for a replica."""
    return bool(_best_members(facts, usable, model, counts))


def _by_need(
    facts: FormationInput,
    counts: Mapping[str, int],
) -> list[ModelProfile]:
    return sorted(
        facts.joinable_models,
        key=lambda model: (
            model.name != facts.priority_model,
            _coverage(facts, model, counts),
            -model.size,
        ),
    )


def _best_members(
    facts: FormationInput,
    usable: EnginesByDomain,
    model: ModelProfile,
    counts: Mapping[str, int],
) -> list[EngineRecord]:
    """Return the members that need the fewest loads, or none if too few."""
    available = [
        _available(facts, records, model, counts) for records in usable.values()
    ]
    fitting = [
        _fastest_members(facts, records, model)
        for records in available
        if len(records) >= model.size
    ]
    largest = max(each.size for each in facts.models)
    return min(
        fitting,
        default=[],
        key=lambda members: (
            cold_members(members, model.name),
            _largest_lost(
                len(usable[members[0].fabric_domain]), model, largest
            ),
            members[0].fabric_domain,
        ),
    )


def _is_short(
    facts: FormationInput,
    neediest: ModelProfile,
    other: ModelProfile,
    counts: Mapping[str, int],
) -> bool:
    """Return whether a model has far too few replicas against another.

    That is the case if it would have at most half of the other's coverage
    even with one more replica, or if it has no replica and the other has
    more than one.
    """
    if not counts[neediest.name]:
        return counts[other.name] > 1
    after = _coverage_after(facts, neediest, counts)
    return after * 2 <= _coverage(facts, other, counts)


def _without_reserved(
    facts: FormationInput,
    usable: EnginesByDomain,
    model: ModelProfile,
    neediest: ModelProfile,
    counts: Mapping[str, int],
) -> EnginesByDomain:
    """Return the domains without those that the neediest model relies on.

    If that model has far too few replicas, these are the domains that have
    engines for a replica of it, but not after this model has formed one.
    """
    after = {**counts, model.name: counts[model.name] + 1}
    if model == neediest or not _is_short(facts, neediest, model, after):
        return usable
    return {
        domain: records
        for domain, records in usable.items()
        if not len(records) - model.size < neediest.size <= len(records)
    }


def _coverage(
    facts: FormationInput,
    model: ModelProfile,
    counts: Mapping[str, int],
) -> float:
    """Return a model's number of replicas divided by its share of work."""
    return counts.get(model.name, 0) / _work_share(facts, model)


def _coverage_after(
    facts: FormationInput,
    model: ModelProfile,
    counts: Mapping[str, int],
) -> float:
    with_one_more = {model.name: counts.get(model.name, 0) + 1}
    return _coverage(facts, model, with_one_more)


def _work_share(facts: FormationInput, model: ModelProfile) -> float:
    """Return a model's share of the work, as configured and as measured.

    The configured share is in engines, so it is divided by the engines of a
    replica. The measured share is in requests in flight, which needs no such
    conversion, as all replicas have equally many slots.
    """
    models = facts.models
    configured = sum(each.share / each.size for each in models)
    work_share = model.share / model.size / max(configured, _MIN_SHARE)
    running = sum(facts.running.get(each.name, 0) for each in models)
    if running >= MIN_RUNNING:
        measured = facts.running.get(model.name, 0) / running
        work_share += MEASURED_WEIGHT * (measured - work_share)
    return max(work_share, _MIN_SHARE)


def _largest_lost(available: int, model: ModelProfile, largest: int) -> int:
    """Return how many replicas of the largest model no longer fit.

    This is the difference that a replica of the given model makes to a domain
    with this many available engines.
    """
    return available // largest - (available - model.size) // largest


def _available(
    facts: FormationInput,
    records: Sequence[EngineRecord],
    model: ModelProfile,
    counts: Mapping[str, int],
) -> list[EngineRecord]:
    """Return the engines of a domain that a model may use.

    If engines that hold another model make up at least half of a replica,
    they are kept for the rest of it to become available. They may be used
    nevertheless if their domain is too small for such a replica, if this
    model lacks no more engines than the other does, or if it needs them more.
    """
    domain = records[0].fabric_domain
    held = Counter(held_model(facts, record) for record in records)
    missing = model.size - held[model.name]
    held.update(facts.soon_available.get(domain, {}))
    in_domain = facts.domain_sizes[domain]
    reserved = {
        other.name
        for other in facts.joinable_models
        if is_half_warm(other, held)
        and other.size <= in_domain
        and other.size - held[other.name] < missing
    }
    reserved -= {
        other.name
        for other in facts.models
        if other == model or _needs_more(facts, model, other, counts)
    }
    return [
        record
        for record in records
        if held_model(facts, record) not in reserved
    ]


def _needs_more(
    facts: FormationInput,
    model: ModelProfile,
    other: ModelProfile,
    counts: Mapping[str, int],
) -> bool:
    """Return whether a model is short of replicas and busier than another.

    The other model counts with one more replica than it has.
    """
    busy = slot_usage(facts, model, counts[model.name])
    after = slot_usage(facts, other, counts[other.name] + 1)
    return busy > max(BUSY_SLOT_FRACTION, after)


def _fastest_members(
    facts: FormationInput,
    records: Sequence[EngineRecord],
    model: ModelProfile,
) -> list[EngineRecord]:
    """Return the engines that can join a replica soonest."""
    ranked = sorted(
        records,
        key=lambda each: (_join_time_s(facts, each, model), each.engine),
    )
    return ranked[: model.size]


def _join_time_s(
    facts: FormationInput,
    record: EngineRecord,
    model: ModelProfile,
) -> float:
    """Return the expected time that an engine takes to join, with penalties.

    An engine that is loading another model first finishes that load, and one
    that holds another model is useful to that model, so both get a penalty. A
    slow engine would slow the whole replica down, so it ranks behind all
    others.
    """
    penalty_s = SLOW_PENALTY_S * (record.engine in facts.slow)
    held = held_model(facts, record)
    was_head = held == facts.former_models.get(record.engine) == model.name
    if model.name in record.models or was_head:
        return penalty_s
    if model.name in record.staged:
        return penalty_s + model.warm_s
    if held and held != model.name:
        penalty_s += TAKEOVER_PENALTY_S
    return penalty_s + model.load_s * (
        1 - LOAD_DONE_FRACTION * (held == model.name)
    )
