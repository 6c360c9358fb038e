"""JSON calls over HTTP, each sent at most once.

The client library resends a dropped request if its method is idempotent, so
every control call is a POST. It also reuses a connection whose exchange was
cancelled, and then takes the late answer for that of the next call, so every
call has a connection of its own. Each call sets all of the library's timeouts,
so that its defaults never apply.
"""

import asyncio
import json
from typing import Any, Final

import aiosonic
import attrs
from aiosonic.exceptions import AiosonicError, ConnectTimeout
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from yuccavalve.adapters.resolver import IpAddressResolver

__all__ = (
    'EXCHANGE_ERRORS',
    'CallFailedError',
    'HttpJsonClient',
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
            When no complete answer arrived within the timeout.
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
            # Closed from this side: a server that is asked to close may do
            # so before it has read the body, and the reset then destroys
            # its answer.
            connection.close()
        self.control_bytes += len(encoded) + len(text) + _HEADS_BYTES
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
    """Return a client that resolves no names and uses no proxy."""
    connector = aiosonic.TCPConnector(
        pool_configs={':default': pool},
        resolver=IpAddressResolver(),
    )
    return aiosonic.HTTPClient(connector=connector, trust_env=False)
