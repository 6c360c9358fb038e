"""Have a request answered by a daemon that reaches engines.

The rules are those for engines: a request is reported as not run only if no
daemon can have read it or each that read it states so, and a stream that
breaks is resumed after its last complete event. Attempts at silent engines are
kept until a daemon has sent an event, and go on if their engine does so first.
"""

import asyncio
from collections.abc import Callable
from random import Random

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.events import EventSplitter, last_event_id
from yuccavalve.exceptions import (
    BackendLostError,
    BackendNotReachedError,
    PermitExpiredError,
    RequestRefusedError,
)
from yuccavalve.gateway.attempt import async_unless_resumed
from yuccavalve.gateway.budget import ServiceRetryBudgets
from yuccavalve.gateway.const import (
    LARGE_PART_BYTES,
    MAX_ANSWER_BYTES,
    MIN_ATTEMPT_S,
)
from yuccavalve.gateway.leaving import check_leaving
from yuccavalve.gateway.models import RoutedRequest
from yuccavalve.gateway.respond import (
    async_pass_body,
    async_send_end,
    async_send_part,
    async_send_start,
)
from yuccavalve.gateway.selection import jittered_retry_s
from yuccavalve.membership import Member
from yuccavalve.ports.backend import HeaderFields
from yuccavalve.ports.relay import RelayAnswer, RelayPort, RelayRequest
from yuccavalve.relay.bounds import RelayBounds
from yuccavalve.relay.const import (
    MAX_NEIGHBORS,
    RETRY_AFTER_FULL_S,
    RETRY_AFTER_UNREACHABLE_S,
    SILENT_S,
)
from yuccavalve.relay.neighbors import NeighborChooser
from yuccavalve.results import NotRun, ResultCode, outcome_from_code
from yuccavalve.routing import RequestKind, Route

__all__ = ('NeighborSender',)

_OK = 200
# Refusals that speak of the other daemon, not of the engines.
_OWN_REFUSALS = frozenset(
    (
        ResultCode.MEMBER_LEAVING,
        ResultCode.CONFIGURATION_UNCONFIRMED,
        ResultCode.BACKEND_UNREACHABLE,
        ResultCode.RELAY_FULL,
        ResultCode.RECEIVED_FULL,
        ResultCode.ENGINES_UNREACHABLE,
    )
)


@attrs.frozen
class _Refusal:
    """A whole answer by which another daemon refused a request."""

    status: int
    headers: HeaderFields
    body: bytes


def _do_nothing() -> None:
    """Do nothing; the exchange has not begun."""


@attrs.define(eq=False)
class _Relaying:
    """One request while it is relayed.

    Attributes
    ----------
    cancel
        Cancels the exchange when the neighbor is no longer live.
    gone
        Whether it was cancelled for that.
    """

    routed: RoutedRequest
    route: Route
    tried: set[str] = attrs.field(factory=set)
    neighbor: Member | None = None
    answer: RelayAnswer | None = None
    refusal: _Refusal | None = None
    cancel: Callable[[], None] = _do_nothing
    gone: bool = False


