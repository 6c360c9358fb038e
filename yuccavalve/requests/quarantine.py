"""Refuse requests that crash engines, whole or by a part of their prompts."""

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.fingerprints import request_fingerprint
from yuccavalve.hashing import hash32
from yuccavalve.prompts import parts_text
from yuccavalve.quarantine import (
    QuarantineHit,
    RequestCrash,
    RequestQuarantine,
)
from yuccavalve.quarantine.const import BEGIN_MAX_S
from yuccavalve.requests.models import Exchange
from yuccavalve.results import ResultCode

__all__ = ('CheckQuarantine', 'QuarantineGuard')


# Servers without an incarnation take at least this long to start again.
_MIN_RESTART_S = 1.0


@attrs.define
class _Starts:
    """Number of starts of one server, as far as this daemon lost any."""

    number: int = 0
    lost_at_s: float = 0

    def record_lost(self, now_s: float) -> None:
        """Count another start unless the server was lost just before."""
        if now_s - self.lost_at_s >= _MIN_RESTART_S:
            self.number += 1
        self.lost_at_s = now_s


@attrs.frozen
class QuarantineGuard:
    """Consults and informs the quarantine about an exchange."""

    quarantine: RequestQuarantine
    clock: Clock
    member: str
    _starts: dict[str, _Starts] = attrs.field(factory=dict)

    def admit(self, exchange: Exchange) -> None:
        """Refuse a new request that holds a suspect in quarantine."""
        _refuse(self.quarantine.admit(exchange.suspects, self._now_s()))

    def check_send(self, exchange: Exchange) -> None:
        """Refuse to send a request that is in quarantine by now."""
        _refuse(self.quarantine.find(exchange.suspects, self._now_s()))

    def is_quarantined(self, exchange: Exchange) -> bool:
        """Return whether a suspect is in quarantine by now."""
        hit = self.quarantine.find(exchange.suspects, self._now_s())
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
            RequestCrash(
                engine=hash32(self._start(exchange, now_s)),
                parts=exchange.prompt_parts,
                fingerprint=exchange.fingerprint,
                ran_s=now_s - exchange.sent_at_s,
            ),
            now_s,
        )

    def record_answered(self, exchange: Exchange) -> None:
        """Record that the answer was complete."""
        self.quarantine.record_sound(exchange.suspects, self._now_s())

    def _start(self, exchange: Exchange, now_s: float) -> str:
        """Return the id of the start of the server that was lost."""
        if exchange.incarnation:
            return f'{exchange.target}/{exchange.incarnation}'
        starts = self._starts.setdefault(exchange.target, _Starts())
        starts.record_lost(now_s)
        return f'{exchange.target}/{self.member}/{starts.number}'

    def _now_s(self) -> float:
        return self.clock.now_s()


@attrs.frozen
class CheckQuarantine:
    """Refuse a request at once if it holds a suspect in quarantine."""

    guard: QuarantineGuard

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
            ResultCode.REQUEST_QUARANTINED, hit.text, hit.retry_after_s
        )
