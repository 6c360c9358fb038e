"""Send a request to engines until one has answered it completely.

A request is reported as not run only if no byte of it can have reached an
engine, or if every engine that received it states that it did not begin it.
A stream that breaks is resumed at another engine after its last complete
event, if the route allows it. One that stalls is offered to another engine, and
goes on at the first of both that sends an event.
"""

import asyncio
from random import Random

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.events import last_event_id
from yuccavalve.exceptions import (
    BackendLostError,
    BackendNotReachedError,
    RequestRefusedError,
    StalledAttemptResumedError,
)
from yuccavalve.fleet.activity import (
    Activity,
    EngineRun,
    engine_key,
    process_hash,
)
from yuccavalve.gateway.attempt import Attempt, async_unless_resumed
from yuccavalve.gateway.budget import ServiceRetryBudgets
from yuccavalve.gateway.const import (
    FIRST_FAILURE_STATUS,
    LARGE_PART_BYTES,
    MAX_ANSWER_BYTES,
    MAX_CONNECT_ATTEMPTS,
    MIN_ATTEMPT_S,
    RETRY_AFTER_BUSY_S,
)
from yuccavalve.gateway.leaving import check_leaving
from yuccavalve.gateway.models import RequestRelay, RoutedRequest
from yuccavalve.gateway.outcomes import AttemptOutcomes
from yuccavalve.gateway.respond import (
    async_pass_body,
    async_send_end,
    async_send_part,
    async_send_start,
)
from yuccavalve.gateway.selection import (
    EngineSelector,
    jittered_retry_s,
    slots,
)
from yuccavalve.gateway.waiting import AdmissionGate
from yuccavalve.ports.backend import (
    BackendAnswer,
    BackendPort,
    BackendRequest,
    BodyFraming,
)
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.quarantine import QuarantineHit, RequestQuarantine
from yuccavalve.relay import EngineReach
from yuccavalve.relay.const import (
    RETRY_AFTER_UNREACHABLE_S,
    VERDICT_MAX_WAIT_S,
    VERDICT_POLL_S,
)
from yuccavalve.results import ResultCode
from yuccavalve.routing import RequestKind, Route, ServiceProfile

__all__ = ('Dispatcher',)

_PRIORITY_LOWEST = 9
_PRIORITY_STEP = 3
# Errors of requests that a partition of this daemon may have caused.
_MAYBE_PARTITIONED = frozenset(
    (
        ResultCode.NO_REPLICA,
        ResultCode.BACKEND_UNREACHABLE,
        ResultCode.ENGINES_UNREACHABLE,
        ResultCode.RETRY_BUDGET_SPENT,
        ResultCode.STREAM_BROKEN,
    )
)


