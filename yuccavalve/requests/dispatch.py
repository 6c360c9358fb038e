"""Send a request to a backend server, with bounded retries.

A request is reported as not run only when no byte of it was sent, or when
the backend server says that it refused the request before starting it.
"""

import json
from random import Random
from typing import Protocol

import attrs

from yuccavalve.adapters.backend import (
    BackendCall,
    BackendClient,
    BackendStream,
)
from yuccavalve.clock import Clock
from yuccavalve.configuration import AdoptionState
from yuccavalve.configuration.const import KIND_PLAIN
from yuccavalve.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_INCARNATION,
    HEADER_REQUEST,
)
from yuccavalve.exceptions import (
    BackendLostError,
    BackendNotReachedError,
    RequestRefusedError,
)
from yuccavalve.load import ReplicaScores, RetryBudget, retry_after_s
from yuccavalve.ratelimit import backend_id
from yuccavalve.requests.const import CONTENT_JSON, MAX_ATTEMPTS
from yuccavalve.requests.limits import LimitGuard
from yuccavalve.requests.models import Exchange
from yuccavalve.requests.picker import ReplicaPicker
from yuccavalve.requests.preconditions import StopStatus, leaving_error
from yuccavalve.requests.quarantine import QuarantineGuard
from yuccavalve.results import ResultCode

__all__ = ('Canceller', 'Dispatch', 'attempt_id')

_OK = 200
_CONFLICT = 409
_REFUSAL_STATUSES = frozenset((_CONFLICT, 429, 503))
_REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))
_MAX_REFUSAL_BYTES = 65536
_REFUSAL_IDLE_S = 2.0
_MIN_FIRST_BYTE_S = 0.05


class Canceller(Protocol):
    """Cancels attempts whose answers are no longer needed."""

    def cancel(self, exchange: Exchange) -> None:
        """Start cancelling an attempt at its engine; don't wait for it."""


@attrs.define
class _Attempts:
    """State of the attempts to send one request.

    Attributes
    ----------
    tried
        Replicas or addresses that were used.
    error_text
        The last failure, for the caller.
    """

    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    error_text: str = ''
    count: int = 0


