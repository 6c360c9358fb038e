"""Data classes of routed requests."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Protocol

import attrs

from yuccavalve.ports.backend import HeaderFields
from yuccavalve.routing import Route

__all__ = (
    'InboundDecoder',
    'InboundRequest',
    'Receive',
    'RoutedRequest',
    'Send',
)

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]


@attrs.frozen
class InboundRequest:
    """A caller's request as decoded from its connection.

    Attributes
    ----------
    target
        Path and query as they came.
    headers
        End-to-end fields to pass on.
    workspace_key
        Key of the caller's workspace; empty without one.
    deadline_s
        Time that the caller waits; None when it does not say.
    model
        Model that the caller asks for; empty for plain services.
    prompt_tokens, output_tokens
        Size of the prompt and bound on the answer.
    resume_after
        Id of the last event of an earlier answer; None begins anew.
    echo
        Fields that every answer of the gateway repeats.
    """

    request_id: str
    host: str
    method: str
    path: str
    target: bytes
    headers: HeaderFields
    workspace_key: str = ''
    deadline_s: float | None = None
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    resume_after: str | None = None
    echo: HeaderFields = ()


class InboundDecoder(Protocol):
    """Turns a connection's request into the gateway's terms."""

    def decode(self, scope: MutableMapping[str, Any]) -> InboundRequest:
        """Return the request or raise ``RequestRefusedError``."""


@attrs.define(eq=False)
class RoutedRequest:
    """One request on its way.

    Attributes
    ----------
    deadline_at_s
        Reading of the clock at which the caller stops waiting, or at which
        the route's timeout ends.
    tried
        Engines that were sent the request or could not be reached.
    sent_count
        Engines that may have read the request.
    may_have_run
        Whether an engine may have begun it.
    last_event
        Id of the last event that was passed on.
    longest_gap_s
        Longest pause between events.
    """

    inbound: InboundRequest
    receive: Receive
    send: Send
    arrived_at_s: float
    route: Route | None = None
    workspace: str = ''
    priority: int | None = None
    service: str = ''
    body: bytes = b''
    deadline_at_s: float = 0
    tried: list[str] = attrs.field(factory=list)
    connect_attempts: int = 0
    sent_count: int = 0
    may_have_run: bool = False
    last_event: str | None = None
    events: int = 0
    response_began: bool = False
    response_ended: bool = False
    first_event_at_s: float = 0
    last_event_at_s: float = 0
    longest_gap_s: float = 0
    engine: str = ''
    cause: str = ''
    close_connection: bool = False

    def note_event(self, now_s: float) -> None:
        """Note that an event is passed on."""
        if not self.first_event_at_s:
            self.first_event_at_s = now_s
        elif now_s - self.last_event_at_s > self.longest_gap_s:
            self.longest_gap_s = now_s - self.last_event_at_s
        self.last_event_at_s = now_s