@attrs.define
class NeighborSender:
    """Sends requests to neighbors and relays the answers.

    Attributes
    ----------
    outcomes
        Number of attempts by outcome.
    """

    port: RelayPort
    chooser: NeighborChooser
    budgets: ServiceRetryBudgets
    clock: Clock
    random: Random
    bounds: RelayBounds = attrs.field(factory=RelayBounds)
    outcomes: dict[tuple[str, ...], int] = attrs.field(factory=dict)
    _relayings: set[_Relaying] = attrs.field(factory=set)

    def has_neighbor(self) -> bool:
        """Return whether another daemon reaches engines."""
        return bool(self.chooser.neighbors(self.clock.now_s()))

    async def async_run(self, routed: RoutedRequest, route: Route) -> None:
        """Answer a request or raise ``RequestRefusedError``."""
        size_bytes = len(routed.body)
        if not self.bounds.enter(size_bytes):
            raise self._error(routed, ResultCode.RELAY_FULL, RETRY_AFTER_FULL_S)
        relaying = _Relaying(routed, route)
        self._relayings.add(relaying)
        try:
            await self._async_try_neighbors(relaying)
        finally:
            self._relayings.discard(relaying)
            self.bounds.leave(size_bytes)

    def cancel_gone(self) -> None:
        """Cancel exchanges with lost daemons if another one can take over.

        A daemon whose updates are missing may still answer: an exchange that
        brings events, or that no other daemon could continue, is kept.
        """
        now_s = self.clock.now_s()
        for relaying in tuple(self._relayings):
            neighbor = relaying.neighbor
            if neighbor is None or relaying.gone:
                continue
            is_live = self.chooser.roster.is_live(neighbor.member, now_s)
            if not is_live and self._can_take_over(relaying, now_s):
                relaying.gone = True
                relaying.cancel()

    def _can_take_over(self, relaying: _Relaying, now_s: float) -> bool:
        """Return whether another daemon may and could continue a request."""
        routed = relaying.routed
        if routed.is_partly_answered or not relaying.route.repeatable:
            return False
        if now_s - routed.last_event_at_s < SILENT_S:
            return False
        if routed.sent_count >= relaying.route.max_attempts:
            return False
        if len(relaying.tried) >= MAX_NEIGHBORS:
            return False
        if self.budgets.remaining(routed.service, now_s) < 1:
            return False
        return any(
            each.member not in relaying.tried
            for each in self.chooser.neighbors(now_s)
        )

    async def _async_try_neighbors(self, relaying: _Relaying) -> None:
        routed = relaying.routed
        while len(relaying.tried) < MAX_NEIGHBORS:
            now_s = self.clock.now_s()
            if routed.deadline_at_s - now_s < MIN_ATTEMPT_S:
                raise self._error(
                    routed,
                    ResultCode.DEADLINE_UNREACHABLE,
                    RETRY_AFTER_UNREACHABLE_S,
                )
            check_leaving(routed)
            neighbor = self.chooser.choose(relaying.tried, now_s)
            if neighbor is None:
                break
            self._check_retry(relaying)
            relaying.tried.add(neighbor.member)
            relaying.neighbor = neighbor
            if await self._async_attempt(relaying, neighbor):
                return
        await self._async_give_up(relaying)

    async def _async_give_up(self, relaying: _Relaying) -> None:
        """Pass the last refusal on, or raise the final error."""
        routed = relaying.routed
        refusal = relaying.refusal
        if refusal is None or routed.may_have_run or routed.response_began:
            raise self._error(
                routed,
                ResultCode.ENGINES_UNREACHABLE,
                RETRY_AFTER_UNREACHABLE_S,
            )
        await async_send_start(routed, refusal.status, refusal.headers)
        await async_send_end(routed, refusal.body)

    def _check_retry(self, relaying: _Relaying) -> None:
        """Raise the final error unless the request may be sent once more."""
        routed = relaying.routed
        route = relaying.route
        if routed.is_partly_answered or (
            routed.may_have_run and not route.repeatable
        ):
            raise self._error(routed, ResultCode.STREAM_BROKEN)
        if not routed.sent_count:
            return
        if routed.sent_count >= route.max_attempts:
            raise self._error(routed, ResultCode.BACKEND_REFUSED)
        if routed.has_unused_retry:
            return
        if not self.budgets.withdraw(routed.service, self.clock.now_s()):
            raise self._error(routed, ResultCode.RETRY_BUDGET_SPENT)
        routed.has_unused_retry = True

    async def _async_attempt(
        self, relaying: _Relaying, neighbor: Member
    ) -> bool:
        """Try one daemon; return whether its answer was passed on."""
        relaying.gone = False
        relaying.answer = None
        try:
            async with asyncio.timeout(None) as timer:
                relaying.cancel = lambda: timer.reschedule(0)
                outcome = await self._async_exchange(relaying, neighbor)
        except PermitExpiredError:
            outcome = 'not_sent'
        except BackendNotReachedError as error:
            outcome = 'not_reached'
            self._record_failure(relaying, outcome, error)
        except (BackendLostError, TimeoutError) as error:
            if isinstance(error, TimeoutError) and not relaying.gone:
                raise
            outcome = 'lost'
            relaying.routed.may_have_run = True
            self._record_failure(relaying, outcome, error)
        finally:
            relaying.cancel = _do_nothing
            if relaying.answer is not None:
                relaying.answer.close()
        self.outcomes[(outcome,)] = self.outcomes.get((outcome,), 0) + 1
        return outcome == 'answered'

    async def _async_exchange(
        self, relaying: _Relaying, neighbor: Member
    ) -> str:
        """Send the request and pass the answer on; return the outcome."""
        routed = relaying.routed
        routed.engine = f'daemon:{neighbor.name}'
        routed.sent_count += 1
        routed.passed_result = ResultCode.ANSWERED
        has_unused_retry = routed.has_unused_retry
        routed.has_unused_retry = False
        try:
            answer = await async_unless_resumed(
                routed.stalled,
                self.port.async_open(
                    _request(routed, neighbor, self.clock.now_s())
                ),
            )
        except BackendNotReachedError:
            routed.sent_count -= 1
            routed.has_unused_retry = has_unused_retry
            raise
        relaying.answer = answer
        routed.framing = answer.framing
        routed.partial_event_bytes = 0
        if not answer.is_authentic:
            raise BackendLostError(f'not an answer: status {answer.status}')
        if answer.code is not None:
            outcome = await self._async_take_result(relaying, answer)
            if outcome:
                return outcome
        if routed.is_false_promise(answer.status) or not routed.can_continue(
            answer.status, answer.headers
        ):
            raise BackendLostError(f'status {answer.status} is not passed on')
        if relaying.route.kind is RequestKind.STREAM and answer.status == _OK:
            await self._async_pass_events(routed, answer)
        else:
            parts, is_whole = await async_unless_resumed(
                routed.stalled, answer.async_read_held(MAX_ANSWER_BYTES)
            )
            routed.drop_stalled()
            await async_pass_body(routed, answer, parts, is_whole=is_whole)
        return 'answered'

    async def _async_take_result(
        self, relaying: _Relaying, answer: RelayAnswer
    ) -> str:
        """Take a daemon's own answer; return the outcome if it is final.

        A refusal that says that the request has not run passes unchanged,
        unless it speaks only of that daemon and another one is left.
        """
        routed = relaying.routed
        code = answer.code
        if code is None:
            return ''
        routed.passed_result = code
        if not isinstance(outcome_from_code(code), NotRun):
            return ''
        body = await async_unless_resumed(
            routed.stalled, answer.async_read_all(MAX_ANSWER_BYTES)
        )
        routed.sent_count -= 1
        relaying.refusal = _refusal(answer, body)
        if code in _OWN_REFUSALS:
            self._record_failure(relaying, f'refused_{int(code)}', None)
            return 'refused'
        if routed.may_have_run or routed.response_began:
            raise self._error(routed, ResultCode.STREAM_BROKEN)
        await _async_pass(routed, relaying.refusal)
        return 'answered'

    async def _async_pass_events(
        self, routed: RoutedRequest, answer: RelayAnswer
    ) -> None:
        """Pass whole events on until the body ends."""
        continues = routed.response_began
        last_event_at_s = routed.last_event_at_s
        splitter = EventSplitter()
        try:
            while True:
                chunk = await async_unless_resumed(
                    routed.stalled, answer.async_read()
                )
                if not chunk:
                    break
                whole = splitter.split(chunk)
                if whole:
                    routed.drop_stalled()
                    await _async_begin(routed, answer)
                    await self._async_pass_part(routed, whole)
        finally:
            routed.partial_event_bytes = splitter.partial_bytes
        splitter.check_complete()
        if continues and routed.last_event_at_s == last_event_at_s:
            raise BackendLostError('no event continues the stream')
        await _async_begin(routed, answer)
        await async_send_end(routed, splitter.rest)

    async def _async_pass_part(
        self, routed: RoutedRequest, whole: bytes
    ) -> None:
        """Pass events on, and record them once the connection has them."""
        now_s = self.clock.now_s()
        await async_send_part(routed, whole)
        routed.record_event(now_s)
        routed.last_event = last_event_id(whole) or routed.last_event
        if len(whole) > LARGE_PART_BYTES:
            await async_send_part(routed, b'')

    def _record_failure(
        self,
        relaying: _Relaying,
        outcome: str,
        error: Exception | None,
    ) -> None:
        neighbor = relaying.neighbor
        if neighbor is None:
            return
        self.chooser.avoid(neighbor.member, self.clock.now_s())
        cause = 'no longer live' if relaying.gone else str(error or '')
        relaying.routed.cause = f'relay {outcome}: {cause}'
        logging.info(
            'event=relay_failed request=%s neighbor=%s outcome=%s sent=%d '
            'cause=%r',
            relaying.routed.inbound.request_id,
            neighbor.name,
            outcome,
            relaying.routed.sent_count,
            cause,
        )

    def _error(
        self,
        routed: RoutedRequest,
        code: ResultCode,
        retry_after_s: float | None = None,
    ) -> RequestRefusedError:
        """Return the final error; never "not run" if it may have run."""
        if routed.may_have_run or routed.response_began:
            return RequestRefusedError(
                ResultCode.STREAM_BROKEN,
                f'{routed.cause}; no further attempt: {code.name}',
            )
        if retry_after_s is None:
            return RequestRefusedError(code, routed.cause)
        return RequestRefusedError(
            code, routed.cause, jittered_retry_s(self.random, retry_after_s)
        )


def _request(
    routed: RoutedRequest, neighbor: Member, now_s: float
) -> RelayRequest:
    inbound = routed.inbound
    return RelayRequest(
        address=neighbor.relay_address,
        request_id=inbound.request_id,
        method=inbound.method,
        target=inbound.target,
        headers=inbound.received_headers,
        body=routed.body,
        deadline_s=routed.deadline_at_s - now_s,
        resume_after=routed.last_event,
        may_send=lambda: not routed.must_leave,
    )


def _refusal(answer: RelayAnswer, body: bytes) -> _Refusal:
    length = (b'content-length', str(len(body)).encode())
    return _Refusal(answer.status, (*answer.headers, length), body)


async def _async_begin(routed: RoutedRequest, answer: RelayAnswer) -> None:
    """Send the head of a stream unless the caller has one."""
    if not routed.response_began:
        await async_send_start(routed, answer.status, answer.headers)


async def _async_pass(routed: RoutedRequest, refusal: _Refusal) -> None:
    """Pass a whole answer on."""
    await async_send_start(routed, refusal.status, refusal.headers)
    await async_send_end(routed, refusal.body)
