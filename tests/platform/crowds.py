"""Callers beyond the system's control: what they send, and how many there are.

Each sends its bytes and then leaves its connection open without reading.
"""

import asyncio
import contextlib
import itertools
from collections.abc import Iterable, Iterator

import attrs

from tests.platform import builders

__all__ = ('BODY_BYTES', 'CROWDS', 'Crowd', 'OpenCrowd', 'request_head')

BODY_BYTES = 4194304
_PIECE_BYTES = 65536
_HEAD_BYTES = 290000
_AHEAD_BYTES = 4194304
_STALL_S = 3.0


@attrs.frozen
class Crowd:
    """Connections that all send the same.

    Attributes
    ----------
    head
        What is sent first.
    piece
        What is sent again and again after it.
    size_bytes
        How much of the pieces is sent, in all.
    """

    connections: int
    head: bytes
    piece: bytes = b''
    size_bytes: int = 0

    def pieces(self) -> Iterator[bytes]:
        """Yield what one caller sends."""
        yield self.head
        whole, rest = divmod(self.size_bytes, max(1, len(self.piece)))
        yield from itertools.repeat(self.piece, whole)
        yield self.piece[:rest]


def request_head(*fields: bytes) -> bytes:
    """Return the head of a request for a plain service, without its end."""
    lines = (
        b'POST /get/x HTTP/1.1',
        b'host: h.example',
        b'request-id: c-1',
        b'x-api-key: %b' % builders.KEY.encode(),
        *fields,
        b'',
    )
    return b'\r\n'.join(lines)


def _body_head(*fields: bytes) -> bytes:
    return request_head(*fields) + b'\r\n'


def _chunk(size_bytes: int) -> bytes:
    return b'%x\r\n%b\r\n' % (size_bytes, b'x' * size_bytes)


_LENGTH = b'content-length: %d' % BODY_BYTES
_FILLER = b'x' * _PIECE_BYTES

CROWDS = {
    'head_without_end': Crowd(
        400, request_head() + b'x-filler: ', _FILLER, _HEAD_BYTES
    ),
    'head_of_small_fields': Crowd(300, request_head(), b'a:\r\n' * 1000, 30000),
    'empty_lines': Crowd(300, b'', b'\r\n' * 32768, _HEAD_BYTES),
    'bodies_short_of_their_end': Crowd(
        80, _body_head(_LENGTH), _FILLER, BODY_BYTES - 1
    ),
    'bodies_in_pieces': Crowd(
        80,
        _body_head(b'transfer-encoding: chunked'),
        _chunk(16000),
        BODY_BYTES - 65536,
    ),
    'whole_bodies': Crowd(80, _body_head(_LENGTH), _FILLER, BODY_BYTES),
    'requests_ahead': Crowd(
        60, b'', b'GET /get/x HTTP/1.1\r\n\r\n' * 2000, _AHEAD_BYTES
    ),
    'requests_of_a_caller_ahead': Crowd(
        60,
        b'',
        (request_head().replace(b'POST', b'GET') + b'\r\n') * 500,
        _AHEAD_BYTES,
    ),
    'silent_connections': Crowd(700, b''),
}


@attrs.define
class OpenCrowd:
    """A crowd whose connections stay open until it is closed."""

    crowd: Crowd
    _writers: list[asyncio.StreamWriter] = attrs.field(factory=list)

    async def async_send(self, address: str) -> None:
        """Send everything, or until the other side neither reads nor closes."""
        await asyncio.gather(
            *(
                self._async_send_one(address)
                for _ in range(self.crowd.connections)
            )
        )

    async def _async_send_one(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(_STALL_S):
                _, writer = await asyncio.open_connection(host, int(port))
            self._writers.append(writer)
            await _async_write(writer, self.crowd.pieces())

    def close(self) -> None:
        """Close all connections."""
        for writer in self._writers:
            writer.transport.abort()


async def _async_write(
    writer: asyncio.StreamWriter, pieces: Iterable[bytes]
) -> None:
    for piece in pieces:
        writer.write(piece)
        async with asyncio.timeout(_STALL_S):
            await writer.drain()
