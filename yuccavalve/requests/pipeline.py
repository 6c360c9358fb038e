"""Run a request through the filters and send its final answer."""

import asyncio
import uuid
from collections.abc import Callable, Sequence
from typing import Any

from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.const import HEADER_DAEMON
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.inflight import InFlightRequests
from yuccavalve.requests.models import Exchange, Filter, Receive, Send
from yuccavalve.requests.record import Recorder
from yuccavalve.requests.respond import (
    async_end_events,
    async_respond_outcome,
    error_event,
)
from yuccavalve.results import Outcome, ResultCode, outcome_from_code

__all__ = ('RequestPipeline',)

_MAX_DISCARDED_BYTES = 33554432
_DISCARD_TIMEOUT_S = 5.0


class RequestPipeline:
    """ASGI application that serves callers' requests."""

    def __init__(
        self,
        filters: Sequence[Filter],
        recorder: Recorder,
        clock: Clock,
        member: str,
        other_caller_addresses: Callable[[], tuple[str, ...]],
    ) -> None:
        """Set the filters and the recorder of results."""
        self._filters = tuple(filters)
        self._recorder = recorder
        self._clock = clock
        self._member = member
        self._other_caller_addresses = other_caller_addresses
        self.running = InFlightRequests()

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        exchange = self._exchange(scope, receive, send)
        await self.running.async_serve(
            self._async_serve(exchange),
            lambda task: _async_watch_disconnect(exchange, task),
        )

    def _exchange(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> Exchange:
        headers = {
            name.decode('latin-1'): text.decode('latin-1')
            for name, text in scope['headers']
        }
        headers[HEADER_DAEMON] = self._member
        # Forward the raw path: a decoded one could contain line breaks.
        path = scope['raw_path'].decode('latin-1')
        return Exchange(
            request_id=uuid.uuid4().hex,
            method=scope['method'],
            path=path,
            query=scope.get('query_string', b'').decode('latin-1'),
            headers=headers,
            receive=receive,
            send=send,
            arrived_at_s=self._clock.now_s(),
        )

    async def _async_serve(self, exchange: Exchange) -> None:
        try:
            await self._async_apply_filters(exchange)
        except RequestRefusedError as error:
            await self._async_send_outcome(
                exchange,
                outcome_from_code(error.code, str(error), error.retry_after_s),
            )
        except asyncio.CancelledError as error:
            await self._async_send_outcome(
                exchange, _cancelled_outcome(exchange, error)
            )
        except Exception:
            logging.exception('request=%s failed', exchange.request_id)
            code = ResultCode.INTERNAL
            if exchange.answer_began or exchange.attempt:
                code = ResultCode.STREAM_BROKEN
            await self._async_send_outcome(exchange, outcome_from_code(code))
        finally:
            if exchange.stream is not None:
                exchange.stream.close()
            await self._recorder.async_record(exchange)

    async def _async_apply_filters(self, exchange: Exchange) -> None:
        for request_filter in self._filters:
            await request_filter.async_apply(exchange)
            if exchange.outcome is not None:
                return

    async def _async_send_outcome(
        self, exchange: Exchange, outcome: Outcome
    ) -> None:
        """Send the outcome, as an event if the answer has begun."""
        exchange.outcome = outcome
        if outcome.code is ResultCode.CALLER_LEFT:
            return
        try:
            if exchange.response_started:
                await async_end_events(
                    exchange,
                    error_event(exchange, outcome),
                )
            else:
                entries = self._entries(outcome)
                await async_respond_outcome(exchange, outcome, entries)
                if not exchange.body_read.is_set():
                    await _async_discard_body(exchange)
        except (OSError, RuntimeError) as error:
            logging.info(
                'request=%s caller left: %s',
                exchange.request_id,
                error,
            )

    def _entries(self, outcome: Outcome) -> tuple[str, ...]:
        lists_entries = outcome.code in {
            ResultCode.MEMBER_LEAVING,
            ResultCode.CONFIGURATION_UNCONFIRMED,
        }
        return self._other_caller_addresses() if lists_entries else ()


async def _async_discard_body(exchange: Exchange) -> None:
    """Read the rest of the body before the answer is ended.

    Closing a connection with unread bytes resets it, and the caller would
    lose the answer.
    """
    size_bytes = 0
    more = True
    async with asyncio.timeout(_DISCARD_TIMEOUT_S):
        while more and size_bytes < _MAX_DISCARDED_BYTES:
            message = await exchange.receive()
            size_bytes += len(message.get('body', b''))
            more = message.get('more_body', False)
    await async_end_events(exchange)


async def _async_watch_disconnect(
    exchange: Exchange, task: asyncio.Task[None]
) -> None:
    """Cancel a request whose caller left, unless it runs at most once.

    A request that runs at most once goes on, so that a duplicate can get
    the answer.
    """
    await exchange.body_read.wait()
    while True:
        message = await exchange.receive()
        if message['type'] == 'http.disconnect':
            if not exchange.at_most_once:
                task.cancel(ResultCode.CALLER_LEFT.name)
            return


def _cancelled_outcome(
    exchange: Exchange,
    error: asyncio.CancelledError,
) -> Outcome:
    reason = error.args[0] if error.args else ''
    if reason == ResultCode.STOP_BOUND_REACHED.name and not exchange.attempt:
        return outcome_from_code(ResultCode.MEMBER_LEAVING, '', 1)
    if reason in ResultCode.__members__:
        return outcome_from_code(ResultCode[reason])
    return outcome_from_code(
        ResultCode.CALLER_LEFT, 'the caller stopped reading'
    )
