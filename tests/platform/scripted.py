"""Requests whose answers break off or pause at each byte.

Callers' answers are read by ``http.client``, which shares no code with the
daemons.
"""

import asyncio
import http.client
import io
import unittest
from collections.abc import Callable, Mapping, Sequence
from typing import Any
from unittest import mock

import attrs

from tests.platform import builders
from tests.platform.standin import FleetStandin, ScriptedAnswer
from tests.platform.support import DaemonRun
from yuccavalve.fleet.activity import Activity

__all__ = (
    'Batch',
    'CHUNKS_FIRST',
    'FRAMINGS',
    'MANY_SLOTS',
    'ONCE',
    'REPEATABLE',
    'MAIN_FRAMINGS',
    'RESUMABLE',
    'STREAM_ONCE',
    'UNDEFINED_STATUSES',
    'check_broken',
    'check_whole',
    'configuration',
    'knows_all',
    'prepare',
    'settings',
)

_IN_PARALLEL = 24
_MAX_TRIALS = 6
MANY_SLOTS = 500
_TIMEOUT_MS = 30000
ONCE = '/once/x'
REPEATABLE = '/get/x'
STREAM_ONCE = '/once-llm/x'
RESUMABLE = '/llm/x'
_STREAMS = frozenset((STREAM_ONCE, RESUMABLE))
_REPEATED = frozenset((REPEATABLE, RESUMABLE))
_INTERIM = b'HTTP/1.1 103 X\r\nA: b\r\n\r\n'
_EVENTS = tuple(
    b'id: %d\ndata: %d\n\n' % (number, number) for number in (1, 2, 3)
)
_LENGTH_FIRST = 'length first'
LENGTH_LAST = 'length last'
CHUNKS_FIRST = 'chunks first'
_CHUNKS_LAST = 'chunks last'
UNFRAMED = 'unframed'
FRAMINGS = (
    _LENGTH_FIRST,
    LENGTH_LAST,
    CHUNKS_FIRST,
    _CHUNKS_LAST,
    UNFRAMED,
)
# One of each kind, where both orders of the fields would take too long.
MAIN_FRAMINGS = (LENGTH_LAST, CHUNKS_FIRST, UNFRAMED)
# Statuses that are neither interim nor final ones.
UNDEFINED_STATUSES = (
    b'000 X',
    b'001 X',
    b'099 X',
    b'600 X',
    b'777',
    b'999 X',
    b'-20 X',
    b'0200 OK',
    b'2000 OK',
    b'abc',
    b'',
)
_NOT_RUN_FIELDS = b'Not-Executed: 1\r\nRetry-After: 1\r\n'
# Interim answers have no body. Of some the parser reads one all the same.
_INTERIM_BODIES = tuple(
    b'HTTP/1.1 %d X\r\n%b\r\n\r\n%b' % (status, field, body)
    for status in (100, 103, 150, 199)
    for field, body in (
        (b'Content-Length: 5', b'hello'),
        (b'Transfer-Encoding: chunked', b'5\r\nhello\r\n0\r\n\r\n'),
    )
)
_MAX_SHOWN = 8
_RETRY_S = 0.05
_END_NAMES = {False: 'closed', True: 'reset'}


@attrs.frozen
class _Encoded:
    """An answer as an engine sends it."""

    head: bytes
    body: bytes

    @property
    def whole(self) -> bytes:
        """Return all bytes of the answer."""
        return self.head + self.body

    def broken_lengths(self, framing: str, *, resets: bool) -> range:
        """Return the numbers of sent bytes that make no whole answer."""
        if framing != UNFRAMED:
            return range(len(self.whole))
        # The end of the connection is the end of the body, unless by a reset.
        return range(len(self.whole) + 1 if resets else len(self.head))


def _encode(
    framing: str,
    request_id: str,
    body: bytes,
    *fields: bytes,
    signature: bytes = b's',
    status: bytes = b'200 OK',
) -> _Encoded:
    kind = {
        'length': b'Content-Length: %d' % len(body),
        'chunks': b'Transfer-Encoding: chunked',
    }.get(framing.partition(' ')[0], b'')
    lines = [b'Request-Id: ' + request_id.encode(), *fields]
    if signature:
        lines.append(b'Response-Signature: ' + signature)
    if kind:
        lines.insert(0 if framing.endswith('first') else len(lines), kind)
    head = b'\r\n'.join((b'HTTP/1.1 ' + status, *lines, b'', b''))
    if not framing.endswith('last'):
        head = _INTERIM + head
    if framing.startswith('chunks'):
        half = len(body) // 2
        chunks = b''.join(
            b'%x;e=1\r\n%b\r\n' % (len(part), part)
            for part in (body[:half], body[half:])
        )
        body = chunks + b'0\r\nT: t\r\n\r\n'
    return _Encoded(head, body)


