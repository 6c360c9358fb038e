"""Read replicas and free engines from engines' records."""

from collections import defaultdict
from collections.abc import Iterable, Mapping

from yuccavalve.formation.const import STANDBY_PREFIX
from yuccavalve.formation.models import FormationInput, ReplicaFacts
from yuccavalve.ports.fleet import EngineRecord, Membership
from yuccavalve.routing import ModelProfile

__all__ = (
    'cold_members',
    'domain_of',
    'held_model',
    'is_warm',
    'model_of',
    'replicas_of',
    'usable_engines',
)


def replicas_of(facts: FormationInput) -> dict[str, ReplicaFacts]:
    """Return replicas by name, as far as any member shows them.

    Standby replicas, in which spares wait, are none.
    """
    members: dict[tuple[str, int], dict[str, Membership]] = defaultdict(dict)
    for record in (*facts.unlisted.values(), *facts.engines.values()):
        membership = record.membership
        if membership is not None and not _is_standby(membership):
            key = (membership.replica, membership.epoch)
            members[key][record.engine] = membership
    return {
        replica: ReplicaFacts(replica, epoch, found, _head(found))
        for (replica, epoch), found in sorted(members.items())
    }


def _is_standby(membership: Membership) -> bool:
    return membership.replica.startswith(STANDBY_PREFIX)


def _head(members: Mapping[str, Membership]) -> str:
    for engine, membership in members.items():
        if membership.rank == 0:
            return engine
    return ''


def model_of(
    facts: FormationInput,
    replica: ReplicaFacts,
) -> ModelProfile | None:
    """Return the model of a replica by its first engine's weights."""
    record = facts.engines.get(replica.head) or facts.unlisted.get(replica.head)
    profile = facts.service.engine
    if record is None or profile is None:
        return None
    for name in record.models:
        model = profile.model(name)
        if model is not None:
            return model
    return None


def domain_of(facts: FormationInput, replica: ReplicaFacts) -> str:
    """Return the fabric domain of a replica's first engine."""
    record = facts.engines.get(replica.head)
    return '' if record is None else record.fabric_domain


def held_model(facts: FormationInput, record: EngineRecord) -> str:
    """Return the model that a spare holds, or is being warmed for."""
    warming = facts.warming.get(record.engine)
    profile = facts.service.engine
    if warming or profile is None:
        return warming or ''
    names = [model.name for model in profile.models]
    for held in (record.models, record.staged):
        for name in names:
            if name in held:
                return name
    return ''


def usable_engines(
    facts: FormationInput,
    taken: set[str],
) -> dict[str, list[EngineRecord]]:
    """Return engines that may be ordered into a replica, by domain."""
    domains: dict[str, list[EngineRecord]] = defaultdict(list)
    for record in facts.engines.values():
        if record.draining or record.engine in taken:
            continue
        if record.engine not in facts.dead:
            domains[record.fabric_domain].append(record)
    return domains


def is_warm(record: EngineRecord, model: str) -> bool:
    """Tell whether an engine or its host holds a model."""
    return model in record.models or model in record.staged


def cold_members(members: Iterable[EngineRecord], model: str) -> int:
    """Count the engines that must load a model from the weight store."""
    return sum(not is_warm(record, model) for record in members)
