"""Resolver for addresses that are IP addresses already."""

import ipaddress
import socket
from typing import Any

from aiosonic.resolver import AbstractResolver

__all__ = ('IpAddressResolver',)


class IpAddressResolver(AbstractResolver):
    """Returns an IP address as it is, without a thread or a DNS query."""

    async def resolve(
        self,
        hostname: str,
        port: int = 0,
        family: int = socket.AF_INET,
    ) -> list[dict[str, Any]]:
        """Return the single entry for an IP address.

        Raises
        ------
        ValueError
            When the host is not an IP address.
        """
        parsed_address = ipaddress.ip_address(hostname)
        is_v6 = parsed_address.version == 6
        return [
            {
                'hostname': hostname,
                'host': str(parsed_address),
                'port': port,
                'family': socket.AF_INET6 if is_v6 else socket.AF_INET,
                'proto': socket.IPPROTO_TCP,
                'flags': socket.AI_NUMERICHOST,
            },
        ]

    async def close(self) -> None:
        """Do nothing; no resources are held."""