@attrs.define
class Dispatcher:
    """Selects engines, sends requests to them and relays the answers.

    Attributes
    ----------
    reach
        Whether this daemon reaches engines.
    relay
        Takes over requests while it doesn't; None without neighbors.
    admission
        Holds requests that no engine takes; None refuses them at once.
    outcomes
        Records how attempts went.
    """

    selector: EngineSelector
    backend: BackendPort
    activity: Activity
    budgets: ServiceRetryBudgets
    clock: Clock
    random: Random
    quarantine: RequestQuarantine = attrs.field(factory=RequestQuarantine)
    reach: EngineReach = attrs.field(factory=EngineReach)
    relay: RequestRelay | None = None
    admission: AdmissionGate | None = None
    outcomes: AttemptOutcomes = attrs.field(init=False)

    @outcomes.default
    def _new_outcomes(self) -> AttemptOutcomes:
        return AttemptOutcomes(
            self.selector,
            self.activity,
            self.clock,
            self.quarantine,
            self.reach,
        )

    async def async_run(
        self,
        routed: RoutedRequest,
        route: Route,
        service: ServiceProfile,
    ) -> None:
        """Answer a request or raise ``RequestRefusedError``."""
        self._begin(routed, service)
        routed.drop_stalled = lambda: self._drop_stalled(routed)
        try:
            await self._async_run(routed, route, service)
        finally:
            self._drop_stalled(routed)

    async def _async_run(
        self,
        routed: RoutedRequest,
        route: Route,
        service: ServiceProfile,
    ) -> None:
        resumed: Attempt | None = None
        has_ended = False
        while not has_ended:
            if resumed is not None or not self._may_relay(routed):
                has_ended = await self._async_run_here(
                    routed, route, service, resumed
                )
            if not has_ended:
                resumed = await self._async_relay(routed, route)
                has_ended = resumed is None

    async def _async_relay(
        self, routed: RoutedRequest, route: Route
    ) -> Attempt | None:
        """Have a neighbor answer; return a stalled attempt that goes on.

        A stalled attempt is continued if its engine goes on before a neighbor
        has sent an event, or if no neighbor takes the request over.
        """
        if self.relay is None:
            return None
        try:
            await self.relay.async_run(routed, route)
        except StalledAttemptResumedError as error:
            return self._resume(routed, error.attempt)
        except RequestRefusedError:
            if not routed.stalled:
                raise
            return self._resume(routed, routed.stalled[0])
        return None

    def _begin(self, routed: RoutedRequest, service: ServiceProfile) -> None:
        """Count a caller's request, and refuse a relayed one while partitioned.

        The daemon that relays it has counted it already.
        """
        if not routed.relayed:
            self.budgets.deposit(service.name, self.clock.now_s())
        elif self.reach.partitioned:
            raise RequestRefusedError(
                ResultCode.ENGINES_UNREACHABLE,
                'a relayed request is not relayed again',
                jittered_retry_s(self.random, RETRY_AFTER_UNREACHABLE_S),
            )

    def _may_relay(self, routed: RoutedRequest) -> bool:
        """Return whether a neighbor has to answer the rest of a request."""
        if self.relay is None or routed.relayed or not self.reach.partitioned:
            return False
        return not routed.may_have_run or _is_repeatable(routed)

    async def _async_is_partitioned(
        self, routed: RoutedRequest, error: RequestRefusedError
    ) -> bool:
        """Return whether a failed request can be relayed.

        While failures may be those of this daemon, the decision is waited
        for: a cut resets all streams at once, and their next attempts fail
        before the first probes end.
        """
        is_candidate = (
            self.relay is not None
            and not routed.relayed
            and error.code in _MAYBE_PARTITIONED
            and (not routed.may_have_run or _is_repeatable(routed))
        )
        until_s = self.clock.now_s() + VERDICT_MAX_WAIT_S
        while is_candidate and self.reach.detector.is_suspected():
            if self.clock.now_s() >= until_s:
                break
            await asyncio.sleep(VERDICT_POLL_S)
        return is_candidate and self._may_relay(routed)

    async def _async_run_here(
        self,
        routed: RoutedRequest,
        route: Route,
        service: ServiceProfile,
        resumed: Attempt | None,
    ) -> bool:
        """Try engines; return False once a neighbor has to be tried."""
        try:
            if resumed is None:
                hit = self.quarantine.admit(routed.suspects, self.clock.now_s())
                if hit is not None:
                    raise _quarantined(hit)
                resumed = await self._async_next(routed, route, service, None)
            return await self._async_try_engines(
                routed, route, service, resumed
            )
        except RequestRefusedError as error:
            if not await self._async_is_partitioned(routed, error):
                raise
        return False

    async def _async_try_engines(
        self,
        routed: RoutedRequest,
        route: Route,
        service: ServiceProfile,
        attempt: Attempt,
    ) -> bool:
        while True:
            try:
                if await self._async_attempt(routed, attempt):
                    return True
            except StalledAttemptResumedError as error:
                attempt = self._resume(routed, error.attempt)
                continue
            if self._may_relay(routed):
                return False
            attempt = await self._async_next_or_stalled(
                routed, route, service, attempt
            )

    async def _async_next_or_stalled(
        self,
        routed: RoutedRequest,
        route: Route,
        service: ServiceProfile,
        previous: Attempt,
    ) -> Attempt:
        """Return the next attempt, or the stalled one if there is none."""
        try:
            return await self._async_next(routed, route, service, previous)
        except StalledAttemptResumedError as error:
            return self._resume(routed, error.attempt)
        except RequestRefusedError:
            if not routed.stalled:
                raise
        return self._resume(routed, routed.stalled[0])

    async def _async_next(
        self,
        routed: RoutedRequest,
        route: Route,
        service: ServiceProfile,
        previous: Attempt | None,
    ) -> Attempt:
        """Return the next attempt, or raise the final error."""
        check_leaving(routed)
        if previous is not None:
            self._check_retry(routed, previous)
        now_s = self.clock.now_s()
        if routed.deadline_at_s - now_s < MIN_ATTEMPT_S:
            raise self._final_error(routed, ResultCode.DEADLINE_UNREACHABLE)
        engine = await self._async_choose(routed, service)
        now_s = self.clock.now_s()
        return Attempt(
            service,
            route,
            engine,
            EngineRun(
                engine_key(engine),
                now_s,
                streams=route.kind is RequestKind.STREAM,
                expected_wait_s=self.selector.expected_wait_s(
                    service, engine, routed
                ),
                suspects=routed.suspects,
            ),
            had_free_slot=self.activity.load(engine_key(engine))
            < slots(service, engine),
            permit=self.selector.limiter.take(process_hash(engine), now_s),
        )

    def _resume(self, routed: RoutedRequest, attempt: Attempt) -> Attempt:
        """Return a stalled attempt, which is continued."""
        routed.stalled.remove(attempt)
        attempt.run.stalled = False
        attempt.discount_events()
        routed.engine = attempt.engine.engine
        logging.info(
            'event=attempt_resumed request=%s engine=%s sent=%d cause=%r',
            routed.inbound.request_id,
            routed.engine,
            routed.sent_count,
            routed.cause,
        )
        return attempt

    def _drop_stalled(self, routed: RoutedRequest) -> None:
        """Give all stalled attempts up."""
        while routed.stalled:
            attempt = routed.stalled.pop()
            self.activity.end(attempt.run)
            attempt.close()

    async def _async_choose(
        self,
        routed: RoutedRequest,
        service: ServiceProfile,
    ) -> EngineRecord:
        """Return an engine; nothing may be awaited until its run begins."""
        try:
            engine = await self._async_find(routed, service)
        except RequestRefusedError as error:
            if routed.may_have_run or routed.response_began:
                raise _broken(routed, str(error)) from error
            raise
        routed.engine = engine.engine
        routed.tried.append(engine.engine)
        return engine

    async def _async_find(
        self,
        routed: RoutedRequest,
        service: ServiceProfile,
    ) -> EngineRecord:
        """Return an engine, after a wait in the admission queue if need be.

        A suspected partition is decided before the request enters the queue.
        """
        if self.admission is None:
            return self.selector.choose(service, routed, self.clock.now_s())
        may_be_cut_off = self.relay is not None and not routed.relayed
        if may_be_cut_off and self.reach.doubtful:
            try:
                return self.selector.choose(service, routed, self.clock.now_s())
            except RequestRefusedError as error:
                if await self._async_is_partitioned(routed, error):
                    raise
        return await self.admission.async_choose(routed, service)

    async def _async_attempt(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
    ) -> bool:
        """Try one engine; return whether it gave the final answer."""
        run = attempt.run
        self.activity.begin(run)
        if attempt.recorder is None:
            attempt.recorder = self.outcomes.recorder(routed, attempt)
        try:
            async with asyncio.timeout(None) as timer:
                run.cancel = lambda: _expire(timer)
                run.can_retry_elsewhere = lambda: self._can_retry_elsewhere(
                    routed, attempt
                )
                return await self._async_exchange(routed, attempt)
        except BackendNotReachedError as error:
            self.outcomes.record_not_sent(routed, attempt, error)
        except BackendLostError as error:
            routed.may_have_run = True
            self.outcomes.record_lost(routed, attempt, error)
        except TimeoutError as error:
            self._record_cancelled(routed, attempt, error)
        finally:
            if attempt not in routed.stalled:
                self.activity.end(run)
                attempt.close()
        return False

    def _record_cancelled(
        self, routed: RoutedRequest, attempt: Attempt, error: TimeoutError
    ) -> None:
        """Record an attempt that was cancelled, and keep a stalled one.

        It is kept until another engine has taken over.
        """
        run = attempt.run
        if not run.cancel_reason:
            raise error
        routed.may_have_run = True
        if run.stalled:
            routed.stalled.append(attempt)
            run.can_retry_elsewhere = _cannot_retry
            run.cancel = routed.drop_stalled
        self.outcomes.record_failure(routed, attempt, run.cancel_reason, error)

    async def _async_exchange(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
    ) -> bool:
        answer = attempt.answer
        if answer is None:
            answer = await self._async_open(routed, attempt)
            attempt.answer = answer
            self.reach.record_connected(attempt.run.sent_at_s)
        routed.framing = answer.framing
        routed.partial_event_bytes = 0
        if not answer.is_authentic:
            raise BackendLostError(f'not an answer: status {answer.status}')
        if answer.not_run:
            self.outcomes.record_refusal(routed, attempt, answer)
            return False
        failed = answer.status >= FIRST_FAILURE_STATUS
        if (
            not routed.can_continue(answer.status, answer.headers)
            or routed.is_false_promise(answer.status)
            or (failed and self._can_retry_elsewhere(routed, attempt))
        ):
            return self._fail(routed, attempt, f'failed_{answer.status}')
        if attempt.is_stream and not failed:
            if not await self._async_relay_events(routed, attempt, answer):
                return self._fail(routed, attempt, 'no_events')
            self.outcomes.record_answered(routed, attempt)
        else:
            await self._async_relay_body(routed, attempt, answer)
        return True

    def _fail(
        self, routed: RoutedRequest, attempt: Attempt, outcome: str
    ) -> bool:
        """Record an answer that is not passed on; return False."""
        routed.may_have_run = True
        self.outcomes.record_failure(routed, attempt, outcome, None)
        return False

    async def _async_open(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
    ) -> BackendAnswer:
        """Send a request unless it was sent, and wait for the answer's head."""
        if attempt.opening is not None:
            return await asyncio.shield(attempt.opening)
        request = self._request(routed, attempt)
        routed.sent_count += 1
        has_unused_retry = routed.has_unused_retry
        routed.has_unused_retry = False
        try:
            return await async_unless_resumed(
                routed.stalled,
                attempt.async_open(self.backend.async_open(request)),
            )
        except (BackendNotReachedError, StalledAttemptResumedError) as error:
            if not attempt.is_sent:
                routed.sent_count -= 1
                routed.has_unused_retry = has_unused_retry
                if isinstance(error, StalledAttemptResumedError):
                    routed.tried.remove(attempt.engine.engine)
            raise

    async def _async_relay_events(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
        answer: BackendAnswer,
    ) -> bool:
        """Relay a stream; return False if an answer adds nothing to it.

        An engine that breaks off at once can't be told from one at the end
        of the stream, so the stream isn't complete then.
        """
        continues = routed.response_began
        splitter = attempt.splitter
        try:
            await self._async_forward(routed, attempt, answer)
        finally:
            routed.partial_event_bytes = splitter.partial_bytes
        splitter.check_complete()
        # An engine that stops before its first event closes in the same way
        # as one that has ended such a stream.
        is_unmarked = answer.framing is BodyFraming.CONNECTION
        is_whole_stream = routed.inbound.resume_after is None
        if not attempt.has_events and (
            continues or (is_unmarked and is_whole_stream)
        ):
            return False
        if not routed.response_began:
            await async_send_start(routed, answer.status, answer.headers)
        with attempt.run.waiting_for_caller(self.clock):
            await async_send_end(routed, splitter.rest)
        return True

    async def _async_forward(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
        answer: BackendAnswer,
    ) -> None:
        """Relay whole events until the body ends.

        Events count as relayed once the connection has taken them, so that
        another engine goes on at the right one.
        """
        while True:
            whole = await async_unless_resumed(
                routed.stalled, attempt.async_events(answer)
            )
            if not whole:
                return
            self._drop_stalled(routed)
            if not routed.response_began:
                await async_send_start(routed, answer.status, answer.headers)
            attempt.has_events = True
            now_s = self.clock.now_s()
            self.activity.record_progress(attempt.run, now_s)
            with attempt.run.waiting_for_caller(self.clock):
                await async_send_part(routed, whole)
            attempt.confirm_events()
            routed.record_event(now_s)
            routed.last_event = last_event_id(whole) or routed.last_event
            if len(whole) > LARGE_PART_BYTES:
                with attempt.run.waiting_for_caller(self.clock):
                    await async_send_part(routed, b'')
            if attempt.recorder is not None:
                self.outcomes.record_events(attempt.recorder, whole, now_s)

    async def _async_relay_body(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
        answer: BackendAnswer,
    ) -> None:
        parts, is_whole = await answer.async_read_held(MAX_ANSWER_BYTES)
        if is_whole:
            # The time that the caller takes to read is not the engine's.
            self.activity.end(attempt.run)
            if answer.status < FIRST_FAILURE_STATUS:
                self.outcomes.record_whole_body(routed, attempt)
        await async_pass_body(routed, answer, parts, is_whole=is_whole)

    def _check_retry(self, routed: RoutedRequest, attempt: Attempt) -> None:
        """Raise the final error unless another engine may be tried."""
        hit = self.quarantine.find(routed.suspects, self.clock.now_s())
        if hit is not None:
            routed.cause = f'{routed.cause}; {hit.text}'
            raise self._final_error(routed, ResultCode.REQUEST_QUARANTINED, hit)
        code = self._final_code(routed, attempt)
        if code is not None:
            raise self._final_error(routed, code)

    def _final_code(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
    ) -> ResultCode | None:
        route = attempt.route
        if routed.is_partly_answered or (
            routed.may_have_run and not route.repeatable
        ):
            return ResultCode.STREAM_BROKEN
        if routed.connect_attempts >= MAX_CONNECT_ATTEMPTS:
            return ResultCode.BACKEND_UNREACHABLE
        if routed.sent_count >= route.max_attempts:
            return ResultCode.BACKEND_REFUSED
        now_s = self.clock.now_s()
        is_retry = routed.sent_count > 0
        if self.relay is not None and routed.has_unused_retry:
            return None
        if is_retry and not self.budgets.withdraw(attempt.service.name, now_s):
            return ResultCode.RETRY_BUDGET_SPENT
        routed.has_unused_retry = is_retry
        return None

    def _can_retry_elsewhere(
        self, routed: RoutedRequest, attempt: Attempt
    ) -> bool:
        """Return whether another engine could take over the request now."""
        if not self._may_retry(routed):
            return False
        if self._may_relay(routed):
            return self.relay is not None and self.relay.has_neighbor()
        try:
            self.selector.choose(attempt.service, routed, self.clock.now_s())
        except RequestRefusedError:
            return False
        return True

    def _may_retry(self, routed: RoutedRequest) -> bool:
        """Return whether route and retry budget allow another attempt."""
        route = routed.route
        if route is None or not route.repeatable:
            return False
        if routed.sent_count >= route.max_attempts:
            return False
        return self.budgets.remaining(routed.service, self.clock.now_s()) >= 1

    def _final_error(
        self,
        routed: RoutedRequest,
        code: ResultCode,
        hit: QuarantineHit | None = None,
    ) -> Exception:
        """Return the final error; never "not run" if it may have run."""
        if routed.may_have_run or routed.response_began:
            return _broken(routed, code.name)
        if hit is not None:
            return _quarantined(hit)
        return RequestRefusedError(
            code,
            routed.cause,
            jittered_retry_s(self.random, RETRY_AFTER_BUSY_S),
        )

    def _request(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
    ) -> BackendRequest:
        inbound = routed.inbound
        resume_after = routed.last_event
        if resume_after is None:
            resume_after = inbound.resume_after
        return BackendRequest(
            request_id=inbound.request_id,
            method=inbound.method,
            target=inbound.target,
            headers=inbound.headers,
            body=routed.body,
            engine=attempt.engine,
            workspace=routed.workspace,
            deadline_s=routed.deadline_at_s - self.clock.now_s(),
            priority=_engine_priority(routed, attempt),
            resume_after=resume_after,
            may_send=lambda: self._may_send(routed, attempt),
            created_at_s=self.clock.now_s(),
        )

    def _may_send(self, routed: RoutedRequest, attempt: Attempt) -> bool:
        if routed.must_leave or self.outcomes.is_evacuated(attempt):
            return False
        attempt.is_sent = self.selector.limiter.may_send(
            process_hash(attempt.engine), attempt.permit, self.clock.now_s()
        )
        return attempt.is_sent


