"""Protocols for the engines of the fleet and for the routing feed."""

import enum
from collections.abc import Mapping
from typing import Protocol

import attrs

from yuccavalve.ports.position import Position
from yuccavalve.ports.sending import MaySend, always

__all__ = (
    'EngineChanges',
    'EngineFeed',
    'EngineRecord',
    'EngineReport',
    'GroupOrder',
    'GroupOrderKind',
    'EngineControlPort',
    'MemberState',
    'Membership',
    'OrderOutcome',
    'RoutingFeed',
    'RoutingSnapshot',
)


class MemberState(enum.StrEnum):
    """States of an engine in a replica."""

    JOINING = 'joining'
    READY = 'ready'
    OPEN = 'open'
    CLOSING = 'closing'
    BROKEN = 'broken'


@attrs.frozen
class Membership:
    """An engine's membership in a replica.

    Attributes
    ----------
    epoch
        Fencing token of the replica; grows with each replica formed.
    rank
        Index among the members; the engine of rank 0 is the head engine,
        which answers requests.
    """

    replica: str
    epoch: int
    rank: int
    state: MemberState


@attrs.frozen
class EngineRecord:
    """An engine's entry in the list of engines, written by the engine.

    Attributes
    ----------
    born_ms
        Unix time of the engine's start; later after a restart under the
        same id.
    models
        Models whose weights the engine has in memory.
    staged
        Models whose weights are staged on its host.
    warmup_left_s
        Time for which the engine stays cold, when the record was read. It
        passes with each heartbeat and is left out of comparisons.
    sequence
        Number that the engine gave the entry, 0 if none. It never falls
        between the entries of one start, and is left out of comparisons.
    """

    engine: str
    service: str
    address: str
    availability_zone: str
    draining: bool = False
    born_ms: int = 0
    slots: int = 1
    fabric_domain: str = ''
    models: tuple[str, ...] = ()
    staged: frozenset[str] = frozenset()
    membership: Membership | None = None
    warmup_left_s: float = attrs.field(default=0, eq=False)
    sequence: int = attrs.field(default=0, eq=False)


@attrs.frozen
class EngineChanges:
    """Changed records up to a position of the feed.

    Attributes
    ----------
    version, era
        Position of the feed.
    records
        New records by engine; None for one that was removed or is invalid.
    is_complete
        Whether these are all records, so that any other was removed.
    """

    version: int
    records: dict[str, EngineRecord | None]
    is_complete: bool = False
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position of the feed."""
        return Position(self.era, self.version)


class EngineFeed(Protocol):
    """The list of engines, which may lag."""

    async def async_read(self) -> EngineChanges:
        """Return all records or raise ``StoreUnavailableError``."""

    async def async_changes(
        self,
        position: Position,
        wait_s: float = 0,
    ) -> EngineChanges:
        """Return the changes after a position; wait up to ``wait_s`` for one.

        Heartbeats do not count as changes.

        Raises
        ------
        FeedHistoryLostError
            When the history does not reach back to the position.
        EraEndedError
            When another era has begun since.
        StoreUnavailableError
            When no answer arrived.
        """


@attrs.frozen
class RoutingSnapshot:
    """The routes as read, with the position of the feed.

    Attributes
    ----------
    feed_version, era
        Position of the feed.
    document
        The encoded routes; empty when nothing has changed.
    evacuated
        Whether a zone is evacuated, by zone, for the zones whose rows have
        changed; False where the row was removed.
    is_complete
        Whether these are all zones, so that any other row was removed.
    """

    feed_version: int
    document: bytes = b''
    evacuated: Mapping[str, bool] = attrs.field(factory=dict)
    is_complete: bool = False
    era: int = 0

    @property
    def position(self) -> Position:
        """Return the position of the feed."""
        return Position(self.era, self.feed_version)


class RoutingFeed(Protocol):
    """The feed of the operators' routes."""

    async def async_read(self) -> RoutingSnapshot:
        """Return the newest routes or raise ``StoreUnavailableError``."""

    async def async_wait(
        self,
        position: Position,
        wait_s: float,
    ) -> RoutingSnapshot:
        """Wait for a change; raises like ``EngineFeed.async_changes``."""


class GroupOrderKind(enum.StrEnum):
    """Kinds of orders about replicas."""

    JOIN = 'join'
    OPEN = 'open'
    CLOSE = 'close'
    LEAVE = 'leave'
    STAGE = 'stage'


@attrs.frozen
class GroupOrder:
    """An order to one engine.

    Attributes
    ----------
    term
        Term of the planner that sends the order, as fencing token.
    members
        Engines of the replica, the head engine first.
    """

    kind: GroupOrderKind
    replica: str = ''
    epoch: int = 0
    model: str = ''
    members: tuple[str, ...] = ()
    term: int = 0


class OrderOutcome(enum.StrEnum):
    """Outcome of an order as far as it is known.

    After ``UNKNOWN`` the order may have been applied or may yet be applied.
    ``SILENT`` is the outcome of an order that was passed on: none of the
    daemons asked got an answer for as long as a sound engine may be silent.
    """

    BEGUN = 'begun'
    DONE = 'done'
    REFUSED = 'refused'
    FENCED = 'fenced'
    OTHER_ENGINE = 'other_engine'
    NOT_REACHED = 'not_reached'
    UNKNOWN = 'unknown'
    SILENT = 'silent'


@attrs.frozen
class EngineReport:
    """State as reported by an engine, some hundred milliseconds old.

    Attributes
    ----------
    slowness
        Ratio of the engine's times to its usual ones.
    """

    membership: Membership | None
    running: int = 0
    queued: int = 0
    slowness: float = 1


@attrs.frozen
class EngineNotice:
    """What an engine says of itself in an answer.

    Attributes
    ----------
    leaving
        Whether the engine is about to stop.
    retry_after
        Time in seconds for which it wants nothing, as sent; None if it asks
        for no backoff.
    limit
        Requests a second that it takes from all daemons together, as sent;
        None if it names no limit.
    asked_at_s
        Monotonic time at which the request was sent that the engine itself
        answers; None for other answers, whose silence says nothing.
    warmup_left_s
        Time for which the engine stays cold; 0 if it does not say so.
    """

    leaving: bool = False
    retry_after: str | None = None
    limit: str | None = None
    asked_at_s: float | None = None
    warmup_left_s: float = 0


class NoticeSink(Protocol):
    """Takes what engines say of themselves."""

    def record(self, engine: EngineRecord, notice: EngineNotice) -> None:
        """Record a notice in an answer of an engine."""


class EngineControlPort(Protocol):
    """Orders and probes to engines, which the transport never resends."""

    async def async_order(
        self,
        engine: EngineRecord,
        order: GroupOrder,
        may_send: MaySend = always,
    ) -> OrderOutcome:
        """Send an order and return its outcome.

        Nothing is sent unless ``may_send`` says so once the connection is
        made.
        """

    async def async_report(self, engine: EngineRecord) -> EngineReport | None:
        """Return the engine's report; None without a valid one in time.

        Raises
        ------
        EngineResetError
            When the engine reset the connection, which shows that it runs.
        EngineNotListeningError
            When the connection was refused.
        """
