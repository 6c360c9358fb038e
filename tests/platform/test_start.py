"""Signals that reach a daemon while it starts, and who else runs then."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.platform import builders
from tests.platform.standin import FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    KeptConnection,
    async_stop_all,
    free_address,
)
from yuccavalve.daemon.early_start import NOTHING_DONE, EarlyStart
from yuccavalve.sockets import split_address
from yuccavalve_platform.early import start_before_imports

_ROOT = Path(__file__).resolve().parents[2]
_TIMEOUT_S = 30.0
_POLL_S = 0.005
_ANY_PORT = '127.0.0.1:0'
_HANGUP_BIT = 1 << (signal.SIGHUP - 1)


def _ignores_hangup(process: subprocess.Popen[bytes]) -> bool:
    """Return whether a process ignores SIGHUP."""
    status = Path(f'/proc/{process.pid}/status').read_text()
    for line in status.splitlines():
        name, _, mask = line.partition(':')
        if name == 'SigIgn':
            return bool(int(mask, 16) & _HANGUP_BIT)
    return False


class StartTest(unittest.TestCase):
    """A daemon whose settings do not exist, so that it ends by itself."""

    def test_hangup_during_the_imports_does_not_end_the_daemon(self) -> None:
        process = subprocess.Popen(
            [sys.executable, 'platform/serve.py'],
            cwd=_ROOT,
            env={**os.environ, 'YUCCAVALVE_NODE_FILE': '/nonexistent'},
            stderr=subprocess.DEVNULL,
        )
        until_s = time.monotonic() + _TIMEOUT_S
        while process.poll() is None and time.monotonic() < until_s:
            if _ignores_hangup(process):
                process.send_signal(signal.SIGHUP)
                break
            time.sleep(_POLL_S)
        self.assertIsNone(process.poll(), 'SIGHUP was never ignored')
        self.assertEqual(process.wait(_TIMEOUT_S), 1)


class NeighborTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that starts while its only neighbor runs or is down."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the neighbor, which writes its row."""
        self.fleet = FleetStandin()
        await self.fleet.async_start(builders.engine_options())
        await self.fleet.async_configure(builders.configuration())
        self.neighbor = DaemonRun(builders.settings(self.fleet.store_address))
        await self.neighbor.async_start()

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the stand-in and the neighbor."""
        await async_stop_all(self.fleet, self.neighbor)

    async def _async_start_other(self, store_address: str) -> EarlyStart:
        """Return what a daemon with another name does before its imports."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.toml'
            path.write_text(
                '[daemon]\nname = "front-2"\n'
                '[listen]\ncaller_address = "127.0.0.1:0"\n'
                f'[store]\naddress = "{store_address}"\n'
            )
            early_start = await asyncio.to_thread(start_before_imports, path)
        if early_start.listener is not None:
            self.addCleanup(early_start.listener.close)
        return early_start

    async def test_callers_wait_only_while_no_neighbor_runs(self) -> None:
        store_address = self.fleet.store_address
        early_start = await self._async_start_other(store_address)
        self.assertIs(early_start, NOTHING_DONE)
        await self.neighbor.async_kill()
        early_start = await self._async_start_other(store_address)
        self.assertTrue(early_start.others_are_down)
        self.assertIsNotNone(early_start.listener)

    async def test_neighbors_may_run_if_the_store_does_not_answer(self) -> None:
        await self.neighbor.async_kill()
        early_start = await self._async_start_other('127.0.0.1:1')
        self.assertIs(early_start, NOTHING_DONE)

    async def test_stop_during_the_imports_answers_waiting_callers(
        self,
    ) -> None:
        """Guards against resetting connections accepted before the imports."""
        await self.neighbor.async_kill()
        address = free_address()
        text = builders.settings_text(
            {
                'node': 'front-2',
                'listen.front': address,
                'listen.ready': _ANY_PORT,
                'listen.directory': _ANY_PORT,
                'internal_ports.0': free_address().rpartition(':')[2],
                'internal_ports.1': free_address().rpartition(':')[2],
                'platform.address': self.fleet.store_address,
                'bounds.grace_s': '2',
            }
        ).replace('127.0.0.1:9100', _ANY_PORT)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.toml'
            path.write_text(text)
            process = subprocess.Popen(
                [sys.executable, 'platform/serve.py'],
                cwd=_ROOT,
                env={**os.environ, 'YUCCAVALVE_NODE_FILE': str(path)},
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            try:
                answer = await self._async_stop_while_calling(process, address)
            finally:
                process.kill()
                process.wait()
        self.assertIn(answer.status, {200, 503})
        self.assertEqual(process.returncode, 0)

    async def _async_stop_while_calling(
        self, process: subprocess.Popen[bytes], address: str
    ) -> Answer:
        """Stop a process once it accepts connections; return its answer."""
        caller = Caller(address, builders.KEY)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _TIMEOUT_S
        while True:
            try:
                reader, writer = await asyncio.open_connection(
                    *split_address(address)
                )
                break
            except OSError:
                self.assertLess(loop.time(), until_s, 'it never listened')
                await asyncio.sleep(_POLL_S)
        connection = KeptConnection(caller, reader, writer)
        process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(_TIMEOUT_S):
            answer = await connection.async_call('GET', '/get/x', 'waiting')
            await asyncio.to_thread(process.wait)
        connection.close()
        return answer
