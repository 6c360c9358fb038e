"""Relay an answer to its caller, whole or ended by an error."""

import asyncio
from typing import Protocol

import attrs
from absl import logging

from yuccavalve.adapters.backend import (
    BackendCall,
    BackendClient,
    BackendStream,
)
from yuccavalve.clock import Clock
from yuccavalve.const import HEADER_INCARNATION, STREAM_END_EVENT
from yuccavalve.events import EventSplitter
from yuccavalve.exceptions import (
    BackendLostError,
    BackendNotReachedError,
    RequestRefusedError,
)
from yuccavalve.ratelimit import backend_id
from yuccavalve.replicas import GrantTable
from yuccavalve.requests.const import (
    CONTENT_EVENTS,
    CONTENT_JSON,
    EVENT_END,
    MAX_ANSWER_BYTES,
    MAX_RESUMES,
    SWEEP_PERIOD_S,
)
from yuccavalve.requests.dispatch import attempt_id
from yuccavalve.requests.limits import LimitGuard
from yuccavalve.requests.models import Exchange
from yuccavalve.requests.pacing import Pacer
from yuccavalve.requests.quarantine import QuarantineGuard
from yuccavalve.requests.respond import (
    async_begin_events,
    async_end_events,
    async_respond,
)
from yuccavalve.results import Answered, ResultCode

__all__ = ('Relay', 'Resumer', 'StreamWatch')

_OK = 200
_RESUME_PATH = '/v1/resume'
_RESUME_FIRST_BYTE_S = 3.0
# Longest wait for a permit; the caller of a broken stream waits meanwhile.
_RESUME_PERMIT_S = 1.0


@attrs.define(eq=False)
class WatchedStream:
    """A stream checked for stalls.

    Attributes
    ----------
    progress_at_s
        Monotonic time of the last whole event from the backend server.
    sending_since_s
        Monotonic time at which the unfinished write to the caller began;
        0 if there is none.
    backend_stalled
        Whether the backend server stalled.
    caller_stalled
        Whether the caller stalled.
    """

    stream: BackendStream
    progress_at_s: float
    task: asyncio.Task[None] | None
    sending_since_s: float = 0
    backend_stalled: bool = False
    caller_stalled: bool = False


