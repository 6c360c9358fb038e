"""Hold requests that no engine takes until one does, and release in order.

All decisions are taken in ``check``, which never waits. It runs at most every
few milliseconds after a run has ended or the engines have changed, and else a
few times a second while requests wait.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Protocol

import attrs
from absl import logging

from yuccavalve.admission import (
    AdmissionQueue,
    Forecast,
    PoolKey,
    RoomPromises,
    WaitingRequest,
    give_up_at_s,
    priority_rank,
    ranked_waits_s,
)
from yuccavalve.admission.const import (
    CHECK_GAP_S,
    CHECK_PERIOD_S,
    ESTIMATE_GAP_S,
    MAX_SINGLE_CHECKS,
    RECHECK_FACTOR,
    RECHECK_MARGIN_S,
    TRY_AGAIN_S,
)
from yuccavalve.clock import Clock
from yuccavalve.exceptions import (
    RequestRefusedError,
    StalledAttemptResumedError,
)
from yuccavalve.fleet.activity import EngineRun, engine_key, process_hash
from yuccavalve.gateway.attempt import async_unless_resumed
from yuccavalve.gateway.const import RETRY_AFTER_NOT_READY_S
from yuccavalve.gateway.forecasts import PoolForecasts
from yuccavalve.gateway.leaving import leaving_error
from yuccavalve.gateway.models import RoutedRequest
from yuccavalve.gateway.selection import EngineSelector, jittered_retry_s
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.results import ResultCode
from yuccavalve.routing import RequestKind, ServiceProfile

__all__ = ('AdmissionGate', 'Timer')

_Chosen = asyncio.Future[EngineRun | RequestRefusedError]

_MS = 1000
_WORTH_WAITING = frozenset(
    (
        ResultCode.NO_REPLICA,
        ResultCode.QUEUE_FULL,
        # Replicas may be forming in other zones.
        ResultCode.ZONE_EVACUATED,
    )
)
# An engine's limit is no reason to refuse a request that waits already.
_WORTH_STAYING = _WORTH_WAITING | {ResultCode.ENGINES_LIMITED}


class Timer(Protocol):
    """A call that was scheduled."""

    def cancel(self) -> None:
        """Prevent the call."""


def _call_later(delay_s: float, call: Callable[[], None]) -> Timer:
    return asyncio.get_running_loop().call_later(delay_s, call)


def _resolve(chosen: _Chosen, outcome: EngineRun | RequestRefusedError) -> None:
    if not chosen.done():
        chosen.set_result(outcome)


def _ignore_wait(service: str, waited_ms: float) -> None:
    """Do nothing; waits are not recorded."""


@attrs.define(eq=False)
class _Waiter:
    """What is needed to choose an engine for a waiting request.

    Attributes
    ----------
    bearable_s
        Longest expected wait for a slot with which an engine takes it.
    try_again_at_s
        Monotonic time after which engines that it tried may be tried again.
    """

    routed: RoutedRequest
    service: ServiceProfile
    resolve: Callable[[EngineRun | RequestRefusedError], None]
    bearable_s: float = 0
    try_again_at_s: float = 0
    engine: EngineRecord | None = None


@attrs.define
class _Blocks:
    """Requests that no engine takes now, found in one check of a pool."""

    blocked: set[object] = attrs.field(factory=set)
    below_rank: float = math.inf
    ends: bool = False
    _single_checks: int = 0

    def add(self, request: WaitingRequest, code: ResultCode) -> None:
        """Pass over a request, and over those that fare no better."""
        self.blocked.add(request.group or request)
        if request.group is None:
            self._single_checks += 1
            self.ends = self._single_checks >= MAX_SINGLE_CHECKS
        elif code is ResultCode.QUEUE_FULL:
            # Less urgent requests that bear a longer wait would lengthen the
            # queues that this one waits for.
            self.below_rank = min(self.below_rank, request.rank)
        else:
            self.ends = True


@attrs.define(eq=False)
class AdmissionGate:
    """The admission queue of one daemon in front of its engine selector.

    Attributes
    ----------
    pools
        What is expected of the engines.
    on_waited
        Called with the service and the time that a released request waited.
    schedule
        Calls a function after a delay.
    released
        Number of requests that an engine took after a wait.
    rejected
        Number of requests that were refused, by reason.
    """

    selector: EngineSelector
    pools: PoolForecasts
    clock: Clock
    random: Random
    on_waited: Callable[[str, float], None] = _ignore_wait
    schedule: Callable[[float, Callable[[], None]], Timer] = _call_later
    queue: AdmissionQueue = attrs.field(factory=AdmissionQueue)
    released: int = 0
    rejected: Counter[str] = attrs.field(factory=Counter)
    promises: RoomPromises = attrs.field(init=False)
    _reserved: set[EngineRun] = attrs.field(factory=set)
    _timer: Timer | None = None
    _timer_at_s: float = math.inf
    _checked_at_s: float = -math.inf
    _estimated_at_s: float = -math.inf

    def __attrs_post_init__(self) -> None:
        """Learn of each run that ends."""
        self.promises = RoomPromises(self.random)
        self.selector.activity.on_end = self._handle_end

    async def async_choose(
        self, routed: RoutedRequest, service: ServiceProfile
    ) -> EngineRecord:
        """Return an engine for the request, after a wait if need be.

        A slot is reserved from the release until the request's own run
        begins, which must be before anything else is awaited.

        Raises
        ------
        RequestRefusedError
            If no engine is expected to take the request in time.
        StalledAttemptResumedError
            If a stalled engine of the request goes on during the wait.
        """
        engine = self.try_at_once(routed, service)
        if engine is not None:
            return engine
        chosen: _Chosen = asyncio.get_running_loop().create_future()
        request = self.enter(routed, service, partial(_resolve, chosen))
        try:
            outcome = await async_unless_resumed(routed.stalled, chosen)
        except asyncio.CancelledError:
            self.leave(request, 'caller_left')
            self.wake()
            raise
        except StalledAttemptResumedError:
            self.leave(request, 'stalled_resumed')
            self.wake()
            raise
        finally:
            if not chosen.cancelled():
                self.end_reservation(chosen.result())
        if isinstance(outcome, RequestRefusedError):
            raise outcome
        return request.context.engine

    def try_at_once(
        self, routed: RoutedRequest, service: ServiceProfile
    ) -> EngineRecord | None:
        """Return an engine; None if the request has to wait for one.

        Nobody overtakes requests that wait for the same engines.
        """
        key = (service.name, routed.inbound.model)
        if self.queue.count(key):
            return None
        now_s = self.clock.now_s()
        try:
            engine = self.selector.choose(service, routed, now_s)
        except RequestRefusedError as error:
            if not self._is_worth_waiting(error, key, service, now_s):
                raise
            return None
        self.pools.record_taken(key, service, now_s)
        return engine

    def _is_worth_waiting(
        self,
        error: RequestRefusedError,
        key: PoolKey,
        service: ServiceProfile,
        now_s: float,
    ) -> bool:
        """Return whether an engine may soon take a request after a refusal.

        Permits of cold engines arrive within some tenths of a second, those of
        engines that have named a limit perhaps not for seconds.
        """
        if error.code in _WORTH_WAITING:
            return True
        return error.code is ResultCode.ENGINES_LIMITED and any(
            self.selector.limiter.is_cold(process_hash(each), now_s)
            for each in self.selector.candidates(service, key[1])
        )

    def enter(
        self,
        routed: RoutedRequest,
        service: ServiceProfile,
        resolve: Callable[[EngineRun | RequestRefusedError], None],
    ) -> WaitingRequest:
        """Add a request to the queue; ``resolve`` gets its outcome.

        The outcome may be known at once. It is the error of a refusal, or
        the run that holds the slot at the engine in the request's context.
        """
        now_s = self.clock.now_s()
        request = self._request(routed, service, resolve, now_s)
        self.pools.add(request.pool, service, now_s)
        if routed.must_leave:
            self._refuse_leaving(request)
            return request
        for displaced in self.queue.push(request):
            self._reject(
                displaced,
                'displaced',
                self.pools.forecast(displaced.pool, now_s),
            )
        self._check_pool(request.pool, now_s)
        if request.context.engine is None and self.queue.waits(request):
            logging.info(
                'event=admission_waiting request=%s service=%s model=%s '
                'workspace=%s rank=%d waiting=%d limit_ms=%d cause=%r',
                routed.inbound.request_id,
                *request.pool,
                request.workspace,
                request.rank,
                self.queue.count(request.pool),
                (request.give_up_at_s - now_s) * _MS,
                str(request.cause),
            )
        self._schedule_check()
        return request

    def leave(self, request: WaitingRequest, reason: str) -> None:
        """Remove a request that no longer needs an engine."""
        if self.queue.remove(request):
            self.rejected[reason] += 1

    def wake(self) -> None:
        """Check soon whether waiting requests can be released."""
        if len(self.queue):
            now_s = self.clock.now_s()
            self._call_at(max(now_s, self._checked_at_s + CHECK_GAP_S))

    def handle_engine_update(self) -> None:
        """Take note of changed engines."""
        self.pools.observe(self.clock.now_s())
        self.wake()

    def refuse_leaving(self) -> None:
        """Refuse what waits and may outlast the stop of this daemon.

        Requests that an engine may have run go on waiting.
        """
        for request in self.queue:
            if request.context.routed.must_leave:
                self.queue.remove(request)
                self._refuse_leaving(request)

    def refuse_unreachable(self) -> None:
        """Refuse what waits, since this daemon reaches no engine.

        Its neighbors take over what may be relayed. The result code of a
        request that another daemon relays tells that daemon to try the next.
        """
        for request in self.queue:
            self.queue.remove(request)
            error = RequestRefusedError(
                ResultCode.ENGINES_UNREACHABLE,
                'this daemon reaches no engine',
                jittered_retry_s(self.random, RETRY_AFTER_NOT_READY_S),
            )
            self._resolve_refused(request, 'engines_unreachable', error)

    def check(self) -> None:
        """Release what engines take, and reject what can't be served."""
        self._timer = None
        self._timer_at_s = math.inf
        now_s = self.clock.now_s()
        self._checked_at_s = now_s
        estimates = now_s - self._estimated_at_s >= ESTIMATE_GAP_S
        if estimates:
            self._estimated_at_s = now_s
        for key in self.queue.pools():
            self._check_pool(key, now_s, estimates=estimates)
        self._schedule_check()

    def _check_pool(
        self, key: PoolKey, now_s: float, *, estimates: bool = True
    ) -> None:
        for request in self.queue:
            if request.pool == key and now_s >= request.give_up_at_s:
                self._drop(request, 'too_late', now_s)
        self._release(key, now_s)
        if estimates and self.queue.count(key):
            self._reject_hopeless(key, now_s)

    def _release(self, key: PoolKey, now_s: float) -> None:
        """Release requests in order while engines take them."""
        blocks = _Blocks()
        while not blocks.ends:
            request = self.queue.peek(key, blocks.blocked, blocks.below_rank)
            if request is None:
                return
            error = self._try_release(request, now_s)
            if error is not None:
                if self.queue.waits(request):
                    blocks.add(request, error.code)
            elif self.selector.limiter.table.has_limits:
                # Its permit is taken when its run begins.
                self._call_at(now_s + CHECK_GAP_S)
                return

    def _try_release(
        self, request: WaitingRequest, now_s: float
    ) -> RequestRefusedError | None:
        """Release a request, or return why no engine takes it."""
        waiter: _Waiter = request.context
        routed = waiter.routed
        if routed.tried and now_s >= waiter.try_again_at_s:
            routed.tried.clear()
            request.group = _group(waiter, request.give_up_at_s, now_s)
        try:
            engine = self._choose(request, now_s)
        except RequestRefusedError as error:
            request.cause = error
            if error.code not in _WORTH_STAYING:
                self.queue.remove(request)
                self._resolve_refused(request, error.code.name.lower(), error)
            return error
        self.queue.serve(request)
        self.pools.record_taken(request.pool, waiter.service, now_s)
        reserved = EngineRun(engine_key(engine), now_s, streams=False)
        self._reserved.add(reserved)
        self.selector.activity.begin(reserved)
        waiter.engine = engine
        waited_ms = (now_s - request.entered_at_s) * _MS
        if waited_ms > 0:
            self.released += 1
            self.on_waited(request.pool[0], waited_ms)
            logging.info(
                'event=admission_released request=%s engine=%s waited_ms=%d '
                'waiting=%d',
                routed.inbound.request_id,
                engine.engine,
                waited_ms,
                self.queue.count(request.pool),
            )
        waiter.resolve(reserved)
        return None

    def _choose(self, request: WaitingRequest, now_s: float) -> EngineRecord:
        """Return an engine that can begin before the caller gives up."""
        waiter: _Waiter = request.context
        service, routed = waiter.service, waiter.routed
        engine = self.selector.choose(service, routed, now_s)
        wait_s = self.selector.expected_wait_s(service, engine, routed)
        if now_s + wait_s > request.give_up_at_s:
            request.group = None
            raise RequestRefusedError(
                ResultCode.QUEUE_FULL,
                f'{engine.engine} has a wait of {round(wait_s * _MS)} ms',
            )
        if self.selector.activity.is_on_trial(engine_key(engine), now_s):
            raise RequestRefusedError(
                ResultCode.NO_REPLICA,
                f'{engine.engine} has failed, and one request tries it',
            )
        return engine

    def _reject_hopeless(self, key: PoolKey, now_s: float) -> None:
        """Reject the requests that are not expected to be served in time."""
        forecast = self.pools.forecast(key, now_s)
        for request, wait_s in ranked_waits_s(
            self.queue.by_rank(key), forecast
        ):
            waiter: _Waiter = request.context
            if waiter.routed.tried:
                wait_s = max(wait_s, waiter.try_again_at_s - now_s)
            # What it will find before itself at the engine.
            wait_s += min(waiter.bearable_s, forecast.engine_wait_s)
            limit_s = request.give_up_at_s - now_s
            if request.entered_at_s < now_s:
                limit_s = limit_s * RECHECK_FACTOR + RECHECK_MARGIN_S
            if wait_s > limit_s:
                reason = 'estimate'
                if forecast.first_s is None:
                    reason = 'nothing_expected'
                self.queue.remove(request)
                self._reject(request, reason, forecast)

    def _drop(self, request: WaitingRequest, reason: str, now_s: float) -> None:
        self.queue.remove(request)
        self._reject(request, reason, self.pools.forecast(request.pool, now_s))

    def _reject(
        self, request: WaitingRequest, reason: str, forecast: Forecast
    ) -> None:
        """Refuse a request, and say when room is expected."""
        now_s = self.clock.now_s()
        room_s = forecast.wait_s(self.queue.count(request.pool))
        if forecast.first_s is None:
            room_s = self.pools.repair_s(request.pool)
        retry_after_s = self.promises.promise_s(
            request.pool, room_s, forecast.per_s, now_s
        )
        routed = request.context.routed
        self.promises.remember(
            routed.fingerprint,
            request.first_arrived_at_s,
            retry_after_s,
            now_s,
        )
        code = ResultCode.NO_REPLICA
        if reason == 'displaced':
            code = ResultCode.ADMISSION_QUEUE_FULL
        elif isinstance(request.cause, RequestRefusedError):
            code = request.cause.code
        text = f'{reason}, {forecast.reason}: {request.cause or ""}'
        self._resolve_refused(
            request, reason, RequestRefusedError(code, text, retry_after_s)
        )

    def _resolve_refused(
        self,
        request: WaitingRequest,
        reason: str,
        error: RequestRefusedError,
    ) -> None:
        self.rejected[reason] += 1
        waited_s = self.clock.now_s() - request.entered_at_s
        if waited_s > 0:
            logging.info(
                'event=admission_rejected request=%s reason=%s waited_ms=%d '
                'retry_after_ms=%d waiting=%d',
                request.context.routed.inbound.request_id,
                reason,
                waited_s * _MS,
                (error.retry_after_s or 0) * _MS,
                self.queue.count(request.pool),
            )
        request.context.resolve(error)

    def _refuse_leaving(self, request: WaitingRequest) -> None:
        error = leaving_error('waited')
        self._resolve_refused(request, 'stopping', error)

    def _request(
        self,
        routed: RoutedRequest,
        service: ServiceProfile,
        resolve: Callable[[EngineRun | RequestRefusedError], None],
        now_s: float,
    ) -> WaitingRequest:
        waiter = _Waiter(
            routed,
            service,
            resolve,
            self.pools.bearable_s(routed),
            now_s + TRY_AGAIN_S,
        )
        inbound = routed.inbound
        route = routed.route
        gives_up_s = self._give_up_at_s(routed, service)
        first_s = self.promises.first_arrival_s(routed.fingerprint, now_s)
        return WaitingRequest(
            pool=(service.name, inbound.model),
            workspace=routed.workspace,
            request_class='' if route is None else route.name,
            rank=priority_rank(
                routed.priority,
                1 if route is None else route.priority,
                resumed=routed.response_began,
            ),
            cost=max(1, inbound.prompt_tokens + inbound.output_tokens),
            size_bytes=len(routed.body),
            entered_at_s=now_s,
            first_arrived_at_s=min(first_s, routed.arrived_at_s),
            give_up_at_s=gives_up_s,
            group=_group(waiter, gives_up_s, now_s),
            context=waiter,
        )

    def _give_up_at_s(
        self, routed: RoutedRequest, service: ServiceProfile
    ) -> float:
        silent_since_s = None
        if _streams(routed):
            silent_since_s = routed.arrived_at_s
            if routed.response_began:
                silent_since_s = max(silent_since_s, routed.last_event_at_s)
        route = routed.route
        return give_up_at_s(
            routed.deadline_at_s,
            self.selector.service_s(service, routed.inbound.model),
            silent_since_s,
            0 if route is None else route.objective_s,
            0 if route is None else route.gap_objective_s,
        )

    def _handle_end(self, run: EngineRun) -> None:
        if run not in self._reserved:
            self.wake()

    def end_reservation(self, outcome: EngineRun | RequestRefusedError) -> None:
        """Give up the slot that was held for a released request."""
        if isinstance(outcome, EngineRun):
            self.selector.activity.end(outcome)
            self._reserved.discard(outcome)

    def _schedule_check(self) -> None:
        """Have the next check made when something may have changed.

        Loads that other daemons report, strikes and suspicions change without
        a call, so requests are checked several times a second too.
        """
        if not len(self.queue):
            return
        now_s = self.clock.now_s()
        until_s = min(each.give_up_at_s for each in self.queue)
        self._call_at(max(now_s, min(until_s, now_s + CHECK_PERIOD_S)))

    def _call_at(self, at_s: float) -> None:
        if self._timer is not None:
            if self._timer_at_s <= at_s:
                return
            self._timer.cancel()
        self._timer_at_s = at_s
        self._timer = self.schedule(
            max(0, at_s - self.clock.now_s()), self.check
        )


def _streams(routed: RoutedRequest) -> bool:
    return routed.route is not None and routed.route.kind is RequestKind.STREAM


def _group(
    waiter: _Waiter, gives_up_s: float, now_s: float
) -> tuple[float, bool] | None:
    """Return the group of requests that engines accept or refuse alike.

    It is None if the request has tried engines, or its deadline bounds the
    wait that it can bear at an engine.
    """
    routed = waiter.routed
    if routed.tried:
        return None
    if gives_up_s - now_s < waiter.bearable_s:
        return None
    return (waiter.bearable_s, routed.response_began)
