"""Serve callers' requests: find the route, dispatch, send the answer."""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from absl import logging

from yuccavalve.access import key_digest
from yuccavalve.clock import Clock
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fingerprints import request_fingerprint
from yuccavalve.gateway.budget import ServiceRetryBudgets
from yuccavalve.gateway.const import (
    MAX_DEADLINE_S,
    RETRY_AFTER_LEAVING_S,
    RETRY_AFTER_NO_REPLICA_S,
    RETRY_AFTER_NOT_READY_S,
    STARTUP_POLL_S,
    STARTUP_WAIT_S,
)
from yuccavalve.gateway.dispatch import Dispatcher
from yuccavalve.gateway.leaving import check_leaving
from yuccavalve.gateway.models import (
    RELAY_SCOPE_KEY,
    Delivery,
    InboundDecoder,
    InboundRequest,
    Receive,
    RelayEntryMark,
    RoutedRequest,
    Send,
)
from yuccavalve.gateway.respond import async_send_refusal
from yuccavalve.gateway.selection import jittered_retry_s
from yuccavalve.gateway.stopping import GatewayStop
from yuccavalve.gateway.waiting import AdmissionGate
from yuccavalve.inflight import InFlightRequests, async_read_body
from yuccavalve.observability.metrics import Metrics, RequestMeasurement
from yuccavalve.results import Outcome, ResultCode, outcome_from_code
from yuccavalve.routing import (
    Route,
    RoutingState,
    RoutingTable,
    ServiceProfile,
)
from yuccavalve.serving import HAS_NEXT_KEY

__all__ = ('Gateway',)

_MS = 1000


