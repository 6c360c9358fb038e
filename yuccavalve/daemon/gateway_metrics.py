"""Counters, histograms and gauges of a gateway daemon."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from yuccavalve.capacity import CapacityBook
from yuccavalve.capacity.const import MAX_METRIC_SERVERS
from yuccavalve.daemon.gateway_node import GatewayNode
from yuccavalve.gateway.waiting import AdmissionGate
from yuccavalve.observability.metrics import (
    Metrics,
    add_held_gauges,
    add_limit_gauges,
    add_quarantine_gauges,
    add_received_gauges,
)
from yuccavalve.relay.entry import RelayEntry

__all__ = ('metrics_application',)


def metrics_application(
    node: GatewayNode, relay_entry: RelayEntry | None = None
) -> Starlette:
    """Return the application that serves a daemon's metrics as text."""
    metrics = node.gateway.metrics
    _add_view_gauges(metrics, node)
    _add_daemon_gauges(metrics, node)
    _add_relay_gauges(metrics, node)
    if relay_entry is not None:
        _add_relay_entry_gauges(metrics, relay_entry)
    metrics.labelled_counters(
        'store_calls',
        ('duty', 'outcome'),
        lambda: node.ports.call_counts,
    )
    metrics.labelled_counters(
        'inputs_unreadable',
        ('kind',),
        lambda: node.ports.unreadable.counts,
    )
    if node.gateway.admission is not None:
        _add_admission_gauges(metrics, node.gateway.admission)
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
    """Add gauges of routes, engines and answers."""
    metrics.gauge('routing_version', lambda: node.routing.version)
    metrics.gauge('store_returns', lambda: node.ports.eras.returns)
    metrics.gauge('routing_age_seconds', lambda: _routing_age_s(node))
    metrics.gauge('engines_age_seconds', lambda: _engines_age_s(node))
    metrics.gauge('engines_listed', lambda: len(tuple(node.view.records())))
    add_held_gauges(metrics, node.ports.held)
    add_received_gauges(metrics, node.received)


def _add_daemon_gauges(metrics: Metrics, node: GatewayNode) -> None:
    """Add gauges of the daemon's load, peers and role."""
    metrics.gauge('requests_in_flight', lambda: len(node.gateway.running))
    metrics.gauge('daemons_alive', node.live_daemons)
    metrics.gauge('plans_replicas', lambda: int(node.share_state.plans))
    metrics.gauge('serves_as_hub', lambda: int(node.serves_as_hub()))
    metrics.gauge('cell_daemons', node.share_state.cell_size)
    add_quarantine_gauges(metrics, node.share_state.quarantine)
    add_limit_gauges(metrics, node.limiter, node.grantor, node.clock)
    _add_evacuation_gauges(metrics, node)
    metrics.labelled_gauges(
        'engine_limit_per_s', ('engine',), lambda: _limits_per_s(node)
    )
    _add_warmup_gauges(metrics, node)
    if node.share_state.capacities is not None:
        _add_capacity_gauges(metrics, node, node.share_state.capacities)
    metrics.gauge(
        'log_lines_left_out', lambda: node.log_rate_limiter.dropped_total
    )


def _add_evacuation_gauges(metrics: Metrics, node: GatewayNode) -> None:
    """Add gauges of the evacuated zones, and of the set's version and age."""
    evacuations = node.evacuations
    metrics.labelled_gauges(
        'zone_evacuated',
        ('zone',),
        lambda: {(zone,): 1 for zone in evacuations.zones},
    )
    metrics.gauge('zones_evacuated', lambda: len(evacuations.zones))
    metrics.gauge('zones_held_evacuated', lambda: len(evacuations.held))
    metrics.gauge('evacuations_version', lambda: evacuations.version)
    metrics.gauge(
        'evacuations_age_seconds',
        lambda: node.clock.now_s() - evacuations.confirmed_at_s,
    )
    metrics.gauge('evacuations_passed_over', lambda: evacuations.passed_over)


def _add_warmup_gauges(metrics: Metrics, node: GatewayNode) -> None:
    """Add gauges of cold engines and of the permits for them."""
    warmups = node.limiter.table.warmups
    metrics.gauge('engines_cold', lambda: len(_cold_per_s(node)))
    metrics.gauge('warmups_begun', lambda: warmups.begun)
    metrics.gauge('permits_granted_cold', lambda: node.grantor.granted_cold)
    metrics.labelled_gauges(
        'cold_engine_per_s', ('engine',), lambda: _cold_per_s(node)
    )


def _add_relay_entry_gauges(metrics: Metrics, entry: RelayEntry) -> None:
    """Add gauges of the requests that other daemons relay."""
    metrics.gauge('relay_entry_running', lambda: entry.bounds.count)
    metrics.gauge('relay_entry_total', lambda: entry.received_total)
    metrics.gauge('relay_entry_refused', lambda: entry.bounds.refused_total)


def _add_relay_gauges(metrics: Metrics, node: GatewayNode) -> None:
    """Add gauges of partitions from engines and of relayed requests."""
    sender = node.relay_sender
    metrics.gauge('engines_unreachable', lambda: int(node.reach.partitioned))
    metrics.gauge(
        'daemons_engines_unreachable',
        lambda: len(node.share_state.engines_unreachable_at()),
    )
    metrics.gauge(
        'partition_evidence_dropped', lambda: node.reach.dropped_total
    )
    if sender is None:
        return
    metrics.gauge('relay_running', lambda: sender.bounds.count)
    metrics.gauge('relay_refused', lambda: sender.bounds.refused_total)
    metrics.labelled_counters(
        'relay_attempts', ('outcome',), lambda: sender.outcomes
    )


def _add_admission_gauges(metrics: Metrics, gate: AdmissionGate) -> None:
    """Add gauges and counters of the requests that wait for an engine."""
    metrics.labelled_gauges(
        'admission_waiting', ('workspace', 'request_class'), gate.queue.counts
    )
    metrics.gauge('admission_waiting_bytes', lambda: gate.queue.size_bytes)
    metrics.gauge('admission_callers_promised', lambda: len(gate.promises))
    metrics.labelled_counters(
        'admission_released', (), lambda: {(): gate.released}
    )
    metrics.labelled_counters(
        'admission_rejected',
        ('reason',),
        lambda: {(reason,): count for reason, count in gate.rejected.items()},
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


def _cold_per_s(node: GatewayNode) -> dict[tuple[str, ...], float]:
    cold = node.limiter.table.warmups.in_force(node.clock.now_s())
    return {(node.engine_name(each.engine),): each.per_s for each in cold}


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
