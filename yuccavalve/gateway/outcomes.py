"""Record what attempts show about engines and requests."""

import math

import attrs
from absl import logging

from yuccavalve.capacity import RunRecorder
from yuccavalve.clock import Clock
from yuccavalve.exceptions import BackendNotReachedError, PermitExpiredError
from yuccavalve.fleet.activity import (
    Activity,
    EngineRun,
    engine_key_hash,
    process_key,
)
from yuccavalve.fleet.const import BROKEN_AVOID_S, LOST_AVOID_S
from yuccavalve.gateway.attempt import Attempt
from yuccavalve.gateway.models import RoutedRequest
from yuccavalve.gateway.selection import EngineSelector, slots, times_key
from yuccavalve.hashing import hash32
from yuccavalve.ports.backend import BackendAnswer
from yuccavalve.prompts import parts_text
from yuccavalve.quarantine import RequestCrash, RequestQuarantine
from yuccavalve.relay import EngineReach

__all__ = ('AttemptOutcomes',)

_EVENT_END = b'\n\n'
_MS = 1000


@attrs.frozen
class AttemptOutcomes:
    """Tells activity, reach, quarantine and log how attempts went."""

    selector: EngineSelector
    activity: Activity
    clock: Clock
    quarantine: RequestQuarantine
    reach: EngineReach

    def recorder(
        self, routed: RoutedRequest, attempt: Attempt
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

    def record_answered(self, routed: RoutedRequest, attempt: Attempt) -> None:
        """Record a whole answer and how long it occupied a slot."""
        self.quarantine.record_sound(routed.suspects, self.clock.now_s())
        if attempt.had_free_slot and routed.sent_count == 1:
            self.selector.times.record(
                times_key(attempt.service, routed),
                self.clock.now_s() - attempt.run.sent_at_s,
            )

    def record_whole_body(
        self, routed: RoutedRequest, attempt: Attempt
    ) -> None:
        """Record an answer that was received whole before it was relayed."""
        if attempt.recorder is not None:
            attempt.recorder.record_answer(self.clock.now_s())
        self.record_answered(routed, attempt)

    def record_events(
        self, recorder: RunRecorder, whole: bytes, read_at_s: float
    ) -> None:
        """Record the events of a part that was read and relayed."""
        recorder.record_events(max(1, whole.count(_EVENT_END)), read_at_s)
        now_s = self.clock.now_s()
        recorder.record_relayed(now_s - read_at_s, now_s)

    def record_not_sent(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
        error: BackendNotReachedError,
    ) -> None:
        """Record that no byte of a request was sent."""
        routed.connect_attempts += 1
        self.reach.record_not_reached(
            attempt.engine, error, attempt.run.sent_at_s, self.clock.now_s()
        )
        outcome = 'permit_expired'
        if not isinstance(error, PermitExpiredError):
            outcome = 'not_reached'
            self.activity.record_unreached(attempt.run.key, self.clock.now_s())
        elif self.is_evacuated(attempt):
            outcome = 'zone_evacuated'
        self.record_failure(routed, attempt, outcome, error)

    def record_lost(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
        error: Exception,
    ) -> None:
        """Record an engine that was lost before its answer was whole."""
        if attempt.service.engine is not None:
            self._avoid(attempt, LOST_AVOID_S)
        if attempt.answer is None or attempt.answer.is_authentic:
            self.reach.record_lost(attempt.engine, self.clock.now_s())
        self._record_crash(routed, attempt)
        self.record_failure(routed, attempt, 'lost', error)

    def _record_crash(self, routed: RoutedRequest, attempt: Attempt) -> None:
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

    def record_refusal(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
        answer: BackendAnswer,
    ) -> None:
        """Record that an engine refused a request that it has not run."""
        if answer.replica_unusable:
            self._avoid(attempt, BROKEN_AVOID_S)
        self.record_failure(routed, attempt, f'refused_{answer.status}', None)

    def record_failure(
        self,
        routed: RoutedRequest,
        attempt: Attempt,
        outcome: str,
        error: Exception | None,
    ) -> None:
        """Log an attempt that failed, and keep its cause for the caller."""
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

    def is_evacuated(self, attempt: Attempt) -> bool:
        """Return whether the zone of an attempt's engine is evacuated."""
        zone = attempt.engine.availability_zone
        return self.selector.evacuations.is_evacuated(zone)

    def _avoid(self, attempt: Attempt, duration_s: float) -> None:
        until_s = self.clock.now_s() + duration_s
        self.activity.avoid(attempt.run.key, until_s)


def _began_ms(run: EngineRun, now_s: float) -> int:
    """Return the time since the first event of a run; -1 without one."""
    since_s = now_s - run.first_progress_at_s
    return round(since_s * _MS) if math.isfinite(since_s) else -1
