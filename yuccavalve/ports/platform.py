"""The platform's object store and host list."""

import enum
from typing import Protocol

import attrs

__all__ = ('HostList', 'HostListing', 'HostState', 'ObjectStore')


class HostState(enum.StrEnum):
    """State of a host according to the platform."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class HostListing:
    """An entry of the platform's host list, which may lag.

    Attributes
    ----------
    address
        IP address and port of the host's engine.
    accelerators
        Number of accelerators.
    """

    host: str
    address: str
    fabric_domain: str
    availability_zone: str
    accelerators: int
    state: HostState = HostState.LIVE


class HostList(Protocol):
    """The list of live and leaving hosts, which may lag."""

    async def async_list(self) -> list[HostListing]:
        """Return the list or raise ``StoreUnavailableError``."""


class ObjectStore(Protocol):
    """Storage of byte strings under names."""

    async def async_put(self, name: str, body: bytes) -> None:
        """Store a body under a name."""

    async def async_get(self, name: str) -> bytes | None:
        """Return the body under a name, or None when there is none."""
