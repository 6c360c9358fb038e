"""Counters, histograms and gauges of a gateway daemon."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from yuccavalve.capacity import CapacityBook
from yuccavalve.capacity.const import MAX_METRIC_SERVERS
from yuccavalve.daemon.gateway_node import GatewayNode
from yuccavalve.observability.metrics import (
    Metrics,
    add_limit_gauges,
    add_quarantine_gauges,
)

__all__ = ('metrics_application',)


def metrics_application(node: GatewayNode) -> Starlette:
    """Return the application that serves a daemon's metrics as text."""
    metrics = node.gateway.metrics
    _add_view_gauges(metrics, node)
    _add_daemon_gauges(metrics, node)
    metrics.labelled_counters(
        'store_calls',
        ('duty', 'outcome'),
        lambda: node.ports.call_counts,
    )
    metrics.labelled_gauges(
        'retries_left',
        ('service',),
        lambda: _retries_left(node),
    )
    metrics.labelled_gauges(
        'replicas_open',
        ('service', 'model'),
        lambda: _open_replicas(node),
    )

    async def async_metrics(request: Request) -> Response:  # noqa: WPS430
        return Response(metrics.text(), media_type='text/plain')

    return Starlette(routes=[Route('/metrics', async_metrics)])


def _add_view_gauges(metrics: Metrics, node: GatewayNode) -> None:
    """Add gauges of the versions and ages of routes and engines."""
    metrics.gauge('routing_version', lambda: node.routing.version)
    metrics.gauge('routing_age_seconds', lambda: _routing_age_s(node))
    metrics.gauge('engines_age_seconds', lambda: _engines_age_s(node))
    metrics.gauge('engines_listed', lambda: len(tuple(node.view.records())))


def _add_daemon_gauges(metrics: Metrics, node: GatewayNode) -> None:
    """Add gauges of the daemon's load, peers and role."""
    metrics.gauge('requests_in_flight', lambda: len(node.gateway.running))
    metrics.gauge('daemons_alive', node.live_daemons)
    metrics.gauge('plans_replicas', lambda: int(node.share_state.plans))
    metrics.gauge('serves_as_hub', lambda: int(node.serves_as_hub()))
    metrics.gauge('cell_daemons', node.share_state.cell_size)
    add_quarantine_gauges(metrics, node.share_state.quarantine)
    add_limit_gauges(metrics, node.limiter, node.grantor, node.clock)
    metrics.labelled_gauges(
        'engine_limit_per_s', ('engine',), lambda: _limits_per_s(node)
    )
    if node.share_state.capacities is not None:
        _add_capacity_gauges(metrics, node, node.share_state.capacities)
    metrics.gauge(
        'log_lines_left_out', lambda: node.log_rate_limiter.dropped_total
    )


def _retries_left(node: GatewayNode) -> dict[tuple[str, ...], int]:
    """Return the retries left in this daemon's part of the budgets."""
    table = node.routing.table
    services = () if table is None else tuple(table.services)
    now_s = node.clock.now_s()
    return {
        (name,): int(node.gateway.budgets.remaining(name, now_s))
        for name in services
    }


def _limits_per_s(node: GatewayNode) -> dict[tuple[str, ...], float]:
    return {
        (node.engine_name(engine),): per_s
        for engine, per_s in node.limiter.table.in_force().items()
    }


def _add_capacity_gauges(
    metrics: Metrics, node: GatewayNode, book: CapacityBook
) -> None:
    """Add gauges of learned capacities, of the slowest engines first."""
    labels = ('engine',)
    metrics.labelled_gauges(
        'engine_concurrency_learned',
        labels,
        lambda: {
            (node.keyed_engine_name(belief.server),): belief.concurrency
            for belief in book.slowest(MAX_METRIC_SERVERS, node.clock.now_s())
        },
    )
    metrics.labelled_gauges(
        'engine_speed_learned',
        labels,
        lambda: {
            (node.keyed_engine_name(belief.server),): belief.speed
            for belief in book.slowest(MAX_METRIC_SERVERS, node.clock.now_s())
        },
    )
    metrics.labelled_gauges(
        'engine_capacity_samples',
        labels,
        lambda: {
            (node.keyed_engine_name(belief.server),): belief.samples
            for belief in book.slowest(MAX_METRIC_SERVERS, node.clock.now_s())
        },
    )
    metrics.gauge('capacity_probes', lambda: book.probes.sent)


def _routing_age_s(node: GatewayNode) -> float:
    return node.clock.now_s() - node.routing.confirmed_at_s


def _engines_age_s(node: GatewayNode) -> float:
    return node.clock.now_s() - node.view.read_at_s


def _open_replicas(node: GatewayNode) -> dict[tuple[str, ...], int]:
    """Return the number of open replicas by service and model."""
    table = node.routing.table
    services = () if table is None else table.services.values()
    return {
        (service.name, model.name): len(
            node.view.heads(service.name, model.name),
        )
        for service in services
        if service.engine is not None
        for model in service.engine.models
    }