@attrs.frozen
class Found:
    """An answer as a caller received it; status 0 without a head."""

    status: int = 0
    headers: Mapping[str, str] = attrs.field(factory=dict)
    body: bytes = b''
    is_complete: bool = False


class _Received:
    """Received bytes in the place of a socket."""

    def __init__(self, received: bytes) -> None:
        self._file = io.BytesIO(received)

    def makefile(self, mode: str) -> io.BytesIO:
        return self._file


def _parse(received: bytes, *, is_reset: bool) -> Found:
    response = http.client.HTTPResponse(_Received(received))  # type: ignore
    try:
        response.begin()
    except (http.client.HTTPException, OSError):
        return Found()
    headers = {name.lower(): text for name, text in response.getheaders()}
    try:
        body = response.read()
    except http.client.IncompleteRead as error:
        return Found(response.status, headers, error.partial)
    return Found(response.status, headers, body, not is_reset)


def _plain_body(attempt: int) -> bytes:
    return b'the answer of attempt %d' % attempt


def _encode_stream(
    framing: str, request_id: str, last_event: int = 0
) -> _Encoded:
    return _encode(
        framing,
        request_id,
        b''.join(_EVENTS[last_event:]),
        b'Content-Type: text/event-stream',
    )


def _encode_refusal(request_id: str, code: int) -> _Encoded:
    return _encode(
        LENGTH_LAST,
        request_id,
        b'{}',
        b'X-Result-Code: %d' % code,
        b'Retry-After: 1',
        signature=b'',
        status=b'503 X',
    )


def _encode_for(target: str, framing: str, request_id: str) -> _Encoded:
    if target in _STREAMS:
        return _encode_stream(framing, request_id)
    return _encode(framing, request_id, _plain_body(1), signature=b's1')


@attrs.define
class _Case:
    """A request whose first answers are scripted.

    Attributes
    ----------
    name
        What the answers are; also the request's body, so that no two requests
        are equal.
    is_answer
        Whether the last scripted answer counts up to where it breaks off.
    runs
        Number of times that the request began to run.
    """

    name: str
    target: str
    answers: Sequence[ScriptedAnswer]
    is_answer: bool = True
    runs: int = 0

    def next_answer(self, fields: Mapping[str, str]) -> bytes | ScriptedAnswer:
        """Return the next scripted answer, and a whole one after the last."""
        self.runs += 1
        if self.runs <= len(self.answers):
            return self.answers[self.runs - 1]
        request_id = fields['request-id']
        if self.target in _STREAMS:
            last_event = int(fields.get('last-event-id', '0'))
            return _encode_stream(LENGTH_LAST, request_id, last_event).whole
        return _encode(
            LENGTH_LAST,
            request_id,
            _plain_body(self.runs),
            signature=b's%d' % self.runs,
        ).whole

    def has_expected(self, found: Found) -> bool:
        """Return whether a caller may get an answer after broken ones."""
        if self.target not in _REPEATED:
            return self.runs == 1 and self._is_failure(found)
        if self.target == REPEATABLE:
            return self.runs == len(self.answers) + 1 and self.is_whole(found)
        if self.is_answer and _EVENTS[-1] in b''.join(self.answers[-1].parts):
            # What follows the last event can't be told from a lost one.
            return _is_broken_off(found, b''.join(_EVENTS))
        return self.runs == len(self.answers) + 1 and self.is_whole(found)

    def has_failed_safely(self, found: Found) -> bool:
        """Return whether a repeatable request was not answered whole."""
        is_expected = self.target not in _REPEATED or self.has_expected(found)
        return not is_expected and self._is_failure(found)

    def is_whole(self, found: Found) -> bool:
        """Return whether an answer is all of an engine's."""
        if found.status != 200 or not found.is_complete:
            return False
        if self.target in _STREAMS:
            return found.body == b''.join(_EVENTS)
        signature = found.headers.get('response-signature')
        return (found.body, signature) == (
            _plain_body(self.runs),
            f's{self.runs}',
        )

    def _is_failure(self, found: Found) -> bool:
        if found.status == 502:
            return 'response-signature' not in found.headers
        whole = _plain_body(1)
        if self.target in _STREAMS:
            whole = b''.join(_EVENTS)
        return _is_broken_off(found, whole)


def _is_broken_off(found: Found, whole: bytes) -> bool:
    return (
        found.status in {0, 200}
        and not found.is_complete
        and whole.startswith(found.body)
    )


