"""Write answers to callers."""

import json
import math
from collections.abc import Mapping

from yuccavalve.const import HEADER_DAEMON, HEADER_REQUEST, HEADER_RESULT
from yuccavalve.requests.const import CONTENT_EVENTS, CONTENT_JSON
from yuccavalve.requests.models import Exchange
from yuccavalve.results import (
    MayHaveRun,
    NotRun,
    Outcome,
    Refused,
    ResultCode,
    http_status,
)

__all__ = (
    'async_begin_events',
    'async_end_events',
    'async_respond',
    'async_respond_outcome',
    'error_document',
    'error_event',
)

_OK = 200


def error_document(
    exchange: Exchange,
    outcome: Outcome,
    entries: tuple[str, ...] = (),
) -> dict[str, object]:
    """Return the JSON body of an error answer."""
    text = getattr(outcome, 'text', '')
    error: dict[str, object] = {
        'code': int(outcome.code),
        'name': outcome.code.name,
        'message': text,
        'ran': _ran(exchange, outcome),
    }
    retry_after_s = getattr(outcome, 'retry_after_s', None)
    if retry_after_s is not None:
        error['retry_after_s'] = round(retry_after_s, 3)
    if entries:
        error['entries'] = list(entries)
    return {'error': error}


def error_event(exchange: Exchange, outcome: Outcome) -> bytes:
    """Return the error event that ends an incomplete stream."""
    body = json.dumps(error_document(exchange, outcome))
    return f'event: error\ndata: {body}\n\n'.encode()


async def async_respond(
    exchange: Exchange,
    body: bytes,
    content_type: str,
    headers: Mapping[str, str] | None = None,
    status: int = _OK,
    *,
    keep_open: bool = False,
) -> None:
    """Send an answer; ``keep_open`` leaves its end to a later call."""
    code = exchange.outcome.code if exchange.outcome else ResultCode.ANSWERED
    exchange.response_started = True
    await exchange.send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': _headers(
                exchange,
                {
                    'content-type': content_type,
                    'content-length': str(len(body)),
                    HEADER_RESULT: str(int(code)),
                    **(headers or {}),
                },
            ),
        },
    )
    await exchange.send(
        {'type': 'http.response.body', 'body': body, 'more_body': keep_open},
    )


async def async_respond_outcome(
    exchange: Exchange,
    outcome: Outcome,
    entries: tuple[str, ...] = (),
) -> None:
    """Send an outcome other than the requested answer."""
    exchange.outcome = outcome
    headers = {}
    retry_after_s = getattr(outcome, 'retry_after_s', None)
    if retry_after_s is not None:
        headers['retry-after'] = str(math.ceil(retry_after_s))
    await async_respond(
        exchange,
        json.dumps(error_document(exchange, outcome, entries)).encode(),
        CONTENT_JSON,
        headers,
        http_status(outcome.code),
        keep_open=not exchange.body_read.is_set(),
    )


async def async_begin_events(exchange: Exchange) -> None:
    """Send the head of an event stream."""
    exchange.response_started = True
    await exchange.send(
        {
            'type': 'http.response.start',
            'status': _OK,
            'headers': _headers(
                exchange,
                {'content-type': CONTENT_EVENTS, 'cache-control': 'no-store'},
            ),
        },
    )


async def async_end_events(exchange: Exchange, last: bytes = b'') -> None:
    """Send the last bytes of an event stream or of an open answer."""
    await exchange.send(
        {'type': 'http.response.body', 'body': last, 'more_body': False},
    )


def _ran(exchange: Exchange, outcome: Outcome) -> str:
    """Return whether a backend server has begun the request.

    Another daemon may run another attempt under the same key, so for a
    request that runs at most once only this attempt is known.
    """
    if isinstance(outcome, (NotRun, Refused)):
        return 'not_by_this_attempt' if exchange.at_most_once else 'no'
    return 'unknown' if isinstance(outcome, MayHaveRun) else 'yes'


def _headers(
    exchange: Exchange,
    fields: Mapping[str, str],
) -> list[tuple[bytes, bytes]]:
    common = {
        HEADER_REQUEST: exchange.request_id,
        HEADER_DAEMON: exchange.headers.get(HEADER_DAEMON, ''),
    }
    return [
        (name.encode(), text.encode())
        for name, text in {**common, **fields}.items()
    ]
