"""Protocol for requests to other daemons, and for probes of engines."""

from typing import Protocol

import attrs

from yuccavalve.ports.backend import BodyFraming, HeaderFields
from yuccavalve.ports.sending import MaySend, always
from yuccavalve.results import ResultCode

__all__ = ('RelayAnswer', 'RelayPort', 'RelayRequest')


@attrs.frozen
class RelayRequest:
    """A caller's request as it is sent to another daemon.

    Attributes
    ----------
    headers
        The caller's header fields as received.
    deadline_s
        Time in seconds that is left for the answer.
    resume_after
        Id of the last event that the caller received of this answer; None
        leaves the caller's own field.
    may_send
        Returns, once the connection is made, whether it may still be sent.
    """

    address: str
    request_id: str
    method: str
    target: bytes
    headers: HeaderFields
    body: bytes
    deadline_s: float
    resume_after: str | None = None
    may_send: MaySend = always


class RelayAnswer(Protocol):
    """Another daemon's answer whose head was received.

    Attributes
    ----------
    code
        Result code if the daemon itself gave the answer, or None.
    is_authentic
        Whether it is the answer to this request.
    """

    status: int
    headers: HeaderFields
    framing: BodyFraming
    code: ResultCode | None
    is_authentic: bool

    async def async_read(self) -> bytes:
        """Return the next part of the body; empty once it has ended."""

    async def async_read_held(
        self, limit_bytes: int
    ) -> tuple[list[bytes], bool]:
        """Return what of the body may be held, and whether it is whole."""

    async def async_read_all(self, limit_bytes: int) -> bytes:
        """Return the rest of the body."""

    def close(self) -> None:
        """Close the connection; unread data is discarded."""


class RelayPort(Protocol):
    """Sends requests to other daemons, and probes engines."""

    async def async_open(self, request: RelayRequest) -> RelayAnswer:
        """Send a request and wait for the head of its answer.

        Raises
        ------
        BackendNotReachedError
            When no byte of the request was sent.
        BackendLostError
            When the daemon may have read the request.
        """

    async def async_probe(self, address: str, timeout_s: float) -> None:
        """Connect to an engine without sending a request.

        Raises
        ------
        BackendNotReachedError
            When no connection was made.
        BackendLostError
            When the connection was reset or closed at once.
        """
