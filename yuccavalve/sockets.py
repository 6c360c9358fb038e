"""Listening sockets, and checks whether others listen.

Imports nothing but the standard library, so that a daemon can use it before its
other imports.
"""

import contextlib
import select
import socket
import time
from collections.abc import Iterable
from typing import Final

__all__ = ('BACKLOG', 'any_listens', 'bind_socket', 'split_address')

BACKLOG: Final = 1024
_USER_TIMEOUT_MS = 60000
_SEND_BUFFER_BYTES = 131072
# The system holds twice as much of what a paused connection has received.
_RECEIVE_BUFFER_BYTES = 32768


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address.

    Raises
    ------
    ValueError
        When the port is no number.
    """
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)


def bind_socket(address: str) -> socket.socket:
    """Bind and return a TCP socket for an IP address and port."""
    host, port = split_address(address)
    listener = socket.socket(_family(host), socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Closes the connection of a caller that has stopped reading.
    listener.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _USER_TIMEOUT_MS,
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES)
    listener.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    listener.bind((host, port))
    listener.setblocking(False)
    return listener


def any_listens(addresses: Iterable[str], timeout_s: float) -> bool:
    """Return whether a connection to any address is made within a time.

    All connections are attempted at once, and closed again.
    """
    with contextlib.ExitStack() as stack:
        pending = []
        for address in addresses:
            attempt = stack.enter_context(_connecting(address))
            if attempt.fileno() >= 0:
                pending.append(attempt)
        return _is_any_connected(pending, time.monotonic() + timeout_s)


def _is_any_connected(pending: list[socket.socket], until_s: float) -> bool:
    while pending:
        remaining_s = max(0, until_s - time.monotonic())
        _, writable, _ = select.select((), pending, (), remaining_s)
        if not writable:
            return False
        for attempt in writable:
            if not attempt.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                return True
            pending.remove(attempt)
    return False


def _connecting(address: str) -> socket.socket:
    """Return a socket that connects; a closed one for an invalid address."""
    try:
        host, port = split_address(address)
        attempt = socket.socket(_family(host), socket.SOCK_STREAM)
    except (OSError, ValueError):
        closed = socket.socket()
        closed.close()
        return closed
    attempt.setblocking(False)
    try:
        attempt.connect_ex((host, port))
    except OSError:
        attempt.close()
    return attempt


def _family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ':' in host else socket.AF_INET
