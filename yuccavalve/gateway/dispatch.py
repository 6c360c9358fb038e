"""Send a request to engines until one has answered it completely.

A request is reported as not run only if no byte of it can have reached an
engine, or if every engine that received it states that it did not begin it.
A stream that breaks is resumed at another engine after its last complete
event, if the route allows it.
"""

import asyncio
import math
from random import Random

import attrs
from absl import logging

from yuccavalve.capacity import RunRecorder
from yuccavalve.clock import Clock
from yuccavalve.events import EventSplitter, last_event_id
from yuccavalve.exceptions import (
    BackendLostError,
    BackendNotReachedError,
    PermitExpiredError,
    RequestRefusedError,
)
from yuccavalve.fleet.activity import (
    Activity,
    EngineRun,
    engine_key,
    engine_key_hash,
    process_hash,
    process_key,
)
from yuccavalve.fleet.const import BROKEN_AVOID_S, LOST_AVOID_S
from yuccavalve.gateway.budget import ServiceRetryBudgets
from yuccavalve.gateway.const import (
    MAX_ANSWER_BYTES,
    MAX_CONNECT_ATTEMPTS,
    MIN_ATTEMPT_S,
    RETRY_AFTER_BUSY_S,
)
from yuccavalve.gateway.models import RequestRelay, RoutedRequest
from yuccavalve.gateway.respond import (
    async_send_end,
    async_send_part,
    async_send_start,
)
from yuccavalve.gateway.selection import (
    EngineSelector,
    jittered_retry_s,
    slots,
    times_key,
)
from yuccavalve.gateway.waiting import AdmissionGate
from yuccavalve.hashing import hash32
from yuccavalve.ports.backend import BackendAnswer, BackendPort, BackendRequest
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.prompts import parts_text
from yuccavalve.quarantine import (
    QuarantineHit,
    RequestCrash,
    RequestQuarantine,
)
from yuccavalve.ratelimit import Permit
from yuccavalve.relay import EngineReach
from yuccavalve.relay.const import (
    RETRY_AFTER_UNREACHABLE_S,
    VERDICT_MAX_WAIT_S,
    VERDICT_POLL_S,
)
from yuccavalve.results import ResultCode
from yuccavalve.routing import RequestKind, Route, ServiceProfile

__all__ = ('Dispatcher',)

_FIRST_FAILURE_STATUS = 400
_EVENT_END = b'\n\n'
_PRIORITY_LOWEST = 9
_PRIORITY_STEP = 3
_MS = 1000
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


