"""Derive replicas and available engines from the engines' records."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from yuccavalve.formation.const import STANDBY_PREFIX
from yuccavalve.formation.models import FormationInput, ObservedReplica
from yuccavalve.ports.fleet import EngineRecord, Membership, MemberState
from yuccavalve.routing import ModelProfile

__all__ = (
    'cold_members',
    'domain_of',
    'held_model',
    'is_half_warm',
    'is_loading',
    'is_standby',
    'is_warm',
    'missing_models',
    'model_of',
    'replicas_of',
    'slot_usage',
    'standby_name',
    'usable_engines',
)


def replicas_of(facts: FormationInput) -> dict[str, ObservedReplica]:
    """Return the replicas that records show, by name.

    Standby replicas, which only hold spares, are left out.
    """
    members: dict[tuple[str, int], dict[str, Membership]] = defaultdict(dict)
    for record in (*facts.unlisted.values(), *facts.engines.values()):
        membership = record.membership
        if membership is not None and not is_standby(membership.replica):
            key = (membership.replica, membership.epoch)
            members[key][record.engine] = membership
    return {
        replica: ObservedReplica(
            replica, epoch, memberships, _head(memberships)
        )
        for (replica, epoch), memberships in sorted(members.items())
    }


def standby_name(model: str, epoch: int) -> str:
    """Return the name of a standby replica.

    The name contains the model because records don't show what an engine is
    loading, and a planner that takes over must not start the load again.
    """
    return f'{STANDBY_PREFIX}{model}-{epoch}'


def _standby_model(record: EngineRecord) -> str:
    """Return the model of an engine's standby replica, or an empty string."""
    membership = record.membership
    if membership is None or not is_standby(membership.replica):
        return ''
    model_and_epoch = membership.replica.removeprefix(STANDBY_PREFIX)
    return model_and_epoch.rpartition('-')[0]


def is_standby(replica: str) -> bool:
    """Return whether a replica is a standby replica, by its name."""
    return replica.startswith(STANDBY_PREFIX)


def _head(members: Mapping[str, Membership]) -> str:
    for engine, membership in members.items():
        if membership.rank == 0:
            return engine
    return ''


def model_of(
    facts: FormationInput,
    replica: ObservedReplica,
) -> ModelProfile | None:
    """Return the model that a replica's head engine has in memory."""
    record = facts.engines.get(replica.head) or facts.unlisted.get(replica.head)
    profile = facts.service.engine
    if record is None or profile is None:
        return None
    for name in record.models:
        model = profile.model(name)
        if model is not None:
            return model
    return None


def domain_of(facts: FormationInput, replica: ObservedReplica) -> str:
    """Return the fabric domain of a replica's head engine."""
    record = facts.engines.get(replica.head)
    return '' if record is None else record.fabric_domain


def held_model(facts: FormationInput, record: EngineRecord) -> str:
    """Return the model that an engine holds or is being warmed for."""
    warming = facts.warming.get(record.engine) or _standby_model(record)
    if warming:
        return warming
    if record.membership is None and record.engine in facts.former_models:
        return facts.former_models[record.engine]
    names = [model.name for model in facts.models]
    for held in (record.models, record.staged):
        for name in names:
            if name in held:
                return name
    return ''


def usable_engines(
    facts: FormationInput,
    taken: set[str],
) -> dict[str, list[EngineRecord]]:
    """Return the engines that may join a replica, by fabric domain."""
    domains: dict[str, list[EngineRecord]] = defaultdict(list)
    for record in facts.engines.values():
        if record.engine not in taken and _is_usable(facts, record):
            domains[record.fabric_domain].append(record)
    return domains


def _is_usable(facts: FormationInput, record: EngineRecord) -> bool:
    if record.draining or record.availability_zone in facts.evacuated:
        return False
    return record.engine not in facts.dead and (
        record.engine not in facts.unsure
    )


def missing_models(
    facts: FormationInput, counts: Mapping[str, int]
) -> frozenset[str]:
    """Return models without a replica that would fit into a domain."""
    largest = max(facts.domain_sizes.values(), default=0)
    return frozenset(
        model.name
        for model in facts.joinable_models
        if not counts[model.name] and model.size <= largest
    )


def is_warm(record: EngineRecord, model: str) -> bool:
    """Return whether an engine or its host holds a model."""
    return model in record.models or model in record.staged


def slot_usage(
    facts: FormationInput,
    model: ModelProfile,
    replicas: int,
) -> float:
    """Return the fraction of slots used with a given number of replicas."""
    profile = facts.service.engine
    if profile is None or not replicas:
        return float('inf')
    running = facts.running.get(model.name, 0)
    return running / (replicas * max(1, profile.slots))


def is_half_warm(model: ModelProfile, held: Mapping[str, int]) -> bool:
    """Return whether half of a replica's engines or more hold its model.

    Parameters
    ----------
    held
        Number of a domain's available engines by the model that they hold.
    """
    return held.get(model.name, 0) * 2 >= model.size


def is_loading(facts: FormationInput, record: EngineRecord) -> bool:
    """Return whether a spare is being warmed."""
    membership = record.membership
    if record.engine in facts.warming:
        return True
    return (
        membership is not None
        and is_standby(membership.replica)
        and membership.state is MemberState.JOINING
    )


def cold_members(members: Iterable[EngineRecord], model: str) -> int:
    """Count the engines that must load a model from the weight store."""
    return sum(not is_warm(record, model) for record in members)
