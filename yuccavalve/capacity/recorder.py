"""Turn the course of one request at one server into observations."""

from collections.abc import Callable

import attrs

from yuccavalve.capacity.book import CapacityBook
from yuccavalve.capacity.const import MAX_SEND_S, SEGMENT_S
from yuccavalve.capacity.models import Observation
from yuccavalve.routing import EngineProfile

__all__ = ('RunRecorder',)


@attrs.define
class RunRecorder:
    """Records the times of one attempt.

    Attributes
    ----------
    service
        Key of the servers that are compared.
    kind
        Route of the request; times of different routes are not compared.
    load
        Returns the number of requests at the server, this one included.
    had_free_slot
        Whether the server had a free slot when the request was sent; its
        queue is not its speed.
    """

    book: CapacityBook
    server: int
    service: str
    kind: str
    slots: int
    profile: EngineProfile | None
    prompt_tokens: int
    load: Callable[[], int]
    sent_at_s: float
    had_free_slot: bool
    _sent_load: int = attrs.field(init=False)
    _began: bool = False
    _segment_at_s: float = 0
    _segment_load: int = 0
    _segment_events: int = 0

    @_sent_load.default
    def _load_when_sent(self) -> int:
        return self.load()

    def record_answer(self, now_s: float) -> None:
        """Record a whole successful answer that is not a stream."""
        self._observe('answer', now_s - self.sent_at_s, self._sent_load, now_s)

    def record_events(self, count: int, now_s: float) -> None:
        """Record events of a stream that arrived together."""
        if not self._began:
            self._began = True
            self._record_first(now_s)
            self._restart_segment(now_s)
            return
        self._segment_events += count
        duration_s = now_s - self._segment_at_s
        if duration_s < SEGMENT_S:
            return
        self._observe(
            'gap', duration_s / self._segment_events, self._segment_load, now_s
        )
        self._restart_segment(now_s)

    def record_relayed(self, taken_s: float, now_s: float) -> None:
        """Drop the segment if its events waited for a slow caller."""
        if taken_s > MAX_SEND_S:
            self._restart_segment(now_s)

    def _record_first(self, now_s: float) -> None:
        if self.prompt_tokens:
            self._observe(
                'first', now_s - self.sent_at_s, self._sent_load, now_s
            )

    def _restart_segment(self, now_s: float) -> None:
        self._segment_at_s = now_s
        self._segment_load = self.load()
        self._segment_events = 0

    def _observe(
        self, part: str, duration_s: float, first_load: int, now_s: float
    ) -> None:
        if part == 'first' and not self.had_free_slot:
            return
        concurrency = min(self.slots, (first_load + self.load()) / 2)
        if part == 'answer':
            # A queue in order of arrival makes an answer later in proportion
            # to the requests ahead.
            duration_s /= max(1, first_load / self.slots)
        self.book.observe(
            Observation(
                self.server,
                self.service,
                f'{self.kind}/{part}',
                duration_s,
                max(1, concurrency),
                self.slots,
                self._expected_s(part, concurrency),
            ),
            now_s,
        )

    def _expected_s(self, part: str, concurrency: float) -> float:
        """Return the time by the engine profile, up to a constant factor."""
        profile = self.profile
        if profile is None:
            return 1
        if part == 'first':
            read_s = self.prompt_tokens / max(1, profile.prefill_tokens_per_s)
            return profile.step_s + read_s
        return profile.step_s + profile.per_request_step_s * concurrency
