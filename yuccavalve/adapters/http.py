"""JSON calls over HTTP, each sent at most once on a connection of its own."""

import asyncio
import json
from typing import Any, Final

import attrs

from yuccavalve.adapters.exchange import HttpAnswer, HttpCall, async_exchange
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError

__all__ = ('CallFailedError', 'HttpJsonClient', 'Reply')

_EXCHANGE_ERRORS: Final = (
    BackendLostError,
    TimeoutError,
    ValueError,
    RecursionError,
)
_MAX_REPLY_BYTES: Final = 33554432
# Request and response head of a call together.
_HEADS_BYTES = 334


class CallFailedError(Exception):
    """A call got no complete answer.

    Attributes
    ----------
    sent
        False if no byte of the request can have been sent.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Store the reason and whether the request may have been sent."""
        super().__init__(reason)
        self.sent = sent


@attrs.frozen
class Reply:
    """Status and JSON body of an answer."""

    status: int
    body: Any
    retry_after_s: float | None = None


class HttpJsonClient:
    """A client for JSON calls with a key and one total timeout.

    ``control_bytes`` sums up heads and bodies of answered calls, sent and
    received.
    """

    def __init__(self, timeout_s: float, key: str = '') -> None:
        """Store the timeout and the bearer key."""
        self._timeout_s = timeout_s
        self._headers = [(b'content-type', b'application/json')]
        if key:
            self._headers.append((b'authorization', f'Bearer {key}'.encode()))
        self.control_bytes = 0

    async def async_post(
        self,
        address: str,
        path: str,
        body: Any = None,
        timeout_s: float | None = None,
    ) -> Reply:
        """Send one POST and return its answer.

        Raises
        ------
        CallFailedError
            When no complete answer arrived within the timeout.
        """
        limit_s = timeout_s or self._timeout_s
        encoded = json.dumps(body).encode()
        call = HttpCall(
            address,
            'POST',
            path.encode(),
            [(b'host', address.encode()), *self._headers],
            encoded,
            limit_s,
        )
        try:
            async with asyncio.timeout(limit_s):
                return await self._async_exchange(call)
        except BackendNotReachedError as error:
            raise CallFailedError(str(error), sent=False) from error
        except _EXCHANGE_ERRORS as error:
            raise CallFailedError(repr(error), sent=True) from error

    async def _async_exchange(self, call: HttpCall) -> Reply:
        answer: HttpAnswer = await async_exchange(call)
        try:
            text = await answer.async_read_all(_MAX_REPLY_BYTES)
        finally:
            answer.close()
        self.control_bytes += len(call.body) + len(text) + _HEADS_BYTES
        retry_after = dict(answer.headers).get(b'retry-after')
        return Reply(
            answer.status,
            json.loads(text),
            float(retry_after) if retry_after else None,
        )
