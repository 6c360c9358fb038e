"""Decoding of engine records, routes and request headers."""

import contextlib
import json
import unittest

from tests.platform import builders
from tests.support.odd_documents import odd_documents
from yuccavalve.access import key_digest
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.ports.fleet import Membership, MemberState
from yuccavalve.prompts import part_ids
from yuccavalve.routing import RequestKind
from yuccavalve_platform.engines import decode_engine
from yuccavalve_platform.notices import decode_notice
from yuccavalve_platform.requests import PlatformDecoder
from yuccavalve_platform.routes import decode_routes

_ENTRY = {
    'service': 'llm',
    'address': '10.0.0.1:8080',
    'zone': 'a',
    'slots': 4,
    'state': 'ready',
    'born': 17,
    'domain': 'd0',
    'is_staged': ['m'],
    'models': [{'name': 'm', 'version': 1}],
    'group': {'name': 'r1', 'epoch': 3, 'rank': 0, 'state': 'open'},
}


def _scope(*fields: tuple[bytes, bytes]) -> dict[str, object]:
    return {
        'method': 'POST',
        'raw_path': b'/llm/a%20b',
        'query_string': b'c=d',
        'headers': [
            (b'host', b'H.example:80'),
            (b'request-id', b'id-1'),
            *fields,
        ],
    }


class OddDocumentTest(unittest.TestCase):
    """Documents and rows with a field of another type."""

    def test_odd_configuration_raises_only_errors_that_readers_expect(
        self,
    ) -> None:
        for document in odd_documents(builders.configuration()):
            encoded = json.dumps(document).encode()
            with contextlib.suppress(KeyError, TypeError, ValueError):
                decode_routes(encoded)

    def test_odd_engine_record_raises_only_errors_that_readers_expect(
        self,
    ) -> None:
        for entry in odd_documents(_ENTRY):
            with contextlib.suppress(KeyError, TypeError, ValueError):
                decode_engine('i-1', entry)


class NoticeTest(unittest.TestCase):
    """Decoding of what engines say of themselves."""

    def test_limit_of_a_misdirected_answer_is_another_engine_s(self) -> None:
        fields = {b'server-limit': b'1.5'}
        self.assertEqual(decode_notice(200, fields).limit, '1.5')
        self.assertEqual(decode_notice(503, fields).limit, '1.5')
        self.assertIsNone(decode_notice(421, fields).limit)

    def test_only_own_answers_tell_that_there_is_no_limit(self) -> None:
        self.assertIsNone(decode_notice(200, {}).asked_at_s)
        self.assertEqual(decode_notice(200, {}, 7).asked_at_s, 7)

    def test_unreadable_time_left_does_not_make_an_engine_cold(self) -> None:
        for text, left_s in ((b'1500', 1.5), (b'0', 0), (b'-1', 0), (b'x', 0)):
            notice = decode_notice(200, {b'cold-ms': text})
            self.assertEqual(notice.warmup_left_s, left_s)
        misdirected = decode_notice(421, {b'cold-ms': b'1500'})
        self.assertEqual(misdirected.warmup_left_s, 0)


class EngineTest(unittest.TestCase):
    """Decoding of engine records."""

    def test_record(self) -> None:
        record = decode_engine('i-1', _ENTRY)
        self.assertEqual(record.born_ms, 17)
        self.assertEqual(record.staged, {'m'})
        self.assertEqual(
            record.membership,
            Membership('r1', 3, 0, MemberState.OPEN),
        )

    def test_unreadable_time_left_does_not_hide_an_engine(self) -> None:
        for left_ms, left_s in ((1500, 1.5), (None, 0), ('x', 0), (-1, 0)):
            record = decode_engine('i-1', {**_ENTRY, 'cold_left_ms': left_ms})
            self.assertEqual(record.warmup_left_s, left_s)

    def test_fields_of_wrong_type_are_rejected(self) -> None:
        broken = (
            {'address': 'nowhere'},
            {'address': 7},
            {'slots': '4'},
            {'slots': True},
            {'state': 'odd'},
            {'born': 1.5},
            {'group': {'name': 'r1'}},
            {'group': {**_ENTRY['group'], 'state': 'odd'}},
            {'is_staged': 'm'},
            {'service': None},
        )
        for fields in broken:
            with (
                self.subTest(fields=fields),
                self.assertRaises((KeyError, TypeError, ValueError)),
            ):
                decode_engine('i-1', {**_ENTRY, **fields})

    def test_missing_fields_are_rejected(self) -> None:
        for name in ('service', 'address', 'zone', 'slots', 'state'):
            entry = {key: _ENTRY[key] for key in _ENTRY if key != name}
            with (
                self.subTest(name=name),
                self.assertRaises((KeyError, TypeError, ValueError)),
            ):
                decode_engine('i-1', entry)


