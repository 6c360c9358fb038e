"""The proxy that tests put between processes."""

import asyncio
import unittest

from script.tools.link import Link
from tests.support.byte_server import ByteServer

_TIMEOUT_S = 5.0


class LinkTest(unittest.IsolatedAsyncioTestCase):
    """A link to a server that keeps its connections open."""

    async def test_closed_link_holds_no_connections(self) -> None:
        """Guards against connections that outlive the event loop."""
        server = ByteServer()
        server.holds = True
        await server.async_start()
        link = Link(server.address)
        await link.async_start()
        host, _, port = link.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET / HTTP/1.1\r\n\r\n')
        async with asyncio.timeout(_TIMEOUT_S):
            while not server.request_head:
                await asyncio.sleep(0)
            link.block()
            await link.async_close()
            self.assertEqual(await reader.read(), b'')
            await server.caller_closed.wait()
        writer.close()
        await server.async_stop()
