"""Control of engines over HTTP."""

import attrs

from yuccavalve.adapters.http import CallFailedError, HttpCaller
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
    """Client of the engines' control paths."""

    caller: HttpCaller

    async def async_status(self, address: str) -> EngineStatus:
        """Return what an engine says of itself."""
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
            raise EngineUnreachableError(f'status {reply.status}')
        load = LoadReport(**reply.body.pop('load'))
        return EngineStatus(load=load, **reply.body)

    async def async_order(self, address: str, order: EngineOrder) -> None:
        """Give an order with its fencing number."""
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
            raise EngineRefusedError(f'fence {order.fence} is old')
        if reply.status != _OK:
            raise EngineUnreachableError(f'status {reply.status}')
