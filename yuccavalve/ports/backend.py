"""Protocols for requests to backend servers and their answers."""

from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

import attrs

from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.ports.sending import MaySend, always

__all__ = (
    'BackendAnswer',
    'BackendPort',
    'BackendRequest',
    'BodyFraming',
    'HeaderFields',
)

HeaderFields = Sequence[tuple[bytes, bytes]]


class BodyFraming(StrEnum):
    """How the end of an answer's body is marked (RFC 9112, section 6)."""

    UNKNOWN = ''
    NO_BODY = 'no_body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'connection'


@attrs.frozen
class BackendRequest:
    """A caller's request as it is sent to one backend server.

    Attributes
    ----------
    target
        Path and query as the caller sent them.
    headers
        The caller's end-to-end headers, without those that the gateway
        sets or withholds.
    deadline_s
        Time in seconds that is left for the answer.
    priority
        From 0 (highest) to 9; None leaves the priority to the engine.
    resume_after
        Id of the last event that the caller received; None starts from
        the first event.
    may_send
        Returns, once the connection is made, whether it may still be sent.
    created_at_s
        Monotonic time before it was sent.
    """

    request_id: str
    method: str
    target: bytes
    headers: HeaderFields
    body: bytes
    engine: EngineRecord
    workspace: str
    deadline_s: float
    priority: int | None = None
    resume_after: str | None = None
    may_send: MaySend = always
    created_at_s: float = 0


class BackendAnswer(Protocol):
    """An answer whose head was received.

    Attributes
    ----------
    not_run
        Whether the backend server states that it has not run the request.
    is_authentic
        Whether an engine gave the answer, and to this request.
    replica_unusable
        Whether the engine refused because its replica is incomplete, or
        another engine answers at its address.
    """

    status: int
    headers: HeaderFields
    framing: BodyFraming
    not_run: bool
    is_authentic: bool
    replica_unusable: bool

    async def async_read(self) -> bytes:
        """Return the next part of the body; empty once it has ended.

        Raises
        ------
        BackendLostError
            When the connection ends before the body does.
        """

    async def async_read_held(
        self, limit_bytes: int
    ) -> tuple[list[bytes], bool]:
        """Return what of the body may be held, and whether it is whole."""

    async def async_read_all(self, limit_bytes: int) -> bytes:
        """Return the rest of the body."""

    def close(self) -> None:
        """Close the connection; unread data is discarded."""


class BackendPort(Protocol):
    """Sends requests to backend servers."""

    async def async_open(self, request: BackendRequest) -> BackendAnswer:
        """Send a request and wait for the head of its answer.

        Raises
        ------
        BackendNotReachedError
            When no byte of the request was sent.
        BackendLostError
            When the backend server may have run the request.
        """