class RoutesTest(unittest.TestCase):
    """Decoding of the operator's configuration into routes."""

    def test_longest_prefix_and_kinds(self) -> None:
        document = builders.configuration()
        document['routes'].append(
            builders.route('deep', '/get/deep/', kind='non_idempotent'),
        )
        table = decode_routes(json.dumps(document).encode())
        route = table.route('h.example', '/get/deep/x')
        self.assertEqual(route and route.name, 'deep')
        self.assertIs(route and route.kind, RequestKind.ONCE)
        self.assertIsNone(table.route('h.example', '/get'))
        self.assertIsNone(table.route('other', '/get/'))

    def test_keys_are_kept_as_digests(self) -> None:
        table = decode_routes(json.dumps(builders.configuration()).encode())
        found = table.workspaces_by_digest[key_digest(builders.KEY)]
        self.assertEqual((found.name, found.priority), ('north', 1))
        self.assertNotIn(builders.KEY, repr(table))

    def test_split_by_weight(self) -> None:
        document = builders.configuration()
        document['routes'] = [
            builders.route(
                'split',
                '/s/',
                split=[
                    {'service': 'portal', 'weight': 90},
                    {'service': 'llm', 'weight': 10},
                ],
            ),
        ]
        table = decode_routes(json.dumps(document).encode())
        splits = table.route('h.example', '/s/').splits
        self.assertEqual([split.weight for split in splits], [90, 10])


class InboundTest(unittest.TestCase):
    """Decoding of request headers from callers."""

    def test_fields_that_the_gateway_sets_are_removed(self) -> None:
        inbound = PlatformDecoder().decode(
            _scope(
                (b'tenant', b'forged'),
                (b'x-api-key', b'secret'),
                (b'request-priority', b'0'),
                (b'connection', b'x-hop'),
                (b'x-hop', b'1'),
                (b'x-kept', b'2'),
                (b'transfer-encoding', b'chunked'),
            ),
        )
        names = {name for name, _ in inbound.headers}
        self.assertEqual(names, {b'host', b'request-id', b'x-kept'})
        self.assertEqual(inbound.target, b'/llm/a%20b?c=d')
        self.assertEqual(inbound.host, 'h.example')

    def test_bad_numbers_are_refused(self) -> None:
        for name, text in (
            (b'deadline-ms', b'soon'),
            (b'token-counts', b'1'),
            (b'token-counts', b'a,b'),
        ):
            with (
                self.subTest(name=name, text=text),
                self.assertRaises(RequestRefusedError),
            ):
                PlatformDecoder().decode(_scope((name, text)))

    def test_shared_parts_of_a_prompt_are_all_but_the_last(self) -> None:
        for text, names in (
            (b'5C1e:800, 91bd:410 ,e444:250', ('5c1e', '91bd')),
            (b'5c1e:800,5c1e:3,91bd:410,e444:250', ('5c1e', '91bd')),
            (b'e444:250', ()),
            (b'', ()),
            (b',,:', ()),
        ):
            with self.subTest(text=text):
                inbound = PlatformDecoder().decode(
                    _scope((b'prompt-prefix', text))
                )
                self.assertEqual(inbound.prompt_parts, part_ids(names))

    def test_parts_of_one_prompt_are_bounded(self) -> None:
        entries = b','.join(b'%x:1' % number for number in range(1000))
        inbound = PlatformDecoder().decode(_scope((b'prompt-prefix', entries)))
        self.assertEqual(len(inbound.prompt_parts), 32)

    def test_request_without_id_is_refused(self) -> None:
        scope = _scope()
        scope['headers'] = [(b'host', b'h.example')]
        with self.assertRaises(RequestRefusedError):
            PlatformDecoder().decode(scope)