class Gateway:
    """ASGI application that serves callers' requests.

    Attributes
    ----------
    has_received_request
        Whether a request that could be decoded has arrived.
    is_informed
        Returns whether what other daemons know has been heard.
    """

    def __init__(
        self,
        decoder: InboundDecoder,
        routing: RoutingState,
        dispatcher: Dispatcher,
        clock: Clock,
        random: Random,
    ) -> None:
        """Start without requests in flight."""
        self.stop = GatewayStop()
        self.metrics = Metrics()
        self.has_received_request = False
        self.is_informed: Callable[[], bool] = _is_informed
        self._started_at_s = clock.now_s()
        self._decoder = decoder
        self._routing = routing
        self._dispatcher = dispatcher
        self._clock = clock
        self._random = random
        self.running = InFlightRequests()

    @property
    def budgets(self) -> ServiceRetryBudgets:
        """Return the retry budgets of services."""
        return self._dispatcher.budgets

    @property
    def admission(self) -> AdmissionGate | None:
        """Return the queue of requests that no engine takes, if any."""
        return self._dispatcher.admission

    def begin_stop(self, answer_until_s: float) -> None:
        """Refuse requests that may not end before a monotonic time."""
        self.stop.begin(answer_until_s)
        if self.admission is not None:
            self.admission.refuse_leaving()

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        arrived_at_s = self._clock.now_s()
        inbound, refusal = self._decode(scope)
        routed = RoutedRequest(
            inbound, receive, send, arrived_at_s, stop=self.stop
        )
        routed.has_next = scope.get(HAS_NEXT_KEY, routed.has_next)
        mark: RelayEntryMark | None = scope.get(RELAY_SCOPE_KEY)
        if mark is not None:
            routed.relayed = True
            refusal = refusal or mark.refusal
        if refusal is not None:
            await self._async_refuse(routed, refusal)
            return
        self.has_received_request = True
        body_read = asyncio.Event()
        await self.running.async_serve(
            self._async_serve(routed, body_read),
            lambda task: _async_watch_disconnect(routed, task, body_read),
        )

    def _decode(
        self,
        scope: dict[str, Any],
    ) -> tuple[InboundRequest, RequestRefusedError | None]:
        try:
            return self._decoder.decode(scope), None
        except RequestRefusedError as error:
            return InboundRequest('', '', 'GET', '', b'', ()), error

    async def _async_serve(
        self,
        routed: RoutedRequest,
        body_read: asyncio.Event,
    ) -> None:
        try:
            async with asyncio.timeout(None) as timer:
                await self._async_handle(routed, body_read, timer)
        except asyncio.CancelledError as error:
            outcome = _cancel_outcome(routed, error)
        except Exception as error:
            outcome = self._error_outcome(routed, error)
        else:
            self._record_end(routed, outcome_from_code(routed.passed_result))
            return
        await self._async_finish(routed, outcome)

    def _error_outcome(
        self,
        routed: RoutedRequest,
        error: Exception,
    ) -> Outcome:
        """Return the outcome of a request that ended with an error."""
        if isinstance(error, RequestRefusedError):
            return outcome_from_code(
                error.code, str(error), error.retry_after_s
            )
        if isinstance(error, TimeoutError):
            return self._timeout_outcome(routed)
        logging.error(
            'event=request_failed request=%s',
            routed.inbound.request_id,
            exc_info=error,
        )
        return outcome_from_code(ResultCode.INTERNAL)

    async def _async_handle(
        self,
        routed: RoutedRequest,
        body_read: asyncio.Event,
        timer: asyncio.Timeout,
    ) -> None:
        table = await self._async_routes()
        route = self._resolve_route(table, routed)
        timeout_s = min(
            route.timeout_s,
            routed.inbound.deadline_s or MAX_DEADLINE_S,
        )
        routed.deadline_at_s = routed.arrived_at_s + timeout_s
        check_leaving(routed)
        loop = asyncio.get_running_loop()
        remaining_s = routed.deadline_at_s - self._clock.now_s()
        timer.reschedule(loop.time() + remaining_s)
        routed.body = await async_read_body(
            routed.receive,
            table.limits.max_body_bytes,
        )
        body_read.set()
        routed.fingerprint = _fingerprint(routed)
        service = self._choose_service(table, route, routed)
        await self._dispatcher.async_run(routed, route, service)

    async def _async_routes(self) -> RoutingTable:
        """Return the current routes; wait for them shortly after startup."""
        until_s = self._started_at_s + STARTUP_WAIT_S
        while not self._is_ready():
            if self._clock.now_s() > until_s:
                break
            await asyncio.sleep(STARTUP_POLL_S)
        table = self._routing.table
        if table is None:
            raise self._not_ready(ResultCode.CONFIGURATION_UNCONFIRMED)
        return table

    def _is_ready(self) -> bool:
        engines_read = self._dispatcher.selector.view.version > 0
        has_base = self._routing.table is not None and engines_read
        return has_base and self.is_informed()

    def _not_ready(self, code: ResultCode) -> RequestRefusedError:
        return RequestRefusedError(
            code,
            retry_after_s=jittered_retry_s(
                self._random,
                RETRY_AFTER_NOT_READY_S,
            ),
        )

    def _resolve_route(
        self,
        table: RoutingTable,
        routed: RoutedRequest,
    ) -> Route:
        inbound = routed.inbound
        route = table.route(inbound.host, inbound.path)
        if route is None:
            raise RequestRefusedError(ResultCode.PATH_UNKNOWN, inbound.path)
        routed.route = route
        workspaces = table.workspaces_by_digest
        if workspaces is not None and inbound.workspace_key:
            workspace = workspaces.get(key_digest(inbound.workspace_key))
            if workspace is not None:
                routed.workspace = workspace.name
                routed.priority = workspace.priority
        allows_anonymous = workspaces is None or route.public
        if not routed.workspace and not allows_anonymous:
            raise RequestRefusedError(ResultCode.UNAUTHENTICATED)
        return route

    def _choose_service(
        self,
        table: RoutingTable,
        route: Route,
        routed: RoutedRequest,
    ) -> ServiceProfile:
        routed.service = route.choose_service(self._random)
        service = table.services.get(routed.service)
        if service is None:
            raise RequestRefusedError(
                ResultCode.NO_REPLICA,
                f'service {routed.service} is not configured',
                jittered_retry_s(self._random, RETRY_AFTER_NO_REPLICA_S),
            )
        return service

    def _timeout_outcome(self, routed: RoutedRequest) -> Outcome:
        if routed.may_have_run or routed.sent_count or routed.response_began:
            return outcome_from_code(
                ResultCode.STREAM_SILENT, 'deadline passed'
            )
        return outcome_from_code(
            ResultCode.DEADLINE_UNREACHABLE,
            'deadline passed',
            jittered_retry_s(self._random, RETRY_AFTER_NO_REPLICA_S),
        )

    async def _async_refuse(
        self,
        routed: RoutedRequest,
        error: RequestRefusedError,
    ) -> None:
        outcome = outcome_from_code(error.code, str(error), error.retry_after_s)
        await self._async_finish(routed, outcome)

    async def _async_finish(
        self,
        routed: RoutedRequest,
        outcome: Outcome,
    ) -> None:
        """Record the outcome and send it unless an answer has begun.

        The server aborts an answer that has begun by closing the connection
        before the end of the body, so that it can't look complete.
        """
        self._record_end(routed, outcome)
        if outcome.code is ResultCode.CALLER_LEFT or routed.response_began:
            return
        try:
            await async_send_refusal(routed, outcome)
        except (OSError, RuntimeError) as error:
            logging.info(
                'event=answer_unsent request=%s cause=%r',
                routed.inbound.request_id,
                str(error),
            )

    def _record_end(self, routed: RoutedRequest, outcome: Outcome) -> None:
        now_s = self._clock.now_s()
        first_s = routed.first_event_at_s or now_s
        first_ms = (first_s - routed.arrived_at_s) * _MS
        answered = outcome.code is ResultCode.ANSWERED
        delivery = _delivery(routed, outcome)
        if delivery is Delivery.BROKEN_OFF:
            self.metrics.record_broken_off(
                routed.service, routed.cause.partition(':')[0]
            )
        self.metrics.observe(
            RequestMeasurement(
                service=routed.service,
                request_class='' if routed.route is None else routed.route.kind,
                code=int(outcome.code),
                first_byte_ms=first_ms if answered else None,
                between_events_ms=routed.longest_gap_s * _MS or None,
            ),
        )
        logging.info(
            'event=request_ended request=%s route=%s workspace=%s result=%d '
            'engine=%s sent=%d first_ms=%d aim_ms=%d gap_ms=%d '
            'total_ms=%d config=%d framing=%s partial_event_bytes=%d '
            'delivered=%s cause=%r',
            routed.inbound.request_id,
            '' if routed.route is None else routed.route.name,
            routed.workspace,
            int(outcome.code),
            routed.engine,
            routed.sent_count,
            first_ms,
            0 if routed.route is None else routed.route.objective_s * _MS,
            routed.longest_gap_s * _MS,
            (now_s - routed.arrived_at_s) * _MS,
            self._routing.version,
            routed.framing,
            routed.partial_event_bytes,
            delivery,
            getattr(outcome, 'text', ''),
        )


