"""Entries of other writers in the list of engines."""

import asyncio
import base64
import copy
import json
import unittest
from random import Random
from typing import Any

from absl import logging
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tests.platform import builders
from tests.support.formation_builders import formation_planner
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fleet.activity import Activity
from yuccavalve.fleet.view import FleetView
from yuccavalve.formation import (
    FormationInput,
)
from yuccavalve.gateway import EngineSelector
from yuccavalve.gateway.models import InboundRequest, RoutedRequest
from yuccavalve.observability.logs import JsonFormatter
from yuccavalve.peers.engine_news import build_engine_news, decode_engine_news
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.ports.fleet import EngineChanges
from yuccavalve.ports.position import Position
from yuccavalve_platform.routes import decode_routes
from yuccavalve_platform.store import EngineRows, StoreRows

_ENTRY = {
    'service': 'llm',
    'address': '127.0.0.1:9',
    'zone': 'zone-a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'cold_left_ms': 0,
    'born': 1790000000000,
    'seq': 3,
    'domain': 'd0',
    'is_staged': [builders.MODEL],
    'models': [{'name': builders.MODEL, 'version': 1, 'adapters': []}],
    'group': {'name': 'r1', 'epoch': 12, 'rank': 0, 'state': 'open'},
}
_PATHS = (
    *((field,) for field in _ENTRY),
    ('models', 0),
    ('models', 0, 'name'),
    ('is_staged', 0),
    *(('group', field) for field in _ENTRY['group']),
)
_MARK = '"-odd-"'
_NESTED = ('[' * 900 + ']' * 900, '{"a":' * 100000 + '1' + '}' * 100000)
# JSON texts that name no engine wherever a field that is used holds them.
_ODD = (
    *('1e400', '-1e400', 'NaN', 'Infinity', '1e9999999', '9' * 400),
    *('9' * 5000, '-1', '1.5', 'true', '[null]', '[["m"]]', '{"a":1}'),
    *('"\\ud800"', '"\\u0000"', '"a\\r\\nb"', f'"{"x" * 201}"', *_NESTED),
)
_EDGES = (
    *('null', '0', '1', '"x"', '""', '"ready"', '"joining"', '"\u00b2"'),
    *('65536', '4294967295', '4294967296', '4102444800000'),
    *('9007199254740993', '18446744073709551615', '18446744073709551616'),
    *('"h:65535"', '"h:65536"', '"h:0"', '"h:\u0663"', '"a..b:80"', '[]'),
)
_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
).map(json.dumps)
_TEXTS = st.sampled_from((*_ODD, *_EDGES)) | _JSON
_KEYS = st.sampled_from(('x-1', 'i-1', '\u00b2', 'a b', '\ud800', 'k' * 201))
_SERVICE = decode_routes(builders.encoded_configuration()).services['llm']


def _encoded(text: str) -> str:
    return base64.b64encode(text.encode('utf-8', 'surrogatepass')).decode()


def _with(path: tuple[Any, ...], text: str) -> str:
    """Return an encoded entry in which one field holds a JSON text."""
    entry = copy.deepcopy(_ENTRY)
    parent: Any = entry
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = _MARK.strip('"')
    return _encoded(json.dumps(entry).replace(_MARK, text))


class _Calls:
    """Answers each reading with the rows of two engines and an odd one."""

    def __init__(self, key: Any, value: Any) -> None:
        self.rows = [
            {
                'key': f'i-{rank}',
                'ver': 1,
                'value': _encoded(
                    json.dumps(
                        {**_ENTRY, 'group': {**_ENTRY['group'], 'rank': rank}}
                    )
                ),
            }
            for rank in (0, 1)
        ]
        self.rows.append({'key': key, 'ver': 2, 'value': value})

    async def async_rows(self, table: str) -> StoreRows:
        return StoreRows(self.rows, Position(0, 2))


def _read(key: Any, value: Any) -> EngineChanges:
    return asyncio.run(EngineRows(_Calls(key, value)).async_read())


class OddEntryTest(unittest.TestCase):
    """Two engines that serve a model, and one odd entry."""

    @settings(max_examples=400, derandomize=True, deadline=None, database=None)
    @given(
        _KEYS,
        st.builds(_with, st.sampled_from(_PATHS), _TEXTS)
        | _TEXTS.map(_encoded)
        | st.text()
        | st.none()
        | st.binary().map(lambda each: base64.b64encode(each).decode()),
    )
    @example('x-1', _with(('models', 0, 'name'), '["m"]'))
    @example('x-1', _with(('cold_left_ms',), '1e400'))
    @example('\u00b2', _encoded(json.dumps(_ENTRY)))
    def test_other_engines_serve_on(self, key: str, value: Any) -> None:
        """An error on the way ends a loop, a step or an exchange for all."""
        with self.assertLogs('absl', logging.INFO) as logs:
            changes = _read(key, value)
            view = FleetView()
            for at_s in (1, 2):
                view.apply(changes, at_s)
            self._plan(view)
            self._select(view)
            relayed = FleetView()
            news = build_engine_news(view, 'd', peer_pb2.EnginesKnown(), 3)
            received = peer_pb2.EngineNews.FromString(news.SerializeToString())
            relayed.apply_relayed(decode_engine_news(received), 3)
            self._plan(relayed)
        for line in logs.records:
            JsonFormatter('front-1').format(line)
        self.assertEqual(set(view.records()), set(relayed.records()))
        for name in {'i-0', 'i-1'} - {key}:
            self.assertIsNotNone(relayed.engine(name), name)

    def test_entry_that_does_not_fit_names_no_engine(self) -> None:
        """Requests went to it, or its record could not be told to others."""
        used = set(_PATHS) - {('version',), ('seq',), ('cold_left_ms',)}
        cases = [(path, text) for path in used for text in _ODD]
        ports = ('0', '65536', '\u0663', '1e4', '-1', '99999999')
        cases.extend((('address',), f'"h:{port}"') for port in ports)
        cases.append((('cold_left_ms',), '9' * 400))
        cases.extend((('seq',), text) for text in ('NaN', *_NESTED))
        for path, text in cases:
            with (
                self.subTest(path=path, text=text[:20]),
                self.assertLogs('absl', logging.WARNING),
            ):
                found = _read('i-1', _with(path, text)).records
                self.assertIsNone(found['i-1'])
                self.assertIsNotNone(found['i-0'])

    def _plan(self, view: FleetView) -> None:
        engines = {each.engine: each for each in view.records()}
        planner = formation_planner()
        planner.start_term(1)
        for now_s in (4, 9):
            planner.step(FormationInput(_SERVICE, engines), now_s)

    def _select(self, view: FleetView) -> None:
        selector = EngineSelector(view, Activity(), Random(1), 'zone-a')
        inbound = InboundRequest(
            'id', 'h', 'POST', '/', b'/', (), model=builders.MODEL
        )
        routed = RoutedRequest(inbound, None, None, 0)
        try:
            selector.choose(_SERVICE, routed, 3)
        except RequestRefusedError:
            self.assertIsNone(view.engine('i-0'))
