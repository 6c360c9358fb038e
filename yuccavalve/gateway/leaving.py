"""Refuse requests that a stopping daemon may not be able to answer."""

from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.gateway.const import RETRY_AFTER_LEAVING_S
from yuccavalve.gateway.models import RoutedRequest
from yuccavalve.results import ResultCode

__all__ = ('check_leaving', 'leaving_error')


def check_leaving(routed: RoutedRequest) -> None:
    """Raise ``RequestRefusedError`` if another daemon has to serve it."""
    if routed.must_leave:
        raise leaving_error('its deadline is after the stop')


def leaving_error(reason: str) -> RequestRefusedError:
    """Return the error of a request that a stopping daemon refuses."""
    return RequestRefusedError(
        ResultCode.MEMBER_LEAVING, reason, RETRY_AFTER_LEAVING_S
    )
