"""The platform's host list and object store over HTTP."""

import base64
from typing import Any

import attrs

from yuccavalve.adapters.http import CallFailedError, HttpJsonClient
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.ports import HostListing, HostState

__all__ = ('HttpHostList', 'HttpObjectStore')

_OK = 200
_MISSING = 404


async def _async_call(
    caller: HttpJsonClient,
    address: str,
    path: str,
    body: Any,
) -> Any:
    try:
        reply = await caller.async_post(address, path, body)
    except CallFailedError as error:
        raise StoreUnavailableError(
            str(error),
            may_have_applied=error.sent,
        ) from error
    if reply.status == _MISSING:
        return None
    if reply.status != _OK:
        raise StoreUnavailableError(f'{path} answered {reply.status}')
    return reply.body


@attrs.frozen
class HttpHostList:
    """Client of the platform's host list."""

    caller: HttpJsonClient
    address: str

    async def async_list(self) -> list[HostListing]:
        """Return the platform's list of hosts."""
        body = await _async_call(self.caller, self.address, '/hosts/list', {})
        return [
            HostListing(**{**entry, 'state': HostState(entry['state'])})
            for entry in body['hosts']
        ]


@attrs.frozen
class HttpObjectStore:
    """Client of the platform's object store."""

    caller: HttpJsonClient
    address: str

    async def async_put(self, name: str, body: bytes) -> None:
        """Store a body under a name."""
        encoded = base64.b64encode(body).decode()
        await _async_call(
            self.caller,
            self.address,
            '/objects/put',
            {'name': name, 'body': encoded},
        )

    async def async_get(self, name: str) -> bytes | None:
        """Return the body under a name, or None when there is none."""
        reply = await _async_call(
            self.caller,
            self.address,
            '/objects/get',
            {'name': name},
        )
        return None if reply is None else base64.b64decode(reply['body'])
