"""Control of model engines, one process per host.

The head engine of a replica, which has rank 0, answers its requests.
"""

import enum
from typing import Protocol

import attrs

__all__ = (
    'EngineOrder',
    'EnginePort',
    'EngineStatus',
    'LoadReport',
    'OrderKind',
)


class OrderKind(enum.StrEnum):
    """Kinds of orders to an engine."""

    LOAD = 'load'
    RELEASE = 'release'


@attrs.frozen
class EngineOrder:
    """An order to one host's engine.

    Attributes
    ----------
    fence
        Fencing token: the incarnation of the replica.
    peer_addresses
        Addresses of the engines of the replica, the head engine first.
    """

    kind: OrderKind
    fence: int
    replica: str = ''
    model: str = ''
    rank: int = 0
    slots: int = 0
    peer_addresses: tuple[str, ...] = ()


@attrs.frozen
class LoadReport:
    """Load as reported by an engine, some seconds old.

    Attributes
    ----------
    age_s
        Age of the figures according to the engine.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    age_s: float = 0


@attrs.frozen
class EngineStatus:
    """Status as reported by an engine.

    Attributes
    ----------
    boot
        Id that changes with each start of the engine.
    fenced
        Whether the engine refuses orders with an old fencing token.
    ready
        Whether the model is loaded.
    """

    host: str
    boot: str
    fenced: bool
    fence: int
    replica: str
    rank: int
    model: str
    ready: bool
    fabric_domain: str = ''
    load: LoadReport = LoadReport()


class EnginePort(Protocol):
    """Status queries and orders to engines, not callers' requests."""

    async def async_status(self, address: str) -> EngineStatus:
        """Return an engine's status or raise ``EngineUnreachableError``."""

    async def async_order(self, address: str, order: EngineOrder) -> None:
        """Send an order.

        Raises
        ------
        EngineRefusedError
            When the engine refuses the fencing token.
        EngineUnreachableError
            When no answer arrived; the order may have been applied.
        """
