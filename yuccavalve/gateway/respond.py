"""Send answers to callers."""

import json

from yuccavalve.const import HEADER_RESULT
from yuccavalve.exceptions import BackendLostError
from yuccavalve.gateway.const import LARGE_PART_BYTES, MAX_ANSWER_BYTES
from yuccavalve.gateway.models import AnswerKind, RoutedRequest
from yuccavalve.ports.backend import BackendAnswer, HeaderFields
from yuccavalve.ports.relay import RelayAnswer
from yuccavalve.results import MayHaveRun, NotRun, Outcome, http_status

__all__ = (
    'async_pass_body',
    'async_send_end',
    'async_send_part',
    'async_send_refusal',
    'async_send_start',
    'async_send_taken',
)


async def async_send_start(
    routed: RoutedRequest,
    status: int,
    headers: HeaderFields,
) -> None:
    """Send the status and headers of an answer.

    While the daemon stops it closes the connection, unless a request was read
    that waits for this answer: it would be dropped unanswered.
    """
    fields = list(headers)
    if routed.stop.stopping and not routed.has_next():
        fields.append((b'connection', b'close'))
    routed.response_began = True
    routed.response_head = AnswerKind.from_head(status, headers)
    await routed.send(
        {'type': 'http.response.start', 'status': status, 'headers': fields},
    )


async def async_send_part(routed: RoutedRequest, part: bytes) -> None:
    """Send a chunk of the answer's body."""
    await routed.send(
        {'type': 'http.response.body', 'body': part, 'more_body': True},
    )


async def async_send_taken(routed: RoutedRequest, part: bytes) -> None:
    """Send a chunk, and wait until the connection has sent most of it.

    The server waits for room before it writes, also before an empty chunk.
    """
    await async_send_part(routed, part)
    await async_send_part(routed, b'')


async def async_pass_body(
    routed: RoutedRequest,
    answer: BackendAnswer | RelayAnswer,
    parts: list[bytes],
    *,
    is_whole: bool,
) -> None:
    """Pass an answer on that is not a stream of events.

    Parameters
    ----------
    parts
        What was read of its body.
    is_whole
        Whether that is the whole body; the rest is passed on as it arrives.
    """
    size_bytes = sum(map(len, parts))
    headers = list(answer.headers)
    if is_whole:
        headers.append((b'content-length', str(size_bytes).encode()))
    await async_send_start(routed, answer.status, headers)
    routed.response_head = None
    if is_whole and size_bytes <= LARGE_PART_BYTES:
        await async_send_end(routed, b''.join(parts))
        return
    for part in parts:
        await async_send_taken(routed, part)
    parts.clear()
    if not is_whole:
        await _async_pass_rest(routed, answer, size_bytes)
    await async_send_end(routed)


async def _async_pass_rest(
    routed: RoutedRequest, answer: BackendAnswer | RelayAnswer, size_bytes: int
) -> None:
    while True:
        chunk = await answer.async_read()
        if not chunk:
            return
        size_bytes += len(chunk)
        if size_bytes > MAX_ANSWER_BYTES:
            raise BackendLostError('body is too large')
        await async_send_taken(routed, chunk)


async def async_send_end(routed: RoutedRequest, part: bytes = b'') -> None:
    """Send the last chunk of the answer's body."""
    await routed.send(
        {'type': 'http.response.body', 'body': part, 'more_body': False},
    )
    routed.response_ended = True


async def async_send_refusal(routed: RoutedRequest, outcome: Outcome) -> None:
    """Send an error answer that carries the result code of an outcome."""
    retry_after_s = getattr(outcome, 'retry_after_s', None)
    error = {
        'code': int(outcome.code),
        'name': outcome.code.name,
        'message': getattr(outcome, 'text', ''),
        'ran': _ran_text(outcome),
    }
    body = json.dumps({'error': error}).encode()
    headers = [
        *routed.inbound.echo,
        (b'content-type', b'application/json'),
        (b'content-length', str(len(body)).encode()),
        (HEADER_RESULT.encode(), str(int(outcome.code)).encode()),
    ]
    if retry_after_s is not None:
        headers.append((b'retry-after', f'{retry_after_s:.3f}'.encode()))
    await async_send_start(routed, http_status(outcome.code), headers)
    await async_send_end(routed, body)


def _ran_text(outcome: Outcome) -> str:
    """Return the answer's ``ran`` value: whether an engine began to run it."""
    if isinstance(outcome, MayHaveRun):
        return 'unknown'
    return 'no' if isinstance(outcome, NotRun) else 'refused'
