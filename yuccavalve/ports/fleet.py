"""Engines of the fleet: their records, their feed and their orders."""

import enum
from typing import Protocol

import attrs

__all__ = (
    'EngineChanges',
    'EngineFeed',
    'EngineRecord',
    'EngineReport',
    'GroupOrder',
    'GroupOrderKind',
    'GroupOrders',
    'MemberState',
    'Membership',
    'OrderOutcome',
    'RoutingFeed',
    'RoutingReading',
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
    """An engine's place in a replica.

    Attributes
    ----------
    epoch
        Fencing number of the replica; grows with each replica formed.
    rank
        Place among the members; the engine of rank 0 answers requests.
    """

    replica: str
    epoch: int
    rank: int
    state: MemberState


@attrs.frozen
class EngineRecord:
    """What an engine says of itself in the host list.

    Attributes
    ----------
    born_ms
        Unix time of the engine's start; a restart under the same id has
        a later one.
    models
        Models whose weights the engine has in memory.
    staged
        Models whose weights its host holds.
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


@attrs.frozen
class EngineChanges:
    """Changed records up to a version of the feed.

    Attributes
    ----------
    records
        New records by engine; None where the record is gone or unusable.
    whole
        Whether these are all records, so that others are gone.
    """

    version: int
    records: dict[str, EngineRecord | None]
    whole: bool = False


class EngineFeed(Protocol):
    """The lagging list of engines."""

    async def async_read(self) -> EngineChanges:
        """Return all records or raise ``StoreUnavailableError``."""

    async def async_changes(
        self,
        version: int,
        wait_s: float = 0,
    ) -> EngineChanges:
        """Return what changed after a version, waiting a while for a change.

        Heartbeats are no changes.

        Raises
        ------
        FeedHistoryLostError
            When the history does not reach back that far.
        StoreUnavailableError
            When no answer came.
        """


@attrs.frozen
class RoutingReading:
    """A version of the routes as read, with the feed's version.

    Attributes
    ----------
    document
        The encoded routes; empty when nothing has changed.
    """

    feed_version: int
    document: bytes = b''


class RoutingFeed(Protocol):
    """Where operators' routes are read."""

    async def async_read(self) -> RoutingReading:
        """Return the newest routes or raise ``StoreUnavailableError``."""

    async def async_wait(
        self,
        feed_version: int,
        wait_s: float,
    ) -> RoutingReading:
        """Wait for a change; raise as ``EngineFeed.async_changes`` does."""


class GroupOrderKind(enum.StrEnum):
    """Orders about replicas."""

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
        Fencing number of the planner that gives the order.
    members
        Engines of the replica, the one that answers first.
    """

    kind: GroupOrderKind
    replica: str = ''
    epoch: int = 0
    model: str = ''
    members: tuple[str, ...] = ()
    term: int = 0


class OrderOutcome(enum.StrEnum):
    """What is known of an order.

    ``UNKNOWN`` orders may have been taken or may still be carried out.
    """

    BEGUN = 'begun'
    DONE = 'done'
    REFUSED = 'refused'
    FENCED = 'fenced'
    OTHER_ENGINE = 'other_engine'
    NOT_REACHED = 'not_reached'
    UNKNOWN = 'unknown'


@attrs.frozen
class EngineReport:
    """An engine's own view, some hundred milliseconds old.

    Attributes
    ----------
    slowness
        Factor on the engine's usual times.
    """

    membership: Membership | None
    running: int = 0
    queued: int = 0
    slowness: float = 1


class GroupOrders(Protocol):
    """Orders and probes to engines, never sent twice by the library."""

    async def async_order(
        self,
        engine: EngineRecord,
        order: GroupOrder,
    ) -> OrderOutcome:
        """Give an order and tell what became of it."""

    async def async_report(self, engine: EngineRecord) -> EngineReport | None:
        """Return the engine's report; None without an answer in time."""
