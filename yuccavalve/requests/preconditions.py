"""Check the caller's key, the daemon's state and the service."""

from typing import Protocol

import attrs

from yuccavalve.access import bearer_key, find_workspace
from yuccavalve.clock import Clock
from yuccavalve.configuration import AdoptionState
from yuccavalve.configuration.const import KIND_MODEL, KIND_PLAIN
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.requests.const import SERVICES_PREFIX
from yuccavalve.requests.models import Exchange
from yuccavalve.requests.parse import requested_model
from yuccavalve.results import ResultCode

__all__ = (
    'Authenticate',
    'CheckAvailability',
    'CheckStop',
    'ResolveService',
    'StopStatus',
    'leaving_error',
)

_RETRY_UNCONFIRMED_S = 2.0
_RETRY_LEAVING_S = 1.0


class StopStatus(Protocol):
    """Status of a planned stop of the daemon."""

    def refuses_new_requests(self) -> bool:
        """Return whether new requests are refused.

        This begins once the entry addresses given to callers have expired.
        """

    def may_cut(self, deadline_at_s: float) -> bool:
        """Return whether a stop may cancel a request before its deadline."""


def leaving_error() -> RequestRefusedError:
    """Return the refusal of a request that another daemon has to serve."""
    return RequestRefusedError(
        ResultCode.MEMBER_LEAVING,
        retry_after_s=_RETRY_LEAVING_S,
    )


@attrs.frozen
class Authenticate:
    """Authenticate a caller by the key of its workspace."""

    adoption: AdoptionState

    async def async_apply(self, exchange: Exchange) -> None:
        """Set the workspace; refuse an unknown key."""
        key = bearer_key(exchange.headers.get('authorization', ''))
        workspaces = self.adoption.configuration.document.workspaces
        exchange.workspace = find_workspace(key, workspaces)
        if exchange.workspace is None:
            raise RequestRefusedError(
                ResultCode.UNAUTHENTICATED,
                'authorization: expected the bearer key of a workspace',
            )


@attrs.frozen
class CheckAvailability:
    """Refuse new work while stopping or without a confirmed configuration."""

    adoption: AdoptionState
    clock: Clock
    stop_status: StopStatus

    async def async_apply(self, exchange: Exchange) -> None:
        """Refuse the request if the daemon may not take new work."""
        if self.stop_status.refuses_new_requests():
            raise leaving_error()
        if not self.adoption.is_fresh(self.clock.now_s()):
            raise RequestRefusedError(
                ResultCode.CONFIGURATION_UNCONFIRMED,
                retry_after_s=_RETRY_UNCONFIRMED_S,
            )


@attrs.frozen
class CheckStop:
    """Refuse a request that a stop may cancel before its deadline."""

    stop_status: StopStatus

    async def async_apply(self, exchange: Exchange) -> None:
        """Refuse the request if another daemon has to serve it."""
        if self.stop_status.may_cut(exchange.deadline_at_s):
            raise leaving_error()


@attrs.frozen
class ResolveService:
    """Find the service that the caller names."""

    adoption: AdoptionState

    async def async_apply(self, exchange: Exchange) -> None:
        """Set the service and the path at its backend servers."""
        kind = KIND_MODEL
        if exchange.path.startswith(SERVICES_PREFIX):
            kind = KIND_PLAIN
            rest = exchange.path.removeprefix(SERVICES_PREFIX)
            name, _, path = rest.partition('/')
            exchange.backend_path = f'/{path}'
            if exchange.query:
                exchange.backend_path = f'/{path}?{exchange.query}'
        else:
            name = requested_model(exchange)
            exchange.backend_path = exchange.path
        service = self.adoption.configuration.document.service(name)
        if service is None or service.kind != kind:
            raise RequestRefusedError(
                ResultCode.SERVICE_UNKNOWN,
                f'no {kind} service {name!r}',
            )
        exchange.service = service