def _cannot_retry() -> bool:
    """Return False; the request is at another engine already."""
    return False


def _expire(timer: asyncio.Timeout) -> None:
    """Interrupt an exchange that has not been interrupted yet."""
    if not timer.expired():
        timer.reschedule(0)


def _is_repeatable(routed: RoutedRequest) -> bool:
    return routed.route is not None and routed.route.repeatable


def _quarantined(hit: QuarantineHit) -> RequestRefusedError:
    return RequestRefusedError(
        ResultCode.REQUEST_QUARANTINED, hit.text, hit.retry_after_s
    )


def _broken(routed: RoutedRequest, reason: str) -> RequestRefusedError:
    """Return the final error of a request that may have run.

    Its text says why there is no further attempt.
    """
    return RequestRefusedError(
        ResultCode.STREAM_BROKEN,
        f'{routed.cause}; no further attempt: {reason}',
    )


def _engine_priority(routed: RoutedRequest, attempt: Attempt) -> int | None:
    """Return the priority in the engine's queue, 0 to 9; 0 is served first.

    The workspace's priority outweighs the route's.
    """
    if attempt.service.engine is None:
        return None
    workspace = 1 if routed.priority is None else routed.priority
    rank = workspace * _PRIORITY_STEP + attempt.route.priority
    return min(_PRIORITY_LOWEST, rank)
