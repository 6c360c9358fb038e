"""Select which model each spare engine should hold.

Replicas may lose a member every few seconds. One that finds a spare with its
model serves again within a second; one that doesn't waits for a load of ten
seconds or more.
"""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence

from yuccavalve.formation.const import SPARES_KEPT
from yuccavalve.formation.models import FormationInput, ObservedReplica
from yuccavalve.formation.observation import (
    domain_of,
    held_model,
    is_half_warm,
    is_loading,
    model_of,
)
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.routing import ModelProfile

__all__ = ('choose_spares',)

_EnginesByDomain = Mapping[str, Sequence[EngineRecord]]
_SpareModels = Iterator[tuple[EngineRecord, ModelProfile]]


def choose_spares(
    facts: FormationInput,
    usable: _EnginesByDomain,
    replicas: Mapping[str, ObservedReplica],
) -> _SpareModels:
    """Yield spares that should load a model into memory, with that model.

    Cold spares get the model of which their domain has the fewest spares. A
    spare that holds a model with enough spares gets one that its domain
    serves without any spare.
    """
    serving = _serving_models(facts, replicas)
    for domain, records in usable.items():
        yield from _choose_in_domain(facts, records, serving[domain])


def _choose_in_domain(
    facts: FormationInput,
    records: Sequence[EngineRecord],
    served: set[str],
) -> _SpareModels:
    # The loss of any member stops a replica, so larger models need more
    # spares.
    models = sorted(facts.joinable_models, key=lambda model: -model.size)
    held = Counter(held_model(facts, record) for record in records)
    for record in records:
        model = _wanted_model(facts, record, models, served, held)
        if model is None or model.name in record.models:
            continue
        held[held_model(facts, record)] -= 1
        held[model.name] += 1
        yield record, model


def _serving_models(
    facts: FormationInput,
    replicas: Mapping[str, ObservedReplica],
) -> Mapping[str, set[str]]:
    """Return the models that open replicas serve, by domain."""
    serving: Mapping[str, set[str]] = {
        record.fabric_domain: set() for record in facts.engines.values()
    }
    for replica in replicas.values():
        model = model_of(facts, replica)
        domain = domain_of(facts, replica)
        if model is not None and replica.is_open and domain:
            serving[domain].add(model.name)
    return serving


def _wanted_model(
    facts: FormationInput,
    record: EngineRecord,
    models: Sequence[ModelProfile],
    served: set[str],
    held: Mapping[str, int],
) -> ModelProfile | None:
    """Return the model that a spare should hold, or None for no change."""
    if is_loading(facts, record):
        return None
    current = held_model(facts, record)
    if not current:
        return min(models, key=lambda model: held[model.name], default=None)
    current_model = next(
        (model for model in models if model.name == current), None
    )
    without_spares = [
        model
        for model in models
        if model.name in served and not held[model.name]
    ]
    needed = current_model is not None and is_half_warm(current_model, held)
    if without_spares and held[current] > SPARES_KEPT and not needed:
        return without_spares[0]
    return current_model