class Batch:
    """Cases that engines tell apart by the ids of their requests."""

    def __init__(self) -> None:
        """Start without cases."""
        self.cases: dict[str, _Case] = {}

    def add(
        self,
        target: str,
        name: str,
        answers: Callable[[str], Sequence[ScriptedAnswer]],
        *,
        is_answer: bool = True,
    ) -> None:
        """Add a case whose answers depend on the request's id."""
        request_id = f'{len(self.cases):04x}'
        self.cases[request_id] = _Case(
            name, target, answers(request_id), is_answer
        )

    def add_cuts(self, target: str, framing: str, *, resets: bool) -> None:
        """Add cases whose first answer breaks off at each position."""
        sample = _encode_for(target, framing, '0000')
        for sent in sample.broken_lengths(framing, resets=resets):
            self.add(
                target,
                f'{target}: {framing}, {_END_NAMES[resets]} after {sent}',
                lambda request_id: (
                    ScriptedAnswer(
                        (
                            _encode_for(target, framing, request_id).whole[
                                :sent
                            ],
                        ),
                        resets,
                    ),
                ),
            )

    def add_continued_cuts(self, framing: str, *, resets: bool) -> None:
        """Add streams whose second engine breaks off at each position."""
        sample = _encode_stream(framing, '0000', 1)
        begun_bytes = len(_EVENTS[0]) + 5
        for sent in sample.broken_lengths(framing, resets=resets):

            def answers(request_id: str) -> tuple[ScriptedAnswer, ...]:
                first = _encode_stream(_LENGTH_FIRST, request_id)
                second = _encode_stream(framing, request_id, 1)
                return (
                    ScriptedAnswer((first.head + first.body[:begun_bytes],)),
                    ScriptedAnswer((second.whole[:sent],), resets),
                )

            name = f'continued: {framing}, {_END_NAMES[resets]} after {sent}'
            self.add(RESUMABLE, name, answers)

    def add_refusal_cuts(self, target: str, code: int) -> None:
        """Add cases whose first answer is a daemon's broken refusal."""
        sample = _encode_refusal('0000', code)
        for sent in sample.broken_lengths(LENGTH_LAST, resets=False):
            self.add(
                target,
                f'{target}: refusal {code}, closed after {sent}',
                lambda request_id: (
                    ScriptedAnswer(
                        (_encode_refusal(request_id, code).whole[:sent],)
                    ),
                ),
            )

    def add_statuses(self, target: str, *, not_run: bool = False) -> None:
        """Add cases whose first answer is whole but for its status.

        With ``not_run`` its head also says that the request has not run.
        """
        field = _NOT_RUN_FIELDS if not_run else b''
        for status in UNDEFINED_STATUSES:
            for framing in MAIN_FRAMINGS:
                self._add_no_answer(
                    target,
                    f'{target}: {framing}, status {status!r}, {field!r}',
                    lambda request_id: _encode_for(
                        target, framing, request_id
                    ).whole.replace(
                        b' 200 OK\r\n', b' %b\r\n%b' % (status, field)
                    ),
                )

    def add_interim_bodies(self, target: str) -> None:
        """Add cases whose interim answer has a body."""
        for interim in _INTERIM_BODIES:
            self._add_no_answer(
                target,
                f'{target}: {interim!r}',
                lambda request_id: (
                    interim + _encode_for(target, LENGTH_LAST, request_id).whole
                ),
            )

    def add_continued_statuses(self) -> None:
        """Add streams whose second engine answers with such a status."""
        begun_bytes = len(_EVENTS[0]) + 5
        for status in UNDEFINED_STATUSES:

            def answers(request_id: str) -> tuple[ScriptedAnswer, ...]:
                first = _encode_stream(_LENGTH_FIRST, request_id)
                second = _encode_stream(LENGTH_LAST, request_id, 1).whole
                return (
                    ScriptedAnswer((first.head + first.body[:begun_bytes],)),
                    ScriptedAnswer((second.replace(b'200 OK', status),)),
                )

            name = f'continued: status {status!r}'
            self.add(RESUMABLE, name, answers, is_answer=False)

    def _add_no_answer(
        self, target: str, name: str, encode: Callable[[str], bytes]
    ) -> None:
        """Add a case whose first answer is none, though it is sent whole."""
        self.add(
            target,
            name,
            lambda request_id: (ScriptedAnswer((encode(request_id),)),),
            is_answer=False,
        )

    def add_pauses(self, target: str, framing: str) -> None:
        """Add cases whose whole answer pauses at each position."""
        length = len(_encode_for(target, framing, '0000').whole)
        for sent in range(1, length):

            def answers(request_id: str) -> tuple[ScriptedAnswer, ...]:
                whole = _encode_for(target, framing, request_id).whole
                return (ScriptedAnswer((whole[:sent], whole[sent:])),)

            self.add(target, f'{target}: {framing}, pause at {sent}', answers)

    def script(self, fields: Mapping[str, str]) -> bytes | ScriptedAnswer:
        """Return an engine's answer to its request."""
        case = self.cases.get(fields['request-id'])
        return b'' if case is None else case.next_answer(fields)

    async def async_run(self, address: str) -> dict[str, Found]:
        """Send all requests, many at a time; return the answers."""
        gate = asyncio.Semaphore(_IN_PARALLEL)

        async def async_one(request_id: str) -> Found:  # noqa: WPS430
            async with gate:
                return await self._async_answer(address, request_id)

        found = await asyncio.gather(*map(async_one, self.cases))
        return dict(zip(self.cases, found, strict=True))

    async def _async_answer(self, address: str, request_id: str) -> Found:
        """Return the answer of the first trial that a busy machine let end.

        There, connections time out that a repeated request would need. What
        looks complete, and any end of a once-only request, counts at once.
        """
        case = self.cases[request_id]
        for _ in range(_MAX_TRIALS):
            case.runs = 0
            found = await self._async_call(address, request_id)
            if not case.has_failed_safely(found):
                break
        return found

    async def _async_call(self, address: str, request_id: str) -> Found:
        """Send a request again for as long as it is refused unsent."""
        case = self.cases[request_id]
        while True:
            found = await _async_call(address, request_id, case)
            if found.status != 503 or case.runs:
                return found
            await asyncio.sleep(_RETRY_S)


