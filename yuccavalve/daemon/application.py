"""Build the request pipeline and the HTTP application."""

import asyncio

import attrs
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from yuccavalve.access import bearer_key, find_workspace, keys_equal
from yuccavalve.adapters.backend import BackendClient
from yuccavalve.adapters.http import CallFailedError
from yuccavalve.const import HEADER_RESULT
from yuccavalve.daemon.node import Node
from yuccavalve.load import RetryBudget
from yuccavalve.observability import (
    Metrics,
    add_limit_gauges,
    add_quarantine_gauges,
)
from yuccavalve.operators import OperatorEndpoints
from yuccavalve.requests import Exchange, Ledger, Pacer, RequestPipeline
from yuccavalve.requests.admit import Admission, Admit
from yuccavalve.requests.const import COMPLETIONS_PATH, SERVICES_PREFIX
from yuccavalve.requests.deduplicate import ClaimLedgerRow, Deduplicate
from yuccavalve.requests.dispatch import Dispatch, attempt_id
from yuccavalve.requests.limits import LimitGuard
from yuccavalve.requests.parse import ParseBody, ParseHeaders, ReadBody
from yuccavalve.requests.picker import ReplicaPicker
from yuccavalve.requests.preconditions import (
    Authenticate,
    CheckAvailability,
    CheckStop,
    ResolveService,
)
from yuccavalve.requests.quarantine import CheckQuarantine, QuarantineGuard
from yuccavalve.requests.record import Recorder
from yuccavalve.requests.relay import EngineResumer, Relay, StreamWatch
from yuccavalve.results import ResultCode, http_status

__all__ = ('RequestServer',)

_MS = 1000
_NOT_FOUND = 404
_NOT_ALLOWED = 405
_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'DELETE', 'OPTIONS', 'PATCH')


