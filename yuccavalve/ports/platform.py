"""The platform's object store and host list."""

import enum
from typing import Protocol

import attrs

__all__ = ('HostList', 'HostListing', 'HostState', 'ObjectStore')


class HostState(enum.StrEnum):
    """What the platform says of a host."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class HostListing:
    """A host as the platform lists it, possibly late.

    Attributes
    ----------
    address
        IP number and port of the host's engine.
    accelerators
        Count of accelerators.
    """

    host: str
    address: str
    fabric_domain: str
    availability_zone: str
    accelerators: int
    state: HostState = HostState.LIVE


class HostList(Protocol):
    """The lagging list of live and leaving hosts."""

    async def async_list(self) -> list[HostListing]:
        """Return the list; raise ``StoreUnavailableError`` without one."""


class ObjectStore(Protocol):
    """Named byte strings."""

    async def async_put(self, name: str, body: bytes) -> None:
        """Keep a body under a name."""

    async def async_get(self, name: str) -> bytes | None:
        """Return the body, or None when there is none."""
