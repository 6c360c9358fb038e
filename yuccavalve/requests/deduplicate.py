"""Recognise duplicates of requests that run at most once."""

import hashlib

import attrs

from yuccavalve.exceptions import RequestRefusedError, StoreUnavailableError
from yuccavalve.clock import Clock
from yuccavalve.const import HEADER_DUPLICATE
from yuccavalve.membership import Roster
from yuccavalve.requests.ledger import Ledger, LedgerId
from yuccavalve.requests.models import Exchange, LedgerEntry, LedgerState
from yuccavalve.requests.respond import async_respond
from yuccavalve.results import Answered, ResultCode

__all__ = ('ClaimLedgerRow', 'Deduplicate')

_RETRY_RUNNING_S = 2.0
_RETRY_LEDGER_S = 5.0


def ledger_id(exchange: Exchange) -> LedgerId:
    """Return the ledger id of a request."""
    return LedgerId(exchange.workspace_name, exchange.key)


def ledger_refusal(error: StoreUnavailableError) -> RequestRefusedError:
    """Return the refusal for a request while the ledger is unavailable."""
    return RequestRefusedError(
        ResultCode.LEDGER_UNAVAILABLE,
        str(error),
        _RETRY_LEDGER_S,
    )


@attrs.frozen
class Deduplicate:
    """Answer a duplicate by the stored answer, or refuse it by the state."""

    ledger: Ledger
    roster: Roster
    clock: Clock

    async def async_apply(self, exchange: Exchange) -> None:
        """Answer a duplicate; do nothing for a new request."""
        if not exchange.at_most_once:
            return
        try:
            earlier = await self.ledger.async_find(ledger_id(exchange))
        except StoreUnavailableError as error:
            raise ledger_refusal(error) from error
        if earlier is not None:
            await self.async_answer_duplicate(exchange, earlier)

    async def async_answer_duplicate(
        self,
        exchange: Exchange,
        earlier: LedgerEntry,
    ) -> None:
        """Answer a duplicate unless the earlier attempt was not run."""
        if earlier.digest != _digest(exchange):
            raise RequestRefusedError(
                ResultCode.KEY_CONFLICT,
                'the key belongs to a request with another body',
            )
        if earlier.state is LedgerState.NOT_RUN:
            return
        if earlier.state is LedgerState.ANSWERED:
            await self._async_send_stored(exchange, earlier)
            return
        running = earlier.state is LedgerState.RUNNING
        if running and self.roster.is_live(earlier.member, self.clock.now_s()):
            raise RequestRefusedError(
                ResultCode.DUPLICATE_RUNNING,
                retry_after_s=_RETRY_RUNNING_S,
            )
        raise RequestRefusedError(ResultCode.EARLIER_ATTEMPT_UNKNOWN)

    async def _async_send_stored(
        self,
        exchange: Exchange,
        earlier: LedgerEntry,
    ) -> None:
        try:
            answer = await self.ledger.async_answer(ledger_id(exchange))
        except StoreUnavailableError as error:
            raise ledger_refusal(error) from error
        if answer is None:
            raise RequestRefusedError(ResultCode.EARLIER_ATTEMPT_UNKNOWN)
        exchange.outcome = Answered(ResultCode.ANSWERED_FROM_LEDGER)
        await async_respond(
            exchange,
            answer,
            earlier.content_type,
            {HEADER_DUPLICATE: 'true'},
            earlier.status,
        )


@attrs.frozen
class ClaimLedgerRow:
    """Insert the ledger row before a request goes to a backend server."""

    ledger: Ledger
    deduplicate: Deduplicate
    member: str

    async def async_apply(self, exchange: Exchange) -> None:
        """Claim the row; answer as a duplicate if another attempt has it."""
        if not exchange.at_most_once:
            return
        entry = LedgerEntry(
            digest=_digest(exchange),
            state=LedgerState.RUNNING,
            request_id=exchange.request_id,
            member=self.member,
        )
        try:
            if await self.ledger.async_claim(ledger_id(exchange), entry):
                exchange.ledger_entry = entry
                return
        except StoreUnavailableError as error:
            raise ledger_refusal(error) from error
        await self.deduplicate.async_apply(exchange)
        if exchange.outcome is None:
            raise RequestRefusedError(
                ResultCode.DUPLICATE_RUNNING,
                retry_after_s=_RETRY_RUNNING_S,
            )


def _digest(exchange: Exchange) -> str:
    service = exchange.service.name if exchange.service else ''
    head = f'{service}|{exchange.method}|{exchange.backend_path}|'
    return hashlib.sha256(head.encode() + exchange.body).hexdigest()
