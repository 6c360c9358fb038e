"""Record how a request ended and release what it holds."""

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.load import ReplicaScores
from yuccavalve.observability.burn import objective_of
from yuccavalve.observability.metrics import Metrics, RequestMeasurement
from yuccavalve.observability.samples import BurnSamples
from yuccavalve.requests.admit import Admission, admission_group
from yuccavalve.requests.deduplicate import ledger_id
from yuccavalve.requests.dispatch import Canceller
from yuccavalve.requests.ledger import Ledger
from yuccavalve.requests.models import Exchange, LedgerState
from yuccavalve.requests.picker import ReplicaPicker
from yuccavalve.results import Answered, MayHaveRun, NotRun

__all__ = ('Recorder',)

_MS = 1000


@attrs.frozen
class Recorder:
    """Records the end of every request, whatever its outcome."""

    ledger: Ledger
    admission: Admission
    picker: ReplicaPicker
    scores: ReplicaScores
    metrics: Metrics
    samples: BurnSamples
    canceller: Canceller
    clock: Clock
    member: str

    async def async_record(self, exchange: Exchange) -> None:
        """Release replica and admission, log, then set the ledger row."""
        now_s = self.clock.now_s()
        if exchange.answer_began:
            self.picker.end(exchange.target)
            self._record_speed(exchange, now_s)
            if not isinstance(exchange.outcome, Answered):
                self.canceller.cancel(exchange)
        if exchange.ticket is not None:
            self.admission.release(
                admission_group(exchange),
                exchange.ticket,
                _used_tokens(exchange),
                now_s - exchange.admitted_at_s,
            )
        measured = _measurement(exchange, now_s)
        self.metrics.observe(measured)
        if exchange.service is not None:
            objective = objective_of(exchange.service, exchange.request_class)
            self.samples.record(objective, measured, now_s)
        _log(exchange, self.member)
        if exchange.ledger_entry is not None:
            await self._async_set_ledger(exchange)

    def _record_speed(self, exchange: Exchange, now_s: float) -> None:
        if not isinstance(exchange.outcome, Answered) or exchange.events < 2:
            return
        streamed_s = now_s - exchange.first_byte_at_s
        self.scores.record_speed(exchange.target, streamed_s / exchange.events)

    async def _async_set_ledger(self, exchange: Exchange) -> None:
        entry = exchange.ledger_entry
        if entry is None:
            return
        answer = None
        state = LedgerState.UNKNOWN
        if isinstance(exchange.outcome, Answered):
            state = LedgerState.ANSWERED
            answer = b''.join(exchange.answer_parts or ())
        elif isinstance(exchange.outcome, NotRun):
            state = LedgerState.NOT_RUN
        finished = attrs.evolve(
            entry,
            state=state,
            content_type=exchange.content_type,
            status=exchange.backend_status,
        )
        await self.ledger.async_finish(ledger_id(exchange), finished, answer)


def _measurement(exchange: Exchange, now_s: float) -> RequestMeasurement:
    first_byte_ms = None
    between_ms = None
    if exchange.first_byte_at_s:
        waited_s = exchange.first_byte_at_s - exchange.arrived_at_s
        first_byte_ms = waited_s * _MS
        if exchange.events > 1:
            streamed_s = now_s - exchange.first_byte_at_s
            between_ms = streamed_s * _MS / exchange.events
    return RequestMeasurement(
        service=exchange.service.name if exchange.service else '',
        request_class=exchange.request_class,
        code=int(exchange.outcome.code) if exchange.outcome else 0,
        first_byte_ms=first_byte_ms,
        between_events_ms=between_ms,
    )


def _used_tokens(exchange: Exchange) -> int:
    if exchange.streaming and exchange.events:
        return exchange.events
    if isinstance(exchange.outcome, (NotRun, MayHaveRun)):
        return 0
    return exchange.cost_tokens


def _log(exchange: Exchange, member: str) -> None:
    code = exchange.outcome.code if exchange.outcome else 0
    logging.info(
        'request=%s daemon=%s workspace=%s target=%s attempt=%d code=%d',
        exchange.request_id,
        member,
        exchange.workspace_name,
        exchange.target,
        exchange.attempt,
        code,
    )