@attrs.frozen
class Dispatch:
    """Route and send a request until the head of an answer arrives."""

    picker: ReplicaPicker
    client: BackendClient
    scores: ReplicaScores
    budget: RetryBudget
    canceller: Canceller
    adoption: AdoptionState
    clock: Clock
    random: Random
    first_byte_s: float
    guard: QuarantineGuard
    limits: LimitGuard
    stop_status: StopStatus

    async def async_apply(self, exchange: Exchange) -> None:
        """Set the stream of the answer, or refuse the request."""
        self.guard.check_send(exchange)
        self.budget.deposit()
        attempts = _Attempts()
        while not await self._async_attempt(exchange, attempts):
            self._check_retry(exchange, attempts)

    async def _async_attempt(
        self,
        exchange: Exchange,
        attempts: _Attempts,
    ) -> bool:
        """Try one backend server; return whether it began to answer."""
        self._check_stop(exchange, attempts)
        self._check_configuration(attempts)
        self._select_allowed_target(exchange, attempts)
        attempts.count += 1
        self.picker.begin(exchange.target)
        try:
            answer_began = await self._async_send(exchange, attempts)
        except BaseException:
            self.picker.end(exchange.target)
            self.canceller.cancel(exchange)
            raise
        if not answer_began:
            self.picker.end(exchange.target)
            self.scores.record_failure(exchange.target, self.clock.now_s())
        return answer_began

    async def _async_send(
        self,
        exchange: Exchange,
        attempts: _Attempts,
    ) -> bool:
        exchange.attempt = attempts.count
        asked_at_s = self.clock.now_s()
        exchange.sent_at_s = asked_at_s
        try:
            stream = await self.client.async_open(
                self._backend_call(exchange, attempts)
            )
        except BackendNotReachedError as error:
            attempts.error_text = str(error)
            return False
        except BackendLostError as error:
            self._record_lost(exchange, attempts, str(error))
            self.guard.record_lost(exchange)
            return False
        self._record_limit(exchange, stream, asked_at_s)
        if stream.status in _REFUSAL_STATUSES and _is_model_request(exchange):
            await self._async_record_refusal(exchange, attempts, stream)
            return False
        if _is_model_request(exchange) and not _is_expected(exchange, stream):
            stream.close()
            self._record_lost(
                exchange, attempts, 'answer of another incarnation'
            )
            return False
        exchange.stream = stream
        exchange.answer_began = True
        return True

    def _record_limit(
        self, exchange: Exchange, stream: BackendStream, asked_at_s: float
    ) -> None:
        """Record the limit in an answer, unless it is another server's."""
        if stream.status == _CONFLICT and _is_model_request(exchange):
            return
        is_own = not _is_model_request(exchange) or _is_expected(
            exchange, stream
        )
        self.limits.record_answer(
            backend_id(exchange.target, exchange.incarnation),
            stream.headers,
            asked_at_s if is_own else None,
        )

    async def _async_record_refusal(
        self,
        exchange: Exchange,
        attempts: _Attempts,
        stream: BackendStream,
    ) -> None:
        try:
            body = await stream.async_read_all(
                _REFUSAL_IDLE_S,
                _MAX_REFUSAL_BYTES,
            )
            started = json.loads(body).get('started', True)
        except (BackendLostError, ValueError, AttributeError):
            started = True
        finally:
            stream.close()
        error_text = f'backend server answered {stream.status}'
        if started:
            self._record_lost(exchange, attempts, error_text)
        attempts.error_text = error_text

    def _record_lost(
        self,
        exchange: Exchange,
        attempts: _Attempts,
        error_text: str,
    ) -> None:
        attempts.may_have_run = True
        attempts.error_text = error_text
        self.canceller.cancel(exchange)

    def _check_stop(self, exchange: Exchange, attempts: _Attempts) -> None:
        """Refuse a request that a stop may cut, unless it may have run."""
        if attempts.may_have_run:
            return
        if self.stop_status.may_cut(exchange.deadline_at_s):
            raise leaving_error()

    def _check_configuration(self, attempts: _Attempts) -> None:
        """Refuse to send while the configuration is not confirmed."""
        if self.adoption.is_fresh(self.clock.now_s()):
            return
        self._refuse(attempts, ResultCode.CONFIGURATION_UNCONFIRMED)

    def _select_allowed_target(
        self, exchange: Exchange, attempts: _Attempts
    ) -> None:
        """Select a server within its limit, and take the permit for it."""
        try:
            self._select_target(exchange, attempts)
        except RequestRefusedError as error:
            if attempts.may_have_run:
                self._refuse(attempts, error.code)
            raise
        exchange.permit = self.limits.take(
            backend_id(exchange.target, exchange.incarnation)
        )

    def _select_target(self, exchange: Exchange, attempts: _Attempts) -> None:
        if not _is_model_request(exchange):
            self._select_plain_target(exchange, attempts)
            return
        group = exchange.service.group if exchange.service else ''
        replica = self.picker.pick(
            group,
            exchange.prefix_key,
            attempts.tried,
        )
        if replica is None:
            code = ResultCode.NO_REPLICA
            if attempts.count:
                code = ResultCode.BACKEND_REFUSED
            self._refuse(attempts, code)
            return
        attempts.tried.add(replica.replica)
        exchange.target = replica.replica
        exchange.address = replica.address
        exchange.incarnation = replica.incarnation

    def _select_plain_target(
        self, exchange: Exchange, attempts: _Attempts
    ) -> None:
        addresses = exchange.service.addresses if exchange.service else ()
        now_s = self.clock.now_s()
        usable = [name for name in addresses if name not in attempts.tried]
        healthy = [
            name for name in usable if not self.scores.is_suspended(name, now_s)
        ]
        if not usable:
            self._refuse(attempts, ResultCode.BACKEND_UNREACHABLE)
            return
        by_id = {backend_id(name): name for name in healthy or usable}
        in_flight = {
            backend: self.picker.in_flight(name)
            for backend, name in by_id.items()
        }

        def least_busy(backends: set[int]) -> int:  # noqa: WPS430
            return min(
                (each for each in by_id if each in backends),
                key=in_flight.__getitem__,
            )

        chosen = by_id[self.limits.select(by_id, least_busy)]
        attempts.tried.add(chosen)
        exchange.target = chosen
        exchange.address = chosen

    def _check_retry(self, exchange: Exchange, attempts: _Attempts) -> None:
        """Refuse the request unless another attempt is allowed."""
        if attempts.may_have_run and not _is_repeatable(exchange):
            self._refuse(attempts, ResultCode.STREAM_BROKEN)
        if self.guard.is_quarantined(exchange):
            self._refuse(attempts, ResultCode.REQUEST_QUARANTINED)
        if attempts.count >= MAX_ATTEMPTS:
            self._refuse(attempts, ResultCode.BACKEND_REFUSED)
        if self.clock.now_s() >= exchange.deadline_at_s:
            self._refuse(attempts, ResultCode.DEADLINE_UNREACHABLE)
        if not self.budget.withdraw():
            self._refuse(attempts, ResultCode.RETRY_BUDGET_SPENT)

    def _refuse(self, attempts: _Attempts, code: ResultCode) -> None:
        """Raise the refusal; never "not run" if an attempt may have run."""
        if attempts.may_have_run:
            code = ResultCode.STREAM_BROKEN
        raise RequestRefusedError(
            code,
            attempts.error_text,
            retry_after_s(self.random),
        )

    def _backend_call(
        self, exchange: Exchange, attempts: _Attempts
    ) -> BackendCall:
        remaining_s = exchange.deadline_at_s - self.clock.now_s()
        first_byte_s = max(
            _MIN_FIRST_BYTE_S,
            min(self.first_byte_s, remaining_s),
        )
        headers = {
            'content-type': exchange.headers.get('content-type', CONTENT_JSON),
            HEADER_REQUEST: attempt_id(exchange),
        }
        if exchange.key:
            headers[HEADER_IDEMPOTENCY_KEY] = exchange.key
        if _is_model_request(exchange):
            headers[HEADER_INCARNATION] = str(exchange.incarnation)
        return BackendCall(
            method=exchange.method,
            address=exchange.address,
            path=exchange.backend_path,
            headers=headers,
            body=exchange.body,
            first_byte_s=first_byte_s,
            may_send=lambda: self._may_send(exchange, attempts),
        )

    def _may_send(self, exchange: Exchange, attempts: _Attempts) -> bool:
        if not attempts.may_have_run and self.stop_status.may_cut(
            exchange.deadline_at_s
        ):
            return False
        return self.limits.may_send(
            backend_id(exchange.target, exchange.incarnation),
            exchange.permit,
        )


def attempt_id(exchange: Exchange) -> str:
    """Return the id by which an engine knows this attempt."""
    return f'{exchange.request_id}.{exchange.attempt}'


def _is_model_request(exchange: Exchange) -> bool:
    return exchange.service is None or exchange.service.kind != KIND_PLAIN


def _is_expected(exchange: Exchange, stream: BackendStream) -> bool:
    incarnation = stream.headers.get(HEADER_INCARNATION)
    return stream.status == _OK and incarnation == str(exchange.incarnation)


def _is_repeatable(exchange: Exchange) -> bool:
    if exchange.at_most_once:
        return False
    return _is_model_request(exchange) or exchange.method in _REPEATABLE_METHODS
