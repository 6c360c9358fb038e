"""Accept the requests of partitioned daemons at the relay address."""

from random import Random
from typing import Any

import attrs

from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.gateway.models import (
    RELAY_SCOPE_KEY,
    Receive,
    RelayEntryMark,
    Send,
)
from yuccavalve.gateway.selection import jittered_retry_s
from yuccavalve.gateway.server import Gateway
from yuccavalve.relay.bounds import RelayBounds
from yuccavalve.relay.const import RETRY_AFTER_FULL_S, UNSIZED_BODY_BYTES
from yuccavalve.results import ResultCode

__all__ = ('RelayEntry',)


@attrs.define
class RelayEntry:
    """ASGI application that marks requests so that they aren't relayed again.

    The mark is kept beside the request, where no caller can set it.
    """

    gateway: Gateway
    random: Random
    bounds: RelayBounds = attrs.field(factory=RelayBounds)
    received_total: int = 0

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one relayed request, or refuse it beyond the bounds."""
        self.received_total += 1
        size_bytes = _body_bytes(scope)
        if not self.bounds.enter(size_bytes):
            mark = RelayEntryMark(
                RequestRefusedError(
                    ResultCode.RELAY_FULL,
                    f'{self.bounds.count} relayed requests in progress',
                    jittered_retry_s(self.random, RETRY_AFTER_FULL_S),
                )
            )
            await self.gateway({**scope, RELAY_SCOPE_KEY: mark}, receive, send)
            return
        try:
            await self.gateway(
                {**scope, RELAY_SCOPE_KEY: RelayEntryMark()}, receive, send
            )
        finally:
            self.bounds.leave(size_bytes)


def _body_bytes(scope: dict[str, Any]) -> int:
    """Return the size of a request's body by its head."""
    fields = dict(scope['headers'])
    if b'transfer-encoding' in fields:
        return UNSIZED_BODY_BYTES
    length = fields.get(b'content-length', b'0')
    return int(length) if length.isdigit() else UNSIZED_BODY_BYTES
