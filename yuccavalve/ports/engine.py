"""A model engine: one process a host, the first of a replica answers."""

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
    """Orders that an engine takes."""

    LOAD = 'load'
    RELEASE = 'release'


@attrs.frozen
class EngineOrder:
    """An order to one host's engine.

    Attributes
    ----------
    fence
        Fencing number; the incarnation of the replica.
    peer_addresses
        The engines of the replica, the one that answers first.
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
    """What an engine says of its load, some seconds late.

    Attributes
    ----------
    age_s
        How old the engine says the figures are.
    """

    running: int = 0
    queued: int = 0
    slots: int = 1
    age_s: float = 0


@attrs.frozen
class EngineStatus:
    """What an engine says of itself.

    Attributes
    ----------
    boot
        Changes with each start of the engine.
    fenced
        Whether the engine refuses orders with an old fencing number.
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
    """Control of engines; streams go through the request chain."""

    async def async_status(self, address: str) -> EngineStatus:
        """Return a status or raise ``EngineUnreachableError``."""

    async def async_order(self, address: str, order: EngineOrder) -> None:
        """Give an order.

        Raises
        ------
        EngineRefusedError
            When the engine refuses the fencing number.
        EngineUnreachableError
            When no answer came; the order may have been taken.
        """
