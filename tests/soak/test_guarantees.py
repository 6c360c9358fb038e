"""The checker of the fault soak detects each violated guarantee."""

import unittest

import attrs

from script.tools.soak.guarantees import (
    RequestOutcome,
    find_evacuation_violations,
    find_limit_violations,
    find_violations,
)
from tests.platform.standin import EngineOptions, EngineStandin

_EVENTS = 3
_STREAM = RequestOutcome(
    's',
    'stream',
    200,
    True,
    b'id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n',
    's.i-1',
)
_ONCE = RequestOutcome('o', 'once', 200, True, b'answer to o', 'o.p-1')


def _check(seen: RequestOutcome, runs: int = 1, **more: list[str]) -> list[str]:
    return find_violations(
        [seen],
        {seen.request_id: runs},
        more.get('unasked', []),
        more.get('told', []),
        _EVENTS,
    )


class GuaranteesTest(unittest.TestCase):
    """Correct observations, and such with a single fault."""

    def test_correct_requests(self) -> None:
        for seen in (_STREAM, _ONCE):
            self.assertEqual(_check(seen), [])
        cut = attrs.evolve(_STREAM, whole=False, body=b'id: 1\nda')
        self.assertEqual(_check(cut), [])
        refused = RequestOutcome('o', 'once', 503, True)
        self.assertEqual(_check(refused, runs=0), [])

    def test_requests_in_an_evacuated_zone(self) -> None:
        engine = EngineStandin(EngineOptions('p-1', 'portal', 'zone-a'), {})
        engine.requests_s = [9.0, 9.9]
        check = find_evacuation_violations
        self.assertEqual(check('zone-a', 10, [engine]), [])
        engine.requests_s.append(10.5)
        self.assertEqual(len(check('zone-a', 10, [engine])), 1)
        self.assertEqual(check('zone-b', 10, [engine]), [])

    def test_each_broken_promise(self) -> None:
        faulty = {
            'ran twice': (_ONCE, 2),
            'not run, but it was': (RequestOutcome('o', 'once', 503, True), 1),
            'another answer': (attrs.evolve(_ONCE, signature='x.p-1'), 1),
            'no signature': (attrs.evolve(_ONCE, signature=''), 1),
            'cut body that looks whole': (attrs.evolve(_ONCE, body=b'ans'), 1),
            'missing event': (
                attrs.evolve(_STREAM, body=b'id: 1\ndata: a\n\n'),
                1,
            ),
            'incomplete last event': (
                attrs.evolve(_STREAM, body=_STREAM.body[:-3]),
                1,
            ),
            'doubled event': (
                attrs.evolve(_STREAM, body=_STREAM.body + _STREAM.body),
                2,
            ),
            'signed failure': (
                RequestOutcome('o', 'once', 502, True, b'', 'o.p-1'),
                1,
            ),
            'held too long': (attrs.evolve(_ONCE, late_s=1.2), 1),
        }
        for name, (seen, runs) in faulty.items():
            with self.subTest(name=name):
                self.assertTrue(_check(seen, runs))

    def test_broken_off_answer_counts_in_a_calm_run(self) -> None:
        cut = attrs.evolve(_STREAM, whole=False, body=b'id: 1\nda')
        refused = RequestOutcome('s', 'stream', 429, True)
        for seen, lost in ((cut, 1), (refused, 0)):
            found = find_violations([seen], {}, [], [], _EVENTS, calm=True)
            self.assertEqual(len(found), lost)

    def test_violations_seen_by_engines(self) -> None:
        self.assertTrue(_check(_ONCE, unasked=['x']))
        self.assertTrue(_check(_ONCE, told=['two replicas']))

    def test_engine_gets_more_than_its_limit(self) -> None:
        # A limit of 1 a second allows 11 requests in any 4 s.
        arrivals_s = [number * 0.3 for number in range(12)]
        self.assertEqual(find_limit_violations('p', arrivals_s[1:], 1), [])
        self.assertEqual(len(find_limit_violations('p', arrivals_s, 1)), 1)
