"""Refuse requests whose prompts hold a part that crashes engines."""

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fingerprints import request_fingerprint
from yuccavalve.hashing import hash32
from yuccavalve.prompts import parts_text
from yuccavalve.quarantine import (
    PromptCrash,
    PromptQuarantine,
    QuarantineHit,
)
from yuccavalve.quarantine.const import BEGIN_MAX_S
from yuccavalve.requests.models import Exchange
from yuccavalve.results import ResultCode

__all__ = ('CheckQuarantine', 'PromptGuard')


@attrs.frozen
class PromptGuard:
    """Consults and informs the quarantine about an exchange's prompt."""

    quarantine: PromptQuarantine
    clock: Clock

    def admit(self, exchange: Exchange) -> None:
        """Refuse a new request that holds a part in quarantine."""
        _refuse(self.quarantine.admit(exchange.prompt_parts, self._now_s()))

    def check_send(self, exchange: Exchange) -> None:
        """Refuse to send a request whose part is in quarantine by now."""
        _refuse(self.quarantine.find(exchange.prompt_parts, self._now_s()))

    def is_quarantined(self, exchange: Exchange) -> bool:
        """Return whether a part is in quarantine by now."""
        hit = self.quarantine.find(exchange.prompt_parts, self._now_s())
        return hit is not None

    def record_lost(self, exchange: Exchange) -> None:
        """Record that the answer was lost, if it had only just begun."""
        logging.info(
            'event=attempt_lost request=%s engine=%s parts=%s '
            'fingerprint=%016x',
            exchange.request_id,
            exchange.target,
            parts_text(exchange.prompt_parts),
            exchange.fingerprint,
        )
        now_s = self._now_s()
        began_at_s = exchange.first_byte_at_s
        if began_at_s and now_s - began_at_s > BEGIN_MAX_S:
            return
        self.quarantine.record_crash(
            PromptCrash(
                engine=hash32(f'{exchange.target}/{exchange.incarnation}'),
                request=hash32(exchange.request_id),
                parts=exchange.prompt_parts,
            ),
            now_s,
        )

    def record_answered(self, exchange: Exchange) -> None:
        """Record that the answer was complete."""
        self.quarantine.record_sound(exchange.prompt_parts, self._now_s())

    def _now_s(self) -> float:
        return self.clock.now_s()


@attrs.frozen
class CheckQuarantine:
    """Refuse a request at once if its prompt holds a part in quarantine."""

    guard: PromptGuard

    async def async_apply(self, exchange: Exchange) -> None:
        """Refuse the request if the quarantine says so."""
        exchange.fingerprint = request_fingerprint(
            exchange.workspace_name,
            exchange.method,
            f'{exchange.path}?{exchange.query}'.encode('latin-1'),
            exchange.body,
        )
        self.guard.admit(exchange)


def _refuse(hit: QuarantineHit | None) -> None:
    if hit is not None:
        raise RequestRefusedError(
            ResultCode.PROMPT_QUARANTINED, hit.text, hit.retry_after_s
        )
