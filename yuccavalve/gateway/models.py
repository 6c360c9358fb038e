"""Data classes of routed requests."""

import enum
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final, Protocol, Self

import attrs

from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.gateway.attempt import Attempt
from yuccavalve.gateway.const import NOT_RUN_STATUSES
from yuccavalve.gateway.stopping import GatewayStop
from yuccavalve.ports.backend import BodyFraming, HeaderFields
from yuccavalve.prompts import PromptParts
from yuccavalve.results import ResultCode
from yuccavalve.routing import Route

__all__ = (
    'AnswerKind',
    'Delivery',
    'InboundDecoder',
    'InboundRequest',
    'RELAY_SCOPE_KEY',
    'Receive',
    'RelayEntryMark',
    'RequestRelay',
    'RoutedRequest',
    'Send',
)

Receive = Callable[[], Awaitable[MutableMapping[str, Any]]]
Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

# Key of the ASGI scope of a request that came to the relay address.
RELAY_SCOPE_KEY: Final = 'yuccavalve.relay'


class Delivery(enum.StrEnum):
    """How much of an answer the caller of an ended request gets.

    A connection is closed inside an answer that is broken off.
    """

    WHOLE = 'whole'
    REFUSAL = 'refusal'
    BROKEN_OFF = 'broken_off'
    NONE = 'none'


@attrs.frozen
class RelayEntryMark:
    """Mark of a request that another daemon relayed.

    Attributes
    ----------
    refusal
        Why it is not served, or None.
    """

    refusal: RequestRefusedError | None = None


@attrs.frozen
class InboundRequest:
    """A caller's request as decoded from its ASGI scope.

    Attributes
    ----------
    target
        Path and query string as the caller sent them.
    headers
        End-to-end header fields to forward.
    workspace_key
        Key of the caller's workspace; empty if none was sent.
    deadline_s
        How long the caller waits for the answer; None if it set no limit.
    model
        Model that the caller asks for; empty for plain services.
    prompt_tokens, output_tokens
        Size of the prompt and upper bound of the answer.
    prompt_parts
        Ids of the parts of the prompt that other requests may share.
    resume_after
        Id of the last event that the caller received of an earlier answer;
        None starts from the beginning.
    echo
        Header fields that are repeated in refusals sent by the gateway.
    received_headers
        All header fields as received, for another daemon.
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
    prompt_parts: PromptParts = ()
    resume_after: str | None = None
    echo: HeaderFields = ()
    received_headers: HeaderFields = ()


class InboundDecoder(Protocol):
    """Decodes the ASGI scope of a request."""

    def decode(self, scope: MutableMapping[str, Any]) -> InboundRequest:
        """Return the request or raise ``RequestRefusedError``."""


@attrs.frozen
class AnswerKind:
    """What the answers to all attempts at one stream have in common."""

    status: int
    media_type: bytes

    @classmethod
    def from_head(cls, status: int, headers: HeaderFields) -> Self:
        """Return the kind of an answer with a given head."""
        content_type = dict(headers).get(b'content-type', b'')
        media_type = content_type.partition(b';')[0].strip().lower()
        return cls(status, media_type)


def _has_no_next() -> bool:
    """Return False, for a request that no server has read."""
    return False


def _do_nothing() -> None:
    """Do nothing; no attempt has stalled."""


@attrs.define(eq=False)
class RoutedRequest:
    """State of one request from its arrival to its final answer.

    Attributes
    ----------
    deadline_at_s
        Monotonic time at which the caller stops waiting or the route's
        timeout ends, whichever is earlier.
    tried
        Engines that were selected, including those that were not reached.
    sent_count
        Number of engines that may have received the request.
    may_have_run
        Whether an engine may have begun to run the request.
    last_event
        Id of the last event that was relayed to the caller.
    response_head
        Status and media type of the stream that the caller was sent; None
        before, and for other answers, which can't be continued.
    longest_gap_s
        Longest time between two relayed events.
    framing
        How the end of the last engine's answer is marked.
    fingerprint
        Id that only repeats of the request by its caller share.
    partial_event_bytes
        Size of an event that was incomplete when the last engine's answer
        ended.
    relayed
        Whether another daemon relayed the request, which ends here.
    has_unused_retry
        Whether a retry was taken from the budget but nothing was sent since.
    passed_result
        Result code of an answer of another daemon that was passed on.
    stalled
        Attempts at silent engines, of which one is continued if no other
        engine takes the request over.
    drop_stalled
        Gives the attempts at silent engines up.
    stop
        Planned stop of this daemon.
    has_next
        Returns whether another request was read on the connection.
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
    fingerprint: int = 0
    deadline_at_s: float = 0
    tried: list[str] = attrs.field(factory=list)
    connect_attempts: int = 0
    sent_count: int = 0
    may_have_run: bool = False
    last_event: str | None = None
    events: int = 0
    response_began: bool = False
    response_head: AnswerKind | None = None
    response_ended: bool = False
    first_event_at_s: float = 0
    last_event_at_s: float = 0
    longest_gap_s: float = 0
    engine: str = ''
    framing: BodyFraming = BodyFraming.UNKNOWN
    partial_event_bytes: int = 0
    cause: str = ''
    relayed: bool = False
    has_unused_retry: bool = False
    passed_result: ResultCode = ResultCode.ANSWERED
    stalled: list[Attempt] = attrs.field(factory=list)
    drop_stalled: Callable[[], None] = _do_nothing
    stop: GatewayStop = attrs.field(factory=GatewayStop)
    has_next: Callable[[], bool] = _has_no_next

    @property
    def suspects(self) -> tuple[int, ...]:
        """Return what of the request may crash engines."""
        return (*self.inbound.prompt_parts, self.fingerprint)

    @property
    def is_partly_answered(self) -> bool:
        """Return whether an answer has begun that can't be continued."""
        return self.response_began and self.response_head is None

    @property
    def must_leave(self) -> bool:
        """Return whether another daemon has to serve the request.

        One that an engine may run already goes on here.
        """
        if self.may_have_run or self.response_began:
            return False
        return self.stop.may_cut(self.deadline_at_s)

    def can_continue(self, status: int, headers: HeaderFields) -> bool:
        """Return whether an answer may follow what the caller was sent.

        Only an answer like the first one holds the rest of its stream; any
        other would put an error or another document into it.
        """
        kind = AnswerKind.from_head(status, headers)
        return not self.response_began or kind == self.response_head

    def is_false_promise(self, status: int) -> bool:
        """Return whether a status would wrongly say that nothing has run.

        It is that of a server that doesn't state so itself. A caller repeats
        a request that may run only once after such a status.
        """
        repeatable = self.route is not None and self.route.repeatable
        return status in NOT_RUN_STATUSES and not repeatable

    def record_event(self, now_s: float) -> None:
        """Record the time of an event that is relayed to the caller."""
        if not self.first_event_at_s:
            self.first_event_at_s = now_s
        elif now_s - self.last_event_at_s > self.longest_gap_s:
            self.longest_gap_s = now_s - self.last_event_at_s
        self.last_event_at_s = now_s


class RequestRelay(Protocol):
    """Has requests answered by other daemons."""

    def has_neighbor(self) -> bool:
        """Return whether another daemon reaches engines."""

    async def async_run(self, routed: RoutedRequest, route: Route) -> None:
        """Answer a request or raise ``RequestRefusedError``.

        Raises
        ------
        StalledAttemptResumedError
            When a stalled engine goes on before another daemon has sent an
            event.
        """
