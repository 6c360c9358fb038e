"""A server that answers with given bytes."""

import asyncio
import socket
import struct

__all__ = ('ByteServer',)

_ANY_LOCAL_PORT = ('127.0.0.1', 0)


class ByteServer:
    """Sends the same bytes to each caller, then ends the connection.

    Attributes
    ----------
    answer_bytes
        What is sent once the head of a request was read.
    repeated_bytes
        What is sent after that until the caller closes the connection; empty
        to end the connection instead.
    holds
        Whether the connection stays open until the caller closes it.
    resets
        Whether the connection is reset instead of closed.
    request_head
        Head of the last request.
    sent_bytes
        Number of bytes written to the last caller.
    caller_closed
        Set once a caller has closed a connection on which bytes repeat.
    """

    def __init__(self) -> None:
        """Prepare a server that ends connections at once."""
        self.answer_bytes = b''
        self.repeated_bytes = b''
        self.holds = False
        self.resets = False
        self.request_head = b''
        self.sent_bytes = 0
        self.caller_closed = asyncio.Event()
        self.address = ''
        self._server: asyncio.Server | None = None

    async def async_start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(
            self._async_serve, *_ANY_LOCAL_PORT
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def async_stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _async_serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            self.request_head = await reader.readuntil(b'\r\n\r\n')
            await self._async_send(writer)
            if self.holds:
                await reader.read()
                self.caller_closed.set()
        except (OSError, asyncio.IncompleteReadError):
            self.caller_closed.set()
        writer.close()

    async def _async_send(self, writer: asyncio.StreamWriter) -> None:
        writer.write(self.answer_bytes)
        self.sent_bytes = len(self.answer_bytes)
        while self.repeated_bytes:
            writer.write(self.repeated_bytes)
            await writer.drain()
            self.sent_bytes += len(self.repeated_bytes)
        if self.resets:
            await writer.drain()
            connection = writer.get_extra_info('socket')
            connection.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                struct.pack('ii', 1, 0),
            )
