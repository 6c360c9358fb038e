"""Data classes of the request filters."""

import asyncio
import enum
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Protocol

import attrs

from yuccavalve.adapters.backend import BackendStream
from yuccavalve.configuration.models import Service, Workspace
from yuccavalve.load.fairness import Ticket
from yuccavalve.prompts import PromptParts
from yuccavalve.ratelimit import Permit
from yuccavalve.results import Outcome

__all__ = ('Exchange', 'Filter', 'LedgerEntry', 'LedgerState')

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


class LedgerState(enum.StrEnum):
    """State of a ledger row."""

    RUNNING = 'running'
    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@attrs.frozen
class LedgerEntry:
    """Ledger row of a request that runs at most once.

    Attributes
    ----------
    digest
        Hexadecimal SHA-256 of service, method, path with query, and body.
    request_id
        Id of the attempt that holds the row.
    member
        Id of the daemon that serves this attempt.
    """

    digest: str
    state: LedgerState
    request_id: str
    member: str
    content_type: str = ''
    status: int = 200


@attrs.define(eq=False)
class Exchange:
    """A request and its answer, filled in by the filters in turn."""

    request_id: str
    method: str
    path: str
    query: str
    headers: dict[str, str]
    receive: Receive
    send: Send
    arrived_at_s: float
    body: bytes = b''
    workspace: Workspace | None = None
    service: Service | None = None
    backend_path: str = ''
    request_class: str = ''
    key: str = ''
    at_most_once: bool = False
    streaming: bool = False
    deadline_at_s: float = 0
    admitted_at_s: float = 0
    cost_tokens: int = 0
    prefix_key: str = ''
    prompt_parts: PromptParts = ()
    fingerprint: int = 0
    ticket: Ticket | None = None
    ledger_entry: LedgerEntry | None = None
    target: str = ''
    address: str = ''
    incarnation: int = 0
    attempt: int = 0
    sent_at_s: float = 0
    permit: Permit | None = None
    stream: BackendStream | None = None
    backend_status: int = 200
    content_type: str = ''
    answer_began: bool = False
    response_started: bool = False
    events: int = 0
    first_byte_at_s: float = 0
    answer_parts: list[bytes] | None = None
    outcome: Outcome | None = None
    body_read: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def suspects(self) -> tuple[int, ...]:
        """Return what of the request may crash backend servers."""
        return (*self.prompt_parts, self.fingerprint)

    @property
    def workspace_name(self) -> str:
        """Return the workspace's name, empty before authentication."""
        return '' if self.workspace is None else self.workspace.name


class Filter(Protocol):
    """One step in serving a request."""

    async def async_apply(self, exchange: Exchange) -> None:
        """Apply the step; raise ``RequestRefusedError`` to refuse."""
