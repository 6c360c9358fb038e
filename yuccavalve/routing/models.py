"""Data classes of one version of the routes."""

import enum
from collections.abc import Mapping
from random import Random

import attrs

__all__ = (
    'CallerLimits',
    'EngineProfile',
    'ModelProfile',
    'RequestKind',
    'Route',
    'RouteWorkspace',
    'RoutingTable',
    'ServiceProfile',
    'Split',
)


class RequestKind(enum.StrEnum):
    """How a request is answered and whether it may be sent again.

    ``REPEATABLE`` requests are idempotent, ``ONCE`` requests run at most
    once, ``STREAM`` requests are answered with a stream of events.
    """

    REPEATABLE = 'repeatable'
    ONCE = 'once'
    STREAM = 'stream'


@attrs.frozen
class Split:
    """A service of a route and the weight of its part of the requests."""

    service: str
    weight: float = 1


@attrs.frozen
class Route:
    """Services, timeouts and rules for one host and path prefix.

    Attributes
    ----------
    timeout_s
        Longest time that a caller waits for the complete answer.
    objective_s
        Objective for the time to the answer or to the first event.
    gap_objective_s
        Objective for the time between events; 0 if there is none.
    priority
        Priority of the requests; 0 is served first.
    max_attempts
        Largest number of engines that one request may be sent to.
    public
        Whether requests are accepted without a workspace key.
    resumable
        Whether a stream may be resumed at another engine.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    splits: tuple[Split, ...]
    timeout_s: float
    objective_s: float
    gap_objective_s: float = 0
    priority: int = 1
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.REPEATABLE

    def choose_service(self, random: Random) -> str:
        """Return a service drawn at random by the weights of the splits."""
        if len(self.splits) == 1:
            return self.splits[0].service
        weights = [split.weight for split in self.splits]
        return random.choices(self.splits, weights)[0].service


@attrs.frozen
class ModelProfile:
    """A model that is served by replicas of several engines.

    Attributes
    ----------
    size
        Number of engines in one replica.
    share
        The model's part of the service's work, 0 to 1.
    pace
        Factor on the times of the engine profile.
    load_s, warm_s
        Time to load the weights from the weight store, and from the
        engine's host.
    """

    name: str
    size: int
    share: float
    pace: float
    load_s: float
    warm_s: float


@attrs.frozen
class EngineProfile:
    """Performance model of a service's replicas.

    Attributes
    ----------
    loads_per_s, max_concurrent_loads
        Rate limit and concurrency limit of loads from the weight store.
    form_s
        Time from the order to open a replica until it serves.
    cross_domain_factor
        Slowdown of a replica that spans fabric domains.
    """

    slots: int
    kv_tokens: int
    models: tuple[ModelProfile, ...]
    step_s: float
    per_request_step_s: float
    stride: int
    prefill_tokens_per_s: float
    loads_per_s: float
    max_concurrent_loads: int
    form_s: float
    cross_domain_factor: float

    def model(self, name: str) -> ModelProfile | None:
        """Return a model by name, or None if it is unknown."""
        for model in self.models:
            if model.name == name:
                return model
        return None


@attrs.frozen
class ServiceProfile:
    """A service of engines if ``engine`` is set, else of plain servers.

    Attributes
    ----------
    cold_s, cold_per_s
        How long a server is cold after it starts, and the requests that it
        then takes in a second; 0 if the service has no such servers.
    """

    name: str
    health_path: str = ''
    max_connections: int = 0
    engine: EngineProfile | None = None
    cold_s: float = 0
    cold_per_s: float = 0


@attrs.frozen
class CallerLimits:
    """Limits on the size of a caller's requests and on its idle time."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


@attrs.frozen
class RouteWorkspace:
    """A workspace with the digests of its keys.

    Attributes
    ----------
    priority
        Priority of the workspace's requests, which outweighs the route's;
        None counts as 1.
    """

    name: str
    key_digests: frozenset[str]
    priority: int | None = None


@attrs.frozen
class RoutingTable:
    """One version of routes, services, workspaces and limits.

    Attributes
    ----------
    routes_by_host
        Routes by host name, those with the longest prefix first.
    workspaces_by_digest
        Workspaces by key digest; None if no workspace keys are in use.
    """

    version: int
    routes_by_host: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, ServiceProfile]
    workspaces_by_digest: Mapping[str, RouteWorkspace] | None
    limits: CallerLimits = CallerLimits()

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None
