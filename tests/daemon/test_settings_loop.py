"""Test changes of the settings file while the daemon runs."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from random import Random

from tests.platform import builders
from tests.platform.support import async_until
from yuccavalve.daemon.gateway_node import build_gateway_node
from yuccavalve.daemon.settings_loop import SettingsLoop
from yuccavalve.settings import load_gateway_settings
from yuccavalve_platform.daemon import build_ports

_ADDRESSES = {
    'node': 'front-1',
    'listen.front': '127.0.0.1:1001',
    'listen.ready': '127.0.0.1:1002',
    'listen.directory': '127.0.0.1:1003',
    'internal_ports.0': '1004',
    'internal_ports.1': '1005',
    'platform.address': '127.0.0.1:1006',
}


class SettingsLoopTest(unittest.IsolatedAsyncioTestCase):
    """A daemon that watches its settings file."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Write the file and start to watch it."""
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / 'settings.toml'
        self._write({})
        settings = load_gateway_settings(self.path)
        self.node = build_gateway_node(
            settings,
            build_ports(settings),
            Random(1),
        )
        self.loop = SettingsLoop(self.node, self.path, load_gateway_settings)
        self.task = asyncio.create_task(self.loop.async_run())

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop watching the file."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.folder.cleanup()

    def _write(self, changes: dict[str, str]) -> None:
        self.path.write_text(builders.settings_text({**_ADDRESSES, **changes}))

    async def test_changed_bounds_apply_without_a_signal(self) -> None:
        self._write({'bounds.grace_s': '5', 'bounds.retry_budget_extra': '7'})
        await async_until(
            lambda: self.node.settings.bounds.grace_s == 5,
            'the new grace time applies',
        )
        self.assertEqual(self.node.gateway.budgets.settings.extra, 7)

    async def test_signal_reloads_the_file_at_once(self) -> None:
        self._write({'bounds.grace_s': '6'})
        self.loop.reload_requested.set()
        await async_until(
            lambda: self.node.settings.bounds.grace_s == 6,
            'the new grace time applies',
            1,
        )

    async def test_broken_file_changes_nothing(self) -> None:
        with self.assertLogs('absl', 'ERROR') as logs:
            self.path.write_text('[daemon')
            self.loop.reload_requested.set()
            await async_until(lambda: logs.output, 'the fault is logged')
        self.assertIn('event=settings_refused', logs.output[0])
        self.assertEqual(self.node.settings.bounds.grace_s, 8)

    async def test_other_sections_need_a_restart(self) -> None:
        with self.assertLogs('absl', 'WARNING') as logs:
            self._write({'platform.address': '127.0.0.1:1007'})
            self.loop.reload_requested.set()
            await async_until(
                lambda: len(logs.output) > 1, 'the need of a restart is logged'
            )
        self.assertIn(
            'event=settings_need_restart sections=store', logs.output[1]
        )
        self.assertEqual(self.node.settings.store.address, '127.0.0.1:1006')