@attrs.define(eq=False)
class _Attempt:
    """One attempt to have a request answered by an engine."""

    service: ServiceProfile
    route: Route
    engine: EngineRecord
    run: EngineRun
    had_free_slot: bool
    permit: Permit | None
    recorder: RunRecorder | None = None
    answer: BackendAnswer | None = None

    @property
    def is_stream(self) -> bool:
        return self.route.kind is RequestKind.STREAM


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

    async def async_run(
        self,
        routed: RoutedRequest,
        route: Route,
        service: ServiceProfile,
    ) -> None:
        """Answer a request or raise ``RequestRefusedError``."""
        self._begin(routed, service)
        if not self._may_relay(routed):
            try:
                if await self._async_run_here(routed, route, service):
                    return
            except RequestRefusedError as error:
                if not await self._async_is_partitioned(routed, error):
                    raise
        if self.relay is not None:
            await self.relay.async_run(routed, route)

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
    ) -> bool:
        """Try engines; return False once a neighbor has to be tried."""
        hit = self.quarantine.admit(routed.suspects, self.clock.now_s())
        if hit is not None:
            raise _quarantined(hit)
        while True:
            now_s = self.clock.now_s()
            if routed.deadline_at_s - now_s < MIN_ATTEMPT_S:
                raise self._final_error(routed, ResultCode.DEADLINE_UNREACHABLE)
            engine = await self._async_choose(routed, service)
            now_s = self.clock.now_s()
            attempt = _Attempt(
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
                had_free_slot=self._has_free_slot(service, engine),
                permit=self.selector.limiter.take(process_hash(engine), now_s),
            )
            if await self._async_attempt(routed, attempt):
                return True
            if self._may_relay(routed):
                return False
            self._check_retry(routed, attempt)

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
        attempt: _Attempt,
    ) -> bool:
        """Try one engine; return whether it gave the final answer."""
        run = attempt.run
        self.activity.begin(run)
        attempt.recorder = self._recorder(routed, attempt)
        try:
            async with asyncio.timeout(None) as timer:
                run.cancel = lambda: timer.reschedule(0)
                run.can_retry_elsewhere = lambda: self._can_retry_elsewhere(
                    routed, attempt
                )
                return await self._async_exchange(routed, attempt)
        except BackendNotReachedError as error:
            self._record_not_sent(routed, attempt, error)
        except BackendLostError as error:
            routed.may_have_run = True
            self._record_lost(routed, attempt, error)
        except TimeoutError as error:
            outcome = run.cancel_reason
            if not outcome:
                raise
            routed.may_have_run = True
            self._record_failure(routed, attempt, outcome, error)
        finally:
            self.activity.end(run)
            if attempt.answer is not None:
                attempt.answer.close()
        return False

    def _has_free_slot(
        self, service: ServiceProfile, engine: EngineRecord
    ) -> bool:
        load = self.activity.load(engine_key(engine))
        return load < slots(service, engine)

    def _recorder(
        self, routed: RoutedRequest, attempt: _Attempt
    ) -> RunRecorder | None:
        """Return what records the times of an attempt, if they are learned."""
        book = self.selector.capacities
        if book is None:
            return None
        run = attempt.run
        return RunRecorder(
            book=book,
            server=engine_key_hash(run.key),
            service=times_key(attempt.service, routed),
            kind=attempt.route.name,
            slots=slots(attempt.service, attempt.engine),
            profile=attempt.service.engine,
            # An engine that resumes a stream also reads the earlier answer.
            prompt_tokens=0
            if routed.response_began
            else routed.inbound.prompt_tokens,
            load=lambda: self.activity.load(run.key),
            sent_at_s=run.sent_at_s,
            had_free_slot=attempt.had_free_slot,
        )

    def _record_answered(
        self, routed: RoutedRequest, attempt: _Attempt
    ) -> None:
        """Record a whole answer and how long it occupied a slot."""
        self.quarantine.record_sound(routed.suspects, self.clock.now_s())
        if attempt.had_free_slot and routed.sent_count == 1:
            self.selector.times.record(
                times_key(attempt.service, routed),
                self.clock.now_s() - attempt.run.sent_at_s,
            )

    async def _async_exchange(
        self,
        routed: RoutedRequest,
        attempt: _Attempt,
    ) -> bool:
        request = self._request(routed, attempt)
        routed.sent_count += 1
        has_unused_retry = routed.has_unused_retry
        routed.has_unused_retry = False
        try:
            attempt.answer = await self.backend.async_open(request)
        except BackendNotReachedError:
            routed.sent_count -= 1
            routed.has_unused_retry = has_unused_retry
            raise
        self.reach.record_connected(attempt.run.sent_at_s)
        answer = attempt.answer
        routed.framing = answer.framing
        routed.partial_event_bytes = 0
        if not answer.is_authentic:
            raise BackendLostError(f'not an answer: status {answer.status}')
        if answer.not_run:
            self._record_refusal(routed, attempt, answer)
            return False
        failed = answer.status >= _FIRST_FAILURE_STATUS
        if failed and (routed.response_began or self._may_retry(routed)):
            routed.may_have_run = True
            self._record_failure(
                routed,
                attempt,
                f'failed_{answer.status}',
                None,
            )
            return False
        if attempt.is_stream and not failed:
            await self._async_relay_events(routed, attempt, answer)
        else:
            await self._async_relay_body(routed, attempt, answer)
        if not failed:
            self._record_answered(routed, attempt)
        return True

    async def _async_relay_events(
        self,
        routed: RoutedRequest,
        attempt: _Attempt,
        answer: BackendAnswer,
    ) -> None:
        if not routed.response_began:
            await async_send_start(routed, answer.status, answer.headers)
        splitter = EventSplitter()
        try:
            await self._async_forward(routed, attempt, answer, splitter)
        finally:
            routed.partial_event_bytes = splitter.partial_bytes
        splitter.check_complete()
        await async_send_end(routed, splitter.rest)

    async def _async_forward(
        self,
        routed: RoutedRequest,
        attempt: _Attempt,
        answer: BackendAnswer,
        splitter: EventSplitter,
    ) -> None:
        """Relay whole events until the body ends."""
        while True:
            chunk = await answer.async_read()
            if not chunk:
                return
            whole = splitter.split(chunk)
            if whole:
                now_s = self.clock.now_s()
                self.activity.record_progress(attempt.run, now_s)
                routed.record_event(now_s)
                routed.last_event = last_event_id(whole) or routed.last_event
                await async_send_part(routed, whole)
                if attempt.recorder is not None:
                    self._record_events(attempt.recorder, whole, now_s)

    def _record_events(
        self, recorder: RunRecorder, whole: bytes, read_at_s: float
    ) -> None:
        recorder.record_events(max(1, whole.count(_EVENT_END)), read_at_s)
        now_s = self.clock.now_s()
        recorder.record_relayed(now_s - read_at_s, now_s)

    async def _async_relay_body(
        self,
        routed: RoutedRequest,
        attempt: _Attempt,
        answer: BackendAnswer,
    ) -> None:
        body = await answer.async_read_all(MAX_ANSWER_BYTES)
        if (
            attempt.recorder is not None
            and answer.status < _FIRST_FAILURE_STATUS
        ):
            attempt.recorder.record_answer(self.clock.now_s())
        length = (b'content-length', str(len(body)).encode())
        await async_send_start(routed, answer.status, (*answer.headers, length))
        await async_send_end(routed, body)

    def _check_retry(self, routed: RoutedRequest, attempt: _Attempt) -> None:
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
        attempt: _Attempt,
    ) -> ResultCode | None:
        route = attempt.route
        if routed.may_have_run and not route.repeatable:
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
        self, routed: RoutedRequest, attempt: _Attempt
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
        attempt: _Attempt,
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
            may_send=lambda: self._may_send(attempt),
            created_at_s=self.clock.now_s(),
        )

    def _may_send(self, attempt: _Attempt) -> bool:
        if self._is_evacuated(attempt):
            return False
        return self.selector.limiter.may_send(
            process_hash(attempt.engine), attempt.permit, self.clock.now_s()
        )

    def _is_evacuated(self, attempt: _Attempt) -> bool:
        zone = attempt.engine.availability_zone
        return self.selector.evacuations.is_evacuated(zone)

    def _avoid(self, attempt: _Attempt, duration_s: float) -> None:
        until_s = self.clock.now_s() + duration_s
        self.activity.avoid(attempt.run.key, until_s)

    def _record_not_sent(
        self,
        routed: RoutedRequest,
        attempt: _Attempt,
        error: BackendNotReachedError,
    ) -> None:
        routed.connect_attempts += 1
        self.reach.record_not_reached(
            attempt.engine, error, attempt.run.sent_at_s, self.clock.now_s()
        )
        outcome = 'permit_expired'
        if not isinstance(error, PermitExpiredError):
            outcome = 'not_reached'
            self.activity.record_unreached(attempt.run.key, self.clock.now_s())
        elif self._is_evacuated(attempt):
            outcome = 'zone_evacuated'
        self._record_failure(routed, attempt, outcome, error)

    def _record_lost(
        self,
        routed: RoutedRequest,
        attempt: _Attempt,
        error: Exception,
    ) -> None:
        if attempt.service.engine is not None:
            self._avoid(attempt, LOST_AVOID_S)
        if attempt.answer is None or attempt.answer.is_authentic:
            self.reach.record_lost(attempt.engine, self.clock.now_s())
        self._record_crash(routed, attempt)
        self._record_failure(routed, attempt, 'lost', error)

    def _record_crash(self, routed: RoutedRequest, attempt: _Attempt) -> None:
        """Record a request whose answer was lost as it began."""
        now_s = self.clock.now_s()
        if not attempt.run.is_beginning(now_s):
            return
        crash = RequestCrash(
            engine=hash32(process_key(attempt.run.key)),
            parts=routed.inbound.prompt_parts,
            fingerprint=routed.fingerprint,
            ran_s=now_s - attempt.run.sent_at_s,
        )
        self.reach.hold(
            lambda: self.quarantine.record_crash(crash, now_s), now_s
        )

    def _record_refusal(
        self,
        routed: RoutedRequest,
        attempt: _Attempt,
        answer: BackendAnswer,
    ) -> None:
        if answer.replica_unusable:
            self._avoid(attempt, BROKEN_AVOID_S)
        self._record_failure(routed, attempt, f'refused_{answer.status}', None)

    def _record_failure(
        self,
        routed: RoutedRequest,
        attempt: _Attempt,
        outcome: str,
        error: Exception | None,
    ) -> None:
        routed.cause = outcome if error is None else f'{outcome}: {error}'
        logging.info(
            'event=attempt_failed request=%s engine=%s outcome=%s sent=%d '
            'load=%d age_ms=%d framing=%s began_ms=%d parts=%s '
            'fingerprint=%016x cause=%r',
            routed.inbound.request_id,
            attempt.engine.engine,
            outcome,
            routed.sent_count,
            self.activity.load(attempt.run.key),
            (self.clock.now_s() - self.selector.view.read_at_s) * _MS,
            '' if attempt.answer is None else attempt.answer.framing,
            _began_ms(attempt.run, self.clock.now_s()),
            parts_text(routed.inbound.prompt_parts),
            routed.fingerprint,
            '' if error is None else str(error),
        )


def _is_repeatable(routed: RoutedRequest) -> bool:
    return routed.route is not None and routed.route.repeatable


def _began_ms(run: EngineRun, now_s: float) -> int:
    """Return the time since the first event of a run; -1 without one."""
    since_s = now_s - run.first_progress_at_s
    return round(since_s * _MS) if math.isfinite(since_s) else -1


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


def _engine_priority(routed: RoutedRequest, attempt: _Attempt) -> int | None:
    """Return the priority in the engine's queue, 0 to 9; 0 is served first.

    The workspace's priority outweighs the route's.
    """
    if attempt.service.engine is None:
        return None
    workspace = 1 if routed.priority is None else routed.priority
    rank = workspace * _PRIORITY_STEP + attempt.route.priority
    return min(_PRIORITY_LOWEST, rank)
