"""Control of engines over HTTP."""

import attrs

from yuccavalve.adapters.http import CallFailedError, HttpJsonClient
from yuccavalve.const import ENGINE_ORDER_TIMEOUT_S, PROBE_TIMEOUT_S
from yuccavalve.exceptions import (
    EngineRefusedError,
    EngineUnreachableError,
)
from yuccavalve.ports import EngineOrder, EngineStatus, LoadReport

__all__ = ('HttpEngine',)

_OK = 200
_CONFLICT = 409


@attrs.frozen
class HttpEngine:
    """HTTP client of the engines' control paths."""

    caller: HttpJsonClient

    async def async_status(self, address: str) -> EngineStatus:
        """Return an engine's status."""
        try:
            reply = await self.caller.async_post(
                address,
                '/v1/status',
                {},
                PROBE_TIMEOUT_S,
            )
        except CallFailedError as error:
            raise EngineUnreachableError(str(error)) from error
        if reply.status != _OK:
            raise EngineUnreachableError(
                f'engine answered with status {reply.status}'
            )
        load = LoadReport(**reply.body.pop('load'))
        return EngineStatus(load=load, **reply.body)

    async def async_order(self, address: str, order: EngineOrder) -> None:
        """Send an order with its fencing token."""
        try:
            reply = await self.caller.async_post(
                address,
                '/v1/orders',
                attrs.asdict(order),
                ENGINE_ORDER_TIMEOUT_S,
            )
        except CallFailedError as error:
            raise EngineUnreachableError(str(error)) from error
        if reply.status == _CONFLICT:
            raise EngineRefusedError(
                f'fencing token {order.fence} is out of date'
            )
        if reply.status != _OK:
            raise EngineUnreachableError(
                f'engine answered with status {reply.status}'
            )
