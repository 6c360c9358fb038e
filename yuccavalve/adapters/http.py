"""JSON calls over HTTP, each sent at most once.

The library sends a dropped request of an idempotent method again by itself,
so every control call is a POST, and its default timeouts never apply. It also
uses a connection again whose exchange was cancelled, and then takes the late
answer for that of the next call, so every call has a connection of its own.
"""

import asyncio
import json
from typing import Any, Final

import aiosonic
import attrs
from aiosonic.exceptions import AiosonicError, ConnectTimeout
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from yuccavalve.adapters.resolver import NumberResolver

__all__ = (
    'EXCHANGE_ERRORS',
    'CallFailedError',
    'HttpCaller',
    'Reply',
    'new_client',
)

EXCHANGE_ERRORS: Final = (
    AiosonicError,
    OSError,
    ValueError,
    asyncio.IncompleteReadError,
)

_POOL_SIZE = 1024
# Both heads of a call.
_HEAD_BYTES = 334


class CallFailedError(Exception):
    """No whole answer came.

    Attributes
    ----------
    sent
        False when no byte of the request can have left.
    """

    def __init__(self, reason: str, *, sent: bool) -> None:
        """Keep the reason and whether the request may have left."""
        super().__init__(reason)
        self.sent = sent


@attrs.frozen
class Reply:
    """Status and JSON body of an answer."""

    status: int
    body: Any
    retry_after_s: float | None = None


class HttpCaller:
    """A client for JSON calls with a key and one total timeout.

    ``control_bytes`` counts bodies and heads of answered calls, both ways.
    """

    def __init__(self, timeout_s: float, key: str = '') -> None:
        """Keep the timeout and the bearer key."""
        self._timeout_s = timeout_s
        self._headers = {'content-type': 'application/json'}
        if key:
            self._headers['authorization'] = f'Bearer {key}'
        self.control_bytes = 0
        self._client: aiosonic.HTTPClient | None = None

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
            When no whole answer came within the timeout.
        """
        limit_s = timeout_s or self._timeout_s
        url = f'http://{address}{path}'
        encoded = json.dumps(body).encode()
        try:
            async with asyncio.timeout(limit_s):
                return await self._async_exchange(url, encoded, limit_s)
        except (ConnectionRefusedError, ConnectTimeout) as error:
            raise CallFailedError(repr(error), sent=False) from error
        except EXCHANGE_ERRORS as error:
            raise CallFailedError(repr(error), sent=True) from error

    async def async_close(self) -> None:
        """Close the connections."""
        if self._client is not None:
            await self._client.connector.cleanup()

    async def _async_exchange(
        self,
        url: str,
        encoded: bytes,
        limit_s: float,
    ) -> Reply:
        response = await self._ensure_client().request(
            url,
            'POST',
            headers=dict(self._headers),
            data=encoded,
            timeouts=Timeouts(limit_s, limit_s, limit_s, limit_s),
        )
        connection = response._connection  # noqa: SLF001, WPS437
        try:
            text = await response.content()
        finally:
            # A server that is asked to close may do so before it has read
            # the body, and the reset then destroys its answer.
            connection.close()
        self.control_bytes += len(encoded) + len(text) + _HEAD_BYTES
        retry_after = response.headers.get('retry-after')
        return Reply(
            response.status_code,
            json.loads(text),
            float(retry_after) if retry_after else None,
        )

    def _ensure_client(self) -> aiosonic.HTTPClient:
        if self._client is None:
            pool = PoolConfig(size=_POOL_SIZE, max_conn_requests=0)
            self._client = new_client(pool)
        return self._client


def new_client(pool: PoolConfig) -> aiosonic.HTTPClient:
    """Return a client that looks nothing up and uses no proxy."""
    connector = aiosonic.TCPConnector(
        pool_configs={':default': pool},
        resolver=NumberResolver(),
    )
    return aiosonic.HTTPClient(connector=connector, trust_env=False)
