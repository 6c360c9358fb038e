"""Tests of the longest time for which a service's requests can last."""

import unittest

from yuccavalve.formation import RequestLimits
from yuccavalve.formation.const import ADOPTION_LAG_S
from yuccavalve.routing import RequestKind, Route, RoutingTable, Split


def _route(prefix: str, timeout_s: float, *services: str) -> Route:
    return Route(
        prefix,
        'llm.example',
        prefix,
        RequestKind.STREAM,
        tuple(Split(service) for service in services),
        timeout_s,
        objective_s=1,
    )


def _table(version: int, *routes: Route) -> RoutingTable:
    return RoutingTable(version, {'llm.example': routes}, {}, None)


class RequestLimitsTest(unittest.TestCase):
    """Services with several routes, and changes of their time-outs."""

    def setUp(self) -> None:
        """Adopt a configuration at 10 s."""
        self.limits = RequestLimits()
        table = _table(
            1,
            _route('/a/', 20, 'llm'),
            _route('/b/', 30, 'llm', 'other'),
            _route('/c/', 90, 'other'),
        )
        self.limits.record(table, 10)

    def test_longest_time_out_of_all_routes_counts(self) -> None:
        self.assertEqual(self.limits.longest_request_s('llm', 10), 30)
        self.assertEqual(self.limits.longest_request_s('other', 10), 90)

    def test_service_without_a_route_has_no_requests(self) -> None:
        self.assertEqual(self.limits.longest_request_s('none', 10), 0)

    def test_earlier_time_out_counts_until_its_requests_have_ended(
        self,
    ) -> None:
        """Requests in flight were cut after a change of the configuration."""
        shorter = _table(2, _route('/a/', 5, 'llm'))
        ends_at_s = 10 + 30 + ADOPTION_LAG_S
        for now_s in (11, ends_at_s - 0.1, ends_at_s):
            self.limits.record(shorter, now_s)
            expected_s = 30 if now_s < ends_at_s else 5
            found_s = self.limits.longest_request_s('llm', now_s)
            self.assertEqual(found_s, expected_s)

    def test_service_that_lost_its_routes_keeps_their_time_outs(self) -> None:
        self.limits.record(_table(2), 11)
        self.assertEqual(self.limits.longest_request_s('llm', 39), 30)
        self.assertEqual(self.limits.longest_request_s('llm', 60), 0)