class StreamWatch:
    """Closes stalled streams and cancels requests of stalled callers.

    One periodic sweep over all streams costs less than a timer per read.
    """

    def __init__(self, clock: Clock, idle_s: float, stall_s: float) -> None:
        """Set the time limits of streams and callers."""
        self._clock = clock
        self._idle_s = idle_s
        self._stall_s = stall_s
        self._watched: set[WatchedStream] = set()

    def __len__(self) -> int:
        """Return the number of watched streams."""
        return len(self._watched)

    def add(self, stream: BackendStream) -> WatchedStream:
        """Start watching a stream."""
        watched = WatchedStream(
            stream, self._clock.now_s(), asyncio.current_task()
        )
        self._watched.add(watched)
        return watched

    def drop(self, watched: WatchedStream) -> None:
        """Stop watching a stream."""
        self._watched.discard(watched)

    async def async_run(self) -> None:
        """Check all streams periodically, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_PERIOD_S)
            now_s = self._clock.now_s()
            for watched in list(self._watched):
                self._check(watched, now_s)

    def _check(self, watched: WatchedStream, now_s: float) -> None:
        sending_since_s = watched.sending_since_s
        if sending_since_s:
            if now_s - sending_since_s > self._stall_s and watched.task:
                watched.caller_stalled = True
                watched.task.cancel()
        elif now_s - watched.progress_at_s > self._idle_s:
            watched.backend_stalled = True
            watched.stream.close()


class Resumer(Protocol):
    """Reopens a stream where it broke."""

    async def async_resume(self, exchange: Exchange) -> BackendStream | None:
        """Return the rest of the answer, or None."""


@attrs.frozen
class EngineResumer:
    """Resumes a stream at its engine over a new connection."""

    client: BackendClient
    grants: GrantTable
    limits: LimitGuard

    async def async_resume(self, exchange: Exchange) -> BackendStream | None:
        """Return the answer from the next event on, or None.

        An answer of another incarnation is not resumed.
        """
        if self.grants.is_broken(exchange.target):
            return None
        name = attempt_id(exchange)
        body = f'{{"request_id": "{name}", "offset": {exchange.events}}}'
        backend = backend_id(exchange.target, exchange.incarnation)
        try:
            permit = await self.limits.async_take(backend, _RESUME_PERMIT_S)
            call = BackendCall(
                'POST',
                exchange.address,
                _RESUME_PATH,
                {'content-type': CONTENT_JSON},
                body.encode(),
                _RESUME_FIRST_BYTE_S,
                lambda: self.limits.may_send(backend, permit),
            )
            stream = await self.client.async_open(call)
        except (BackendNotReachedError, BackendLostError) as error:
            logging.warning('resume failed: %s', error)
            return None
        incarnation = stream.headers.get(HEADER_INCARNATION)
        if stream.status != _OK or incarnation != str(exchange.incarnation):
            stream.close()
            return None
        return stream


@attrs.frozen
class Relay:
    """Relays an answer to the caller."""

    clock: Clock
    pacer: Pacer
    watch: StreamWatch
    resumer: Resumer
    grants: GrantTable
    idle_s: float
    guard: QuarantineGuard

    async def async_apply(self, exchange: Exchange) -> None:
        """Relay events as they arrive, or a whole body at once."""
        if exchange.stream is None:
            return
        if exchange.at_most_once:
            exchange.answer_parts = []
        if exchange.streaming:
            await self._async_relay_events(exchange)
        else:
            await self._async_relay_body(exchange)

    async def _async_relay_body(self, exchange: Exchange) -> None:
        stream = exchange.stream
        if stream is None:
            return
        try:
            body = await stream.async_read_all(self.idle_s, MAX_ANSWER_BYTES)
        except BackendLostError as error:
            self.guard.record_lost(exchange)
            raise _relay_error(ResultCode.STREAM_BROKEN, str(error)) from error
        finally:
            stream.close()
        self._check_replica(exchange)
        self.guard.record_answered(exchange)
        exchange.first_byte_at_s = self.clock.now_s()
        if exchange.answer_parts is not None:
            exchange.answer_parts.append(body)
        exchange.outcome = Answered()
        exchange.backend_status = stream.status
        exchange.content_type = stream.headers.get(
            'content-type',
            CONTENT_JSON,
        )
        await async_respond(
            exchange,
            body,
            exchange.content_type,
            status=stream.status,
        )

    async def _async_relay_events(self, exchange: Exchange) -> None:
        await async_begin_events(exchange)
        for _ in range(MAX_RESUMES + 1):
            code, text = await self._async_relay_stream(exchange)
            if code is ResultCode.ANSWERED:
                return
            exchange.stream = await self.resumer.async_resume(exchange)
            if exchange.stream is None:
                self._record_lost(exchange, code)
                break
            logging.info(
                'request %s: resumed at event %d',
                exchange.request_id,
                exchange.events,
            )
        if self.grants.is_broken(exchange.target):
            code = ResultCode.REPLICA_LOST
        raise _relay_error(code, text)

    def _record_lost(self, exchange: Exchange, code: ResultCode) -> None:
        """Record a stream that broke off and that its engine lost."""
        if code is ResultCode.STREAM_BROKEN:
            self.guard.record_lost(exchange)

    async def _async_relay_stream(
        self,
        exchange: Exchange,
    ) -> tuple[ResultCode, str]:
        """Relay until the end mark or a failure; return code and text."""
        stream = exchange.stream
        if stream is None:
            return ResultCode.STREAM_BROKEN, 'no stream'
        watched = self.watch.add(stream)
        stream.poll_by(self.pacer)
        try:
            await self._async_forward(exchange, stream, watched)
        except BackendLostError as error:
            if watched.backend_stalled:
                return ResultCode.STREAM_SILENT, 'no event came'
            return ResultCode.STREAM_BROKEN, str(error)
        finally:
            self.watch.drop(watched)
            stream.close()
        return ResultCode.ANSWERED, ''

    async def _async_forward(
        self,
        exchange: Exchange,
        stream: BackendStream,
        watched: WatchedStream,
    ) -> None:
        """Relay whole events; never send an incomplete one."""
        splitter = EventSplitter()
        while True:
            chunk = await stream.async_read()
            if not chunk:
                raise BackendLostError('answer without an end mark')
            events = splitter.split(chunk)
            if not events:
                continue
            watched.progress_at_s = self.clock.now_s()
            if events.endswith(STREAM_END_EVENT):
                await self._async_finish(exchange, events)
                return
            exchange.events += events.count(EVENT_END)
            await self._async_send_events(exchange, events, watched)

    async def _async_send_events(
        self,
        exchange: Exchange,
        events: bytes,
        watched: WatchedStream,
    ) -> None:
        exchange.first_byte_at_s = (
            exchange.first_byte_at_s or watched.progress_at_s
        )
        if exchange.answer_parts is not None:
            exchange.answer_parts.append(events)
        watched.sending_since_s = watched.progress_at_s
        await exchange.send(
            {'type': 'http.response.body', 'body': events, 'more_body': True},
        )
        watched.sending_since_s = 0

    async def _async_finish(self, exchange: Exchange, events: bytes) -> None:
        self._check_replica(exchange)
        self.guard.record_answered(exchange)
        exchange.events += events.count(EVENT_END)
        if exchange.answer_parts is not None:
            exchange.answer_parts.append(events)
        exchange.outcome = Answered()
        exchange.content_type = CONTENT_EVENTS
        await async_end_events(exchange, events)

    def _check_replica(self, exchange: Exchange) -> None:
        """Refuse to complete the answer of a replica that lost a host."""
        if self.grants.is_broken(exchange.target):
            raise _relay_error(ResultCode.REPLICA_LOST, 'a host is missing')


def _relay_error(code: ResultCode, text: str) -> RequestRefusedError:
    return RequestRefusedError(code, text)
