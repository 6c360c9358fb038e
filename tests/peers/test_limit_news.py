"""How limits of engines and permits travel between daemons."""

import unittest

from tests.support.limit_model import ENGINE
from tests.support.share_model import ShareModel
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.limit_news import (
    answer_permits,
    decode_grants,
    decode_limits,
    encode_demands,
    encode_limits,
)
from yuccavalve.ratelimit import (
    EngineLimit,
    LimitTable,
    PermitDemand,
    PermitGrant,
    PermitGrantor,
)
from yuccavalve.ratelimit.const import MAX_NEWS
from yuccavalve.warmup import WarmupLimit

_DAEMONS = 88
_STABLE_S = 3.0
# What one limit may add to a message.
_MAX_LIMIT_BYTES = 32


class EncodingTest(unittest.TestCase):
    """Limits and permits as messages."""

    def test_times_are_never_later_than_they_were(self) -> None:
        limit = EngineLimit(ENGINE, 1.5, 100, 99)
        decoded = decode_limits(encode_limits([limit], 101), 201)[0]
        self.assertEqual(decoded.per_s, 1.5)
        self.assertLessEqual(decoded.named_at_s, 200)
        self.assertAlmostEqual(decoded.named_at_s, 200, places=2)
        self.assertAlmostEqual(decoded.unnamed_at_s, 199, places=2)

    def test_limits_without_an_end_stay_so(self) -> None:
        limit = EngineLimit(ENGINE, 1.5, 100)
        self.assertTrue(
            decode_limits(encode_limits([limit], 101), 201)[0].in_force
        )

    def test_warmups_are_sent_beside_named_limits(self) -> None:
        table = LimitTable()
        table.record_named(ENGINE, 1.5, 100)
        table.warmups.apply(WarmupLimit(ENGINE, 27.5, 103), 100)
        other = LimitTable()
        messages = encode_limits(table.news(101), 101)
        other.apply(decode_limits(messages, 201), 201)
        self.assertEqual(other.per_s(ENGINE), 1.5)
        warmup = other.warmups.limit(ENGINE, 201)
        self.assertEqual(warmup.per_s, 27.5)
        self.assertAlmostEqual(warmup.ends_at_s, 203, places=2)

    def test_numbers_that_are_no_limits_are_dropped(self) -> None:
        messages = [
            peer_pb2.EngineLimit(engine=ENGINE, per_s=per_s, named_age_ms=1)
            for per_s in (-1, float('nan'), float('inf'))
        ]
        self.assertEqual(decode_limits(messages, 100), [])

    def test_planner_learns_the_limit_from_the_demand(self) -> None:
        grantor = PermitGrantor(LimitTable(), lambda: 1)
        known = [EngineLimit(ENGINE, 10, 100)]
        demands = [PermitDemand(ENGINE, 3)]
        answer_permits(grantor, encode_demands(1, demands, known, 100), 100)
        reply = answer_permits(
            grantor, encode_demands(1, demands, known, 101), 101
        )
        granted = decode_grants(reply)
        self.assertEqual(granted.grants, (PermitGrant(ENGINE, 3, 1),))
        self.assertEqual(reply.limits[0].per_s, 10)

    def test_daemon_that_does_not_plan_names_the_one_that_does(self) -> None:
        grantor = PermitGrantor(LimitTable(), holder_address=lambda: 'a:1')
        reply = answer_permits(grantor, peer_pb2.PermitsRequest(), 100)
        self.assertIsNone(decode_grants(reply))
        self.assertEqual(reply.planner, 'a:1')


class SpreadTest(unittest.TestCase):
    """Eighty-eight daemons in three zones."""

    def _limited(self, model: ShareModel, engine: int) -> int:
        return sum(
            each.share_state.limits.per_s(engine) is not None
            for each in model.live()
        )

    def test_all_daemons_learn_begin_and_end_of_a_limit(self) -> None:
        model = ShareModel.of(_DAEMONS)
        model.run(3)
        table = model.daemons[-1].share_state.limits
        table.record_named(ENGINE, 2, model.clock.now_s())
        model.run(_STABLE_S)
        self.assertEqual(self._limited(model, ENGINE), _DAEMONS)
        now_s = model.clock.now_s()
        table.record_unnamed(ENGINE, now_s, now_s)
        model.run(_STABLE_S)
        self.assertEqual(self._limited(model, ENGINE), 0)

    def test_messages_stay_bounded_with_many_limits(self) -> None:
        model = ShareModel.of(_DAEMONS)
        model.run(3)
        before = model.largest_bytes
        table = model.daemons[-1].share_state.limits
        for engine in range(5 * MAX_NEWS):
            table.record_named(engine, 2, model.clock.now_s())
        model.run(10)
        added = model.largest_bytes - before
        self.assertLessEqual(added, MAX_NEWS * _MAX_LIMIT_BYTES)
        self.assertEqual(self._limited(model, 0), _DAEMONS)
