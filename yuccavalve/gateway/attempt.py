"""One attempt to have a request answered by an engine."""

import asyncio
from collections.abc import Awaitable, Collection, Coroutine, Sequence
from typing import Any, TypeVar

import attrs

from yuccavalve.capacity import RunRecorder
from yuccavalve.events import EventSplitter
from yuccavalve.exceptions import (
    BackendLostError,
    StalledAttemptResumedError,
)
from yuccavalve.fleet.activity import EngineRun
from yuccavalve.gateway.const import FIRST_FAILURE_STATUS
from yuccavalve.ports.backend import BackendAnswer, BodyFraming
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.ratelimit import Permit
from yuccavalve.routing import RequestKind, Route, ServiceProfile

__all__ = ('Attempt', 'async_unless_resumed')

_Outcome = TypeVar('_Outcome')


@attrs.define(eq=False)
class Attempt:
    """One attempt to have a request answered by an engine.

    The attempt at an engine that stalls is kept until another engine has sent
    an event, since a sound engine may be silent for a while and go on.

    Attributes
    ----------
    opening
        Sends the request and waits for the head of a stream; it goes on while
        the attempt is stalled.
    splitter
        Holds the event that has arrived in part.
    is_sent
        Whether bytes of the request may have been sent.
    has_events
        Whether the engine has sent events since the attempt began or, if the
        end of its answer is unmarked, since the attempt was continued.
    """

    service: ServiceProfile
    route: Route
    engine: EngineRecord
    run: EngineRun
    had_free_slot: bool
    permit: Permit | None
    recorder: RunRecorder | None = None
    opening: asyncio.Task[BackendAnswer] | None = None
    answer: BackendAnswer | None = None
    splitter: EventSplitter = attrs.field(factory=EventSplitter)
    is_sent: bool = False
    has_events: bool = False
    _events: bytes = b''
    _has_ended: bool = False

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.route.kind is RequestKind.STREAM

    async def async_open(
        self, opening: Coroutine[Any, Any, BackendAnswer]
    ) -> BackendAnswer:
        """Send the request, and wait for the head of its answer."""
        if not self.is_stream:
            return await opening
        self.opening = asyncio.create_task(opening)
        return await asyncio.shield(self.opening)

    async def async_events(self, answer: BackendAnswer) -> bytes:
        """Return the next whole events; empty once the answer has ended.

        They are returned again until they are confirmed.

        Raises
        ------
        BackendLostError
            When the answer breaks off, or an event is too large.
        """
        await self._async_read_events(answer)
        return self._events

    def confirm_events(self) -> None:
        """Drop the events that were returned; they have been relayed."""
        self._events = b''

    def discount_events(self) -> None:
        """Expect further events of an answer whose end is unmarked.

        A stalled engine may end the connection because it gives up.
        """
        if self.answer is None or self.answer.framing is BodyFraming.CONNECTION:
            self.has_events = False

    async def async_wait(self) -> bool:
        """Wait until the engine goes on; return False if it is lost.

        It goes on with a whole event, with the marked end of its answer, or
        with the head of a stream if none has arrived.
        """
        if self.answer is None:
            return await self._async_wait_for_head()
        try:
            await self._async_read_events(self.answer)
        except BackendLostError:
            return False
        is_marked = self.answer.framing is not BodyFraming.CONNECTION
        has_end = is_marked and not self.splitter.partial_bytes
        return has_end or bool(self._events)

    async def _async_wait_for_head(self) -> bool:
        if self.opening is None:
            return False
        await asyncio.wait((self.opening,))
        if self.opening.cancelled() or self.opening.exception():
            return False
        answer = self.opening.result()
        is_stream = answer.is_authentic and not answer.not_run
        return is_stream and answer.status < FIRST_FAILURE_STATUS

    async def _async_read_events(self, answer: BackendAnswer) -> None:
        while not self._events and not self._has_ended:
            chunk = await answer.async_read()
            self._events = self.splitter.split(chunk)
            self._has_ended = not chunk

    def close(self) -> None:
        """Give the attempt up; what the engine still sends is discarded."""
        if self.answer is not None:
            self.answer.close()
        elif self.opening is not None:
            self.opening.cancel()
            self.opening.add_done_callback(_close_opened)


def _close_opened(opening: asyncio.Task[BackendAnswer]) -> None:
    """Close an answer whose head arrived when nobody waited for it."""
    if not opening.cancelled() and not opening.exception():
        opening.result().close()


async def async_unless_resumed(
    stalled: Sequence[Attempt], work: Awaitable[_Outcome]
) -> _Outcome:
    """Wait for another engine unless a stalled one goes on first.

    Raises
    ------
    StalledAttemptResumedError
        When a stalled engine goes on; the work is cancelled.
    """
    if not stalled:
        return await work
    working = asyncio.ensure_future(work)
    waits = {asyncio.create_task(each.async_wait()): each for each in stalled}
    try:
        await _async_first(working, waits)
        if not working.done():
            resumed = next(each for each in waits if _has_resumed(each))
            raise StalledAttemptResumedError(waits[resumed])
        return await working
    finally:
        for each in (working, *waits):
            each.cancel()


async def _async_first(
    working: asyncio.Future[Any], waits: Collection[asyncio.Task[bool]]
) -> None:
    """Wait until the work ends or a stalled engine has gone on."""
    pending = {working, *waits}
    while working in pending and not any(map(_has_resumed, waits)):
        _, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )


def _has_resumed(wait: asyncio.Task[bool]) -> bool:
    return wait.done() and wait.result()