@attrs.define
class EngineCanceller:
    """Cancels requests at engines when nobody waits for their answers."""

    node: Node
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    def cancel(self, exchange: Exchange) -> None:
        """Cancel an attempt at its engine without awaiting the answer."""
        if not exchange.incarnation:
            return
        task = asyncio.create_task(
            self._async_cancel(exchange.address, attempt_id(exchange)),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_cancel(self, address: str, request_id: str) -> None:
        try:
            await self.node.engine_caller.async_post(
                address,
                '/v1/cancel',
                {'request_id': request_id},
            )
        except CallFailedError:
            return


class RequestServer:
    """Serves the HTTP requests of callers and operators."""

    def __init__(self, node: Node) -> None:
        """Build the pipeline, the application and its gauges."""
        limits = node.settings.limits
        self._node = node
        self.metrics = Metrics()
        self.ledger = Ledger(node.platform.table, node.platform.object_store)
        self.pacer = Pacer(limits.merge_delay_ms / _MS)
        self.watch = StreamWatch(
            node.clock,
            limits.stream_idle_s,
            limits.caller_stall_s,
        )
        self.limits = LimitGuard(node.limiter, node.clock, node.random)
        self.picker = ReplicaPicker(
            node.replicas,
            node.grants,
            node.roster,
            node.scores,
            node.demands,
            node.clock,
            node.random,
            limits.max_in_flight,
            self.limits,
        )
        self.admission = Admission(
            node.adoption,
            self.picker,
            node.clock,
            node.random,
            limits.max_queued,
        )
        node.peer_state.own_demands = self.admission.demands
        self.pipeline = self._pipeline()
        self.application = self._application()
        self.metrics.gauge('requests_in_flight', self._in_flight)
        self.metrics.gauge('configuration_version', self._configuration_version)
        add_quarantine_gauges(self.metrics, node.quarantine)
        add_limit_gauges(self.metrics, node.limiter, node.grantor, node.clock)
        self.metrics.gauge('merge_delay_seconds', lambda: self.pacer.delay_s)

    def background_loops(self) -> list:  # type: ignore[type-arg]
        """Return the background loops of request handling."""
        return [
            self.pacer.async_run(),
            self.watch.async_run(),
            self.admission.async_run(),
            self.ledger.async_run_retries(),
        ]

    def _pipeline(self) -> RequestPipeline:
        node = self._node
        limits = node.settings.limits
        client = BackendClient()
        canceller = EngineCanceller(node)
        guard = QuarantineGuard(
            node.quarantine, node.clock, node.local_member.member
        )
        deduplicate = Deduplicate(self.ledger, node.roster, node.clock)
        filters = (
            ParseHeaders(),
            Authenticate(node.adoption),
            CheckAvailability(node.adoption, node.clock, node),
            CheckStop(node),
            ReadBody(limits.max_body_bytes),
            ParseBody(),
            ResolveService(node.adoption),
            deduplicate,
            CheckQuarantine(guard),
            CheckStop(node),
            Admit(self.admission),
            ClaimLedgerRow(self.ledger, deduplicate, node.local_member.member),
            Dispatch(
                self.picker,
                client,
                node.scores,
                RetryBudget(),
                canceller,
                node.adoption,
                node.clock,
                node.random,
                limits.first_byte_s,
                guard,
                self.limits,
                node,
            ),
            Relay(
                node.clock,
                self.pacer,
                self.watch,
                EngineResumer(client, node.grants, self.limits),
                node.grants,
                limits.stream_idle_s,
                guard,
            ),
        )
        recorder = Recorder(
            self.ledger,
            self.admission,
            self.picker,
            node.scores,
            self.metrics,
            node.samples,
            canceller,
            node.clock,
            node.local_member.member,
        )
        return RequestPipeline(
            filters,
            recorder,
            node.clock,
            node.local_member.member,
            node.other_caller_addresses,
        )

    def _application(self) -> Starlette:
        return Starlette(
            routes=[
                Route('/healthz', self._async_health),
                Route('/readyz', self._async_ready),
                Route('/metrics', self._async_metrics),
                Route('/v1/entries', self._async_entries),
                *OperatorEndpoints(self._node).routes(),
                Route(COMPLETIONS_PATH, self.pipeline, methods=['POST']),
                Route(
                    f'{SERVICES_PREFIX}{{path:path}}',
                    self.pipeline,
                    methods=list(_METHODS),
                ),
            ],
            exception_handlers={
                _NOT_FOUND: _async_unknown_path,
                _NOT_ALLOWED: _async_unknown_path,
            },
        )

    async def _async_health(self, request: Request) -> Response:
        return JSONResponse({'alive': True})

    async def _async_ready(self, request: Request) -> Response:
        node = self._node
        fresh = node.adoption.is_fresh(node.clock.now_s())
        ready = fresh and not node.stopping
        status = 200
        if not ready:
            status = http_status(ResultCode.CONFIGURATION_UNCONFIRMED)
        return JSONResponse({'ready': ready}, status)

    async def _async_metrics(self, request: Request) -> Response:
        if not self._is_operator(request):
            return _unauthenticated()
        return Response(self.metrics.text(), media_type='text/plain')

    async def _async_entries(self, request: Request) -> Response:
        """Return the addresses that callers may use and for how long."""
        node = self._node
        key = bearer_key(request.headers.get('authorization', ''))
        workspaces = node.adoption.configuration.document.workspaces
        workspace = find_workspace(key, workspaces)
        if workspace is None and not self._is_operator(request):
            return _unauthenticated()
        now_s = node.clock.now_s()
        members = node.roster.entries(now_s)
        node.random.shuffle(members)
        return JSONResponse(
            {
                'entries': [
                    {
                        'address': member.caller_address,
                        'region': member.region,
                        'availability_zone': member.availability_zone,
                        'weight': 1,
                    }
                    for member in members
                ],
                'lifetime_s': node.settings.stop.entry_lifetime_s,
            },
        )

    def _is_operator(self, request: Request) -> bool:
        key = bearer_key(request.headers.get('authorization', ''))
        return keys_equal(key, self._node.keys.operator)

    def _in_flight(self) -> float:
        return len(self.pipeline.running)

    def _configuration_version(self) -> float:
        return self._node.adoption.version


async def _async_unknown_path(request: Request, error: Exception) -> Response:
    return _refusal(ResultCode.PATH_UNKNOWN)


def _unauthenticated() -> Response:
    return _refusal(ResultCode.UNAUTHENTICATED)


def _refusal(code: ResultCode) -> Response:
    return JSONResponse(
        {'error': {'code': int(code), 'name': code.name}},
        http_status(code),
        {HEADER_RESULT: str(int(code))},
    )