def _delivery(routed: RoutedRequest, outcome: Outcome) -> Delivery:
    """Return how much of an answer a caller gets."""
    if outcome.code is ResultCode.CALLER_LEFT:
        return Delivery.NONE
    if routed.response_ended:
        return Delivery.WHOLE
    return Delivery.BROKEN_OFF if routed.response_began else Delivery.REFUSAL


def _is_informed() -> bool:
    """Return True, for a gateway without other daemons."""
    return True


def _fingerprint(routed: RoutedRequest) -> int:
    inbound = routed.inbound
    target = inbound.host.encode() + inbound.target
    prompt = f'{inbound.model} {inbound.prompt_parts}'
    return request_fingerprint(
        routed.workspace, inbound.method, target, routed.body, prompt
    )


async def _async_watch_disconnect(
    routed: RoutedRequest,
    task: asyncio.Task[None],
    body_read: asyncio.Event,
) -> None:
    """Cancel a request when its caller disconnects."""
    await body_read.wait()
    while True:
        message = await routed.receive()
        if message['type'] == 'http.disconnect':
            task.cancel(ResultCode.CALLER_LEFT.name)
            return


def _cancel_outcome(
    routed: RoutedRequest,
    error: asyncio.CancelledError,
) -> Outcome:
    reason = error.args[0] if error.args else ''
    if reason != ResultCode.STOP_BOUND_REACHED.name:
        return outcome_from_code(ResultCode.CALLER_LEFT, 'caller disconnected')
    if routed.sent_count or routed.may_have_run:
        return outcome_from_code(ResultCode.STOP_BOUND_REACHED)
    return outcome_from_code(
        ResultCode.MEMBER_LEAVING, '', RETRY_AFTER_LEAVING_S
    )
