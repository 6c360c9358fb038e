"""Run a gateway daemon and a caller inside the test process."""

import asyncio
import socket
from pathlib import Path
from random import Random, SystemRandom
from typing import Any

import attrs

from tests.platform.standin import FleetStandin
from yuccavalve.adapters.exchange import HttpAnswer, HttpCall, async_exchange
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError
from yuccavalve.daemon.gateway_node import GatewayNode, build_gateway_node
from yuccavalve.daemon.gateway_runner import GatewayDaemon
from yuccavalve.observability.explain import read_lines
from yuccavalve.settings import GatewaySettings
from yuccavalve_platform.daemon import build_ports

__all__ = (
    'Answer',
    'Caller',
    'DaemonRun',
    'KeptConnection',
    'async_listening',
    'async_stop_all',
    'async_until',
    'free_address',
)

_POLL_S = 0.02
_TIMEOUT_S = 15.0
_MAX_BYTES = 1048576
_FIXED_PORTS = range(20000, 32000)
_PORT_ATTEMPTS = 50


async def async_until(
    condition: Any, description: str, timeout_s: float = _TIMEOUT_S
) -> None:
    """Wait until a condition holds, or fail after a timeout."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    while not condition():
        if loop.time() > until_s:
            raise AssertionError(
                f'timed out after {timeout_s} s: {description}'
            )
        await asyncio.sleep(_POLL_S)


def free_address() -> str:
    """Return a local address that a daemon can use again after a restart.

    The port is below those that the system gives to outgoing connections.
    Daemons that are not restarted listen on port 0 instead.
    """
    ports = SystemRandom().sample(_FIXED_PORTS, _PORT_ATTEMPTS)
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
        return f'127.0.0.1:{port}'
    raise AssertionError(f'{_PORT_ATTEMPTS} ports are in use: {ports}')


async def async_listening(log: Path) -> dict[str, str]:
    """Wait until a daemon's log tells its addresses; return them by purpose."""

    def find() -> dict[str, str]:  # noqa: WPS430
        for line in read_lines(log.read_text().splitlines()):
            if line.event == 'listening':
                return {name: str(text) for name, text in line.fields.items()}
        return {}

    await async_until(lambda: log.exists() and find(), f'{log} has addresses')
    return find()


@attrs.frozen
class Answer:
    """Answer as a caller received it."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


@attrs.frozen
class Caller:
    """Sends requests with the header fields of a platform caller."""

    address: str
    key: str

    async def async_open(
        self,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b'',
        **fields: str,
    ) -> HttpAnswer:
        """Send a request and return its answer once the head was read."""
        return await async_exchange(
            self.request(method, target, request_id, body, **fields)
        )

    def request(
        self,
        method: str,
        target: str,
        request_id: str,
        body: bytes = b'',
        **fields: str,
    ) -> HttpCall:
        """Return a request as it is sent."""
        headers = [
            (b'host', b'h.example'),
            (b'request-id', request_id.encode()),
            (b'x-api-key', self.key.encode()),
            *(
                (name.replace('_', '-').encode(), text.encode())
                for name, text in fields.items()
            ),
        ]
        return HttpCall(self.address, method, target.encode(), headers, body)

    async def async_call(self, *args: str, **fields: Any) -> Answer:
        """Send a request and return its whole answer."""
        answer = await self.async_open(*args, **fields)
        try:
            body = await answer.async_read_all(_MAX_BYTES)
        finally:
            answer.close()
        return Answer(answer.status, dict(answer.headers), body)


class KeptConnection:
    """A connection on which a caller sends one request after another."""

    def __init__(
        self,
        caller: Caller,
        reader: asyncio.StreamReader | None = None,
        writer: asyncio.StreamWriter | None = None,
    ) -> None:
        """Use a connection, or open one with the first request."""
        self._caller = caller
        self._reader = reader
        self._writer = writer

    @property
    def is_open(self) -> bool:
        """Return whether the connection has been used and not closed."""
        return self._writer is not None

    async def async_call(self, *args: Any, **fields: str) -> Answer:
        """Send a request with the header fields of a platform caller."""
        return await self.async_send(self._caller.request(*args, **fields))

    async def async_send(self, call: HttpCall) -> Answer:
        """Send a request to a plain service, and return its whole answer.

        Raises
        ------
        BackendNotReachedError
            When no connection can be made.
        BackendLostError
            When the connection ends before the answer does.
        """
        reader, writer = await self._async_connection()
        try:
            writer.write(call.encode())
            head = await reader.readuntil(b'\r\n\r\n')
            status, headers = _parse_head(head)
            body = await reader.readexactly(int(headers[b'content-length']))
        except (OSError, EOFError) as error:
            self.close()
            raise BackendLostError(repr(error)) from error
        if headers.get(b'connection') == b'close':
            self.close()
        return Answer(status, headers, body)

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def _async_connection(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._writer is None or self._reader is None:
            host, _, port = self._caller.address.rpartition(':')
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
            except OSError as error:
                raise BackendNotReachedError(repr(error)) from error
        return self._reader, self._writer


def _parse_head(head: bytes) -> tuple[int, dict[bytes, bytes]]:
    status_line, *lines = head.rstrip().split(b'\r\n')
    fields = (line.partition(b': ') for line in lines)
    headers = {name.lower(): text for name, _, text in fields}
    return int(status_line.split()[1]), headers


class DaemonRun:
    """A gateway daemon that runs in the event loop of the test."""

    def __init__(self, settings: GatewaySettings, seed: int = 1) -> None:
        """Build the daemon without starting it."""
        ports = build_ports(settings)
        self.node: GatewayNode = build_gateway_node(
            settings,
            ports,
            Random(seed),
        )
        self.daemon = GatewayDaemon(self.node)
        self._task: asyncio.Task[int] | None = None

    @property
    def caller_address(self) -> str:
        """Return the address at which the daemon accepts callers."""
        return self.node.roster.local_member.caller_address

    @property
    def is_running(self) -> bool:
        """Return whether the daemon has not ended."""
        return self._task is not None and not self._task.done()

    async def async_start(self) -> None:
        """Start the daemon and wait until it is ready."""
        self._task = asyncio.create_task(self.daemon.async_run())
        await async_until(
            self.node.entry_directory.is_ready, 'the daemon is ready'
        )

    async def async_until_serving(self, service: str, model: str) -> None:
        """Wait until a replica of a model serves requests."""
        await async_until(
            lambda: self.node.view.heads(service, model),
            'a replica serves',
        )

    async def async_kill(self) -> None:
        """Cancel the daemon without a planned stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def async_stop(self) -> int:
        """Stop the daemon as SIGTERM does; return its exit status."""
        self.daemon.request_stop()
        if self._task is None:
            return 0
        return await self._task


async def async_stop_all(fleet: FleetStandin, *runs: DaemonRun) -> None:
    """Kill the daemons, then stop the stand-in."""
    for run in runs:
        await run.async_kill()
    await fleet.async_stop()
