"""Run a stand-in as a process until it is signalled to stop."""

import asyncio
import signal
from pathlib import Path
from typing import Protocol

from starlette.applications import Starlette

from yuccavalve.serving import HttpServer, bind_socket

__all__ = ('Standin', 'run_standin')


class Standin(Protocol):
    """An HTTP application with background work."""

    application: Starlette

    async def async_run(self, address: str) -> None:
        """Run the background work until cancelled."""


def run_standin(
    standin: Standin, address: str, ready_file: Path | None
) -> None:
    """Serve a stand-in until SIGTERM or SIGINT."""
    asyncio.run(_async_run(standin, address, ready_file))


async def _async_run(
    standin: Standin,
    address: str,
    ready_file: Path | None,
) -> None:
    server = HttpServer(standin.application, bind_socket(address))
    await server.async_start()
    background = asyncio.create_task(standin.async_run(server.address))
    if ready_file is not None:
        write_ready(ready_file, server.address)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    await stopping.wait()
    background.cancel()
    await server.async_stop()


def write_ready(path: Path, text: str) -> None:
    """Write a file atomically, so that no reader sees part of it."""
    partial = path.with_suffix('.partial')
    partial.write_text(text)
    partial.rename(path)