async def _async_call(address: str, request_id: str, case: _Case) -> Found:
    body = case.name.encode()
    lines = [
        f'POST {case.target} HTTP/1.1',
        'Host: h.example',
        'Connection: close',
        f'Request-Id: {request_id}',
        f'X-Api-Key: {builders.KEY}',
        f'Deadline-Ms: {_TIMEOUT_MS}',
        f'Content-Length: {len(body)}',
    ]
    if case.target in _STREAMS:
        lines += [f'Model: {builders.MODEL}', 'Token-Counts: 100,80']
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    received = b''
    is_reset = False
    try:
        writer.write('\r\n'.join((*lines, '', '')).encode() + body)
        while chunk := await reader.read(65536):
            received += chunk
    except ConnectionError:
        is_reset = True
    finally:
        writer.close()
    return _parse(received, is_reset=is_reset)


def check_broken(
    test: unittest.TestCase, batch: Batch, found: Mapping[str, Found]
) -> None:
    """Check what callers got after broken answers."""
    wrong = [
        (case.name, case.runs, found[request_id])
        for request_id, case in batch.cases.items()
        if not case.has_expected(found[request_id])
    ]
    test.assertEqual(wrong[:_MAX_SHOWN], [], f'{len(wrong)} wrong')


def check_whole(
    test: unittest.TestCase, batch: Batch, found: Mapping[str, Found]
) -> None:
    """Check that callers got the whole answer of the first run."""
    wrong = [
        (case.name, case.runs, found[request_id])
        for request_id, case in batch.cases.items()
        if case.runs != 1 or not case.is_whole(found[request_id])
    ]
    test.assertEqual(wrong[:_MAX_SHOWN], [], f'{len(wrong)} wrong')


def prepare(test: unittest.TestCase) -> None:
    """Let thousands of requests break off at the same few engines.

    Without suspicions each request has another engine left. The debug mode of
    the event loop more than doubles the time of the test.
    """
    asyncio.get_running_loop().set_debug(False)
    patched = mock.patch.object(Activity, 'avoid')
    patched.start()
    test.addCleanup(patched.stop)


def configuration() -> dict[str, Any]:
    """Return a configuration that allows three attempts at each request."""
    document = builders.configuration()
    document['routes'].append(
        builders.route(
            'stream-once',
            '/once-llm/',
            kind='streaming',
            service='llm',
            sticky=True,
            gap_target_ms=200,
        ),
    )
    for route in document['routes']:
        route.update(timeout_ms=_TIMEOUT_MS, max_attempts=3)
    for service in document['services']:
        service['max_conns'] = MANY_SLOTS
    document['services'][0]['engine']['slots'] = MANY_SLOTS
    return document


def settings(fleet: FleetStandin, name: str = 'front-0') -> Any:
    """Return settings of a daemon that may repeat all requests."""
    settings = builders.settings(fleet.store_address, name=name)
    bounds = attrs.evolve(settings.bounds, retry_extra=1000000)
    return attrs.evolve(settings, bounds=bounds)


def knows_all(daemon: DaemonRun) -> bool:
    """Return whether all servers and replicas of the tests serve."""
    view = daemon.node.view
    return (
        len(view.backends('portal')) == 3
        and len(view.heads('llm', builders.MODEL)) == 3
    )
