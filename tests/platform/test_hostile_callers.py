"""A daemon before callers that send more than it can hold."""

import asyncio
import os
import resource
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from tests.platform import builders
from tests.platform.crowds import BODY_BYTES, CROWDS, OpenCrowd
from tests.platform.standin import EngineOptions, FleetStandin
from tests.platform.support import Caller, async_listening, async_until

_ROOT = Path(__file__).resolve().parents[2]
_ANY_PORT = '127.0.0.1:0'
# The daemon's settings name this limit, and its peak must stay below it.
_MEMORY_MB = 160
_MAX_DESCRIPTORS = 512
_KB_PER_MB = 1024
_WORK_S = 1.0
_ATTEMPTS = 40
# What the service puts before the body in its answer, and more.
_ECHO_BYTES = 64


class HostileCallersTest(unittest.IsolatedAsyncioTestCase):
    """One daemon as a process of its own, and a plain service behind it."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemon."""
        self.fleet = FleetStandin()
        self.addAsyncCleanup(self.fleet.async_stop)
        await self.fleet.async_start(
            EngineOptions(f'p-{number}', 'portal', slots=200, token_s=_WORK_S)
            for number in range(2)
        )
        document = builders.configuration()
        document['limits']['max_body_bytes'] = BODY_BYTES
        await self.fleet.async_configure(document)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.log = Path(folder.name) / 'daemon.log'
        self.process = self._start(Path(folder.name))
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.addresses = await async_listening(self.log)
        self.caller = Caller(self.addresses['caller'], builders.KEY)
        await self._async_check_served('before')

    def _start(self, folder: Path) -> 'subprocess.Popen[bytes]':
        settings = folder / 'settings.toml'
        settings.write_text(
            builders.settings_text(
                {
                    'node': 'front-1',
                    'listen.front': _ANY_PORT,
                    'listen.ready': _ANY_PORT,
                    'listen.directory': _ANY_PORT,
                    'internal_ports.0': '0',
                    'internal_ports.1': '0',
                    'platform.address': self.fleet.store_address,
                    'limits.memory_mb': str(_MEMORY_MB),
                }
            ).replace('127.0.0.1:9100', _ANY_PORT)
        )
        with self.log.open('wb') as log:
            process = subprocess.Popen(
                [sys.executable, 'platform/serve.py'],
                cwd=_ROOT,
                env={**os.environ, 'YUCCAVALVE_NODE_FILE': str(settings)},
                stdout=log,
                stderr=log,
            )
        # The hard limit stays, so that the daemon could raise its own.
        _, most = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(
            process.pid, resource.RLIMIT_NOFILE, (_MAX_DESCRIPTORS, most)
        )
        return process

    async def _async_served(self, request_id: str) -> bool:
        answer = await self.caller.async_call('GET', '/get/x', request_id)
        return answer.status == 200

    async def _async_check_served(self, request_id: str) -> None:
        """Check that an ordinary request is answered."""
        for attempt in range(_ATTEMPTS):
            if await self._async_served(f'{request_id}-{attempt}'):
                return
            await asyncio.sleep(_WORK_S / 4)
        self.fail(f'{request_id}: no answer in {_ATTEMPTS} attempts')

    def _peak_mb(self) -> float:
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        for line in status.splitlines():
            name, _, text = line.partition(':')
            if name == 'VmHWM':
                return int(text.split()[0]) / _KB_PER_MB
        raise AssertionError('no peak in the status')

    def _descriptors(self) -> int:
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    async def _async_play(self, name: str, purpose: str = 'caller') -> None:
        """Send a crowd, and an ordinary request while it stays."""
        crowd = OpenCrowd(CROWDS[name])
        self.addCleanup(crowd.close)
        await crowd.async_send(self.addresses[purpose])
        self.assertIsNone(self.process.poll(), 'the daemon has ended')
        self.assertLess(self._descriptors(), _MAX_DESCRIPTORS)
        self.assertLess(self._peak_mb(), _MEMORY_MB)
        await self._async_check_served('meanwhile')
        crowd.close()
        await async_until(
            lambda: self._descriptors() < _MAX_DESCRIPTORS / 2,
            'connections are closed',
        )
        await self._async_check_served('afterwards')
        self.assertIsNone(self.process.poll(), 'the daemon has ended')
        self.assertLess(self._peak_mb(), _MEMORY_MB)

    async def test_heads_without_end(self) -> None:
        """The daemon held 290 KB of each."""
        await self._async_play('head_without_end')

    async def test_heads_of_small_fields(self) -> None:
        """Each field of four bytes took some hundred."""
        await self._async_play('head_of_small_fields')

    async def test_empty_lines_without_end(self) -> None:
        await self._async_play('empty_lines')

    async def test_bodies_short_of_their_end(self) -> None:
        """The daemon held all of them until their deadlines."""
        await self._async_play('bodies_short_of_their_end')

    async def test_bodies_in_pieces(self) -> None:
        """The same, without a length in the head."""
        await self._async_play('bodies_in_pieces')

    async def test_whole_bodies(self) -> None:
        """The daemon held all of them while engines worked."""
        await self._async_play('whole_bodies')

    async def test_requests_ahead(self) -> None:
        """The daemon read and parsed them without bound."""
        await self._async_play('requests_ahead')

    async def test_requests_of_a_caller_ahead(self) -> None:
        """The same, with requests that are served."""
        await self._async_play('requests_of_a_caller_ahead')

    async def test_silent_connections(self) -> None:
        """They took all descriptors, and nobody else could connect."""
        await self._async_play('silent_connections')

    async def test_heads_without_end_at_the_ready_address(self) -> None:
        await self._async_play('head_without_end', 'ready')

    async def test_requests_ahead_at_the_directory_address(self) -> None:
        await self._async_play('requests_ahead', 'directory')

    async def test_requests_ahead_at_the_metrics_address(self) -> None:
        await self._async_play('requests_ahead', 'metrics')

    async def test_bodies_at_the_relay_address(self) -> None:
        await self._async_play('bodies_in_pieces', 'relay')

    async def test_single_request_of_the_largest_size(self) -> None:
        """It is served in calm."""
        body = b'x' * (BODY_BYTES - _ECHO_BYTES)
        answer = await self.caller.async_open('POST', '/get/x', 'large', body)
        self.addCleanup(answer.close)
        self.assertEqual(answer.status, 200)
        echoed = await answer.async_read_all(BODY_BYTES)
        self.assertTrue(echoed.endswith(body))
        self.assertLess(self._peak_mb(), _MEMORY_MB)
