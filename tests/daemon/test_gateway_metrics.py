"""Test the metrics page of a gateway daemon."""

import unittest
from random import Random

import attrs

from tests.platform import builders
from yuccavalve.daemon.gateway_metrics import metrics_application
from yuccavalve.daemon.gateway_node import build_gateway_node
from yuccavalve.evacuation import EvacuationNews
from yuccavalve.settings import AdmissionSettings
from yuccavalve_platform.daemon import build_ports
from yuccavalve_platform.routes import decode_routes

_EXPECTED = (
    'yuccavalve_routing_version 1.0',
    'yuccavalve_routing_age_seconds',
    'yuccavalve_engines_age_seconds',
    'yuccavalve_daemons_alive 1.0',
    'yuccavalve_serves_as_hub 1.0',
    'yuccavalve_log_lines_left_out 3.0',
    'yuccavalve_engines_limited 1.0',
    'yuccavalve_engine_limit_per_s{engine="unlisted-00000007"} 1.5',
    'yuccavalve_permits_held 0.0',
    'yuccavalve_zone_evacuated{zone="zone-b"} 1.0',
    'yuccavalve_zones_evacuated 1.0',
    'yuccavalve_evacuations_version 4.0',
    'yuccavalve_zones_held_evacuated 0.0',
    'yuccavalve_store_returns 0.0',
    'yuccavalve_evacuations_age_seconds',
    'yuccavalve_evacuations_passed_over 0.0',
    'yuccavalve_admission_released_total 0.0',
    'yuccavalve_admission_rejected_total{reason="estimate"} 2.0',
    'yuccavalve_admission_waiting_bytes 0.0',
    'yuccavalve_limits_passed_over 0.0',
    'yuccavalve_retries_left{service="portal"}',
    'yuccavalve_replicas_open{model="m-large",service="llm"} 0.0',
    'yuccavalve_repair_ms{quantile="0.5",service="llm"} 15',
    'yuccavalve_answers_broken_off_total{cause="lost",service="llm"} 1.0',
)


class GatewayMetricsTest(unittest.TestCase):
    """A daemon that has read routes but no engines."""

    def test_page_contains_the_metrics_for_operators(self) -> None:
        settings = attrs.evolve(
            builders.settings('127.0.0.1:1'),
            admission=AdmissionSettings(queue=True),
        )
        node = build_gateway_node(settings, build_ports(settings), Random(1))
        table = decode_routes(builders.encoded_configuration())
        node.routing.adopt(table, b'', 'test')
        for _ in range(3):
            node.log_rate_limiter.count_dropped()
        node.gateway.admission.rejected['estimate'] = 2
        node.gateway.metrics.record_ms('repair_ms', 'llm', 1500)
        node.gateway.metrics.record_broken_off('llm', 'lost')
        node.limiter.table.record_named(7, 1.5, node.clock.now_s())
        node.evacuations.apply_news(
            EvacuationNews(4, frozenset(('zone-b',)), node.clock.now_s())
        )
        metrics_application(node)
        text = node.gateway.metrics.text().decode()
        for name in _EXPECTED:
            self.assertIn(name, text)
