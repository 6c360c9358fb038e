"""The burn report of live daemons, read with the command line."""

import asyncio
import json
import subprocess
import sys

from tests.support.session import SessionTest


class ReportSession(SessionTest):
    """One report counts the requests of two daemons."""

    async def test_burn(self) -> None:
        names = await self.async_start(daemons=2)
        for name in names:
            await self.async_ask(name, 'counted')
        await self.cluster.async_call_admin(
            'h0', '/admin/faults', {'refuse': True}
        )
        await self.async_ask('e0', 'refused')
        await self.cluster.async_wait_status(
            'e0',
            lambda status: (
                len(status['members']) == len(names)
                and all(member['alive'] for member in status['members'])
            ),
        )
        command = [
            sys.executable,
            '-m',
            'yuccavalve',
            'report',
            'burn',
            '--json',
            '--address',
            self.address('e0'),
            '--key-file',
            str(self.cluster.operator_key),
        ]
        completed = await asyncio.to_thread(
            subprocess.run,
            command,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(completed.returncode, 0, completed.stderr)
        document = json.loads(completed.stdout)
        row = document['objectives'][0]
        self.assertEqual((row['good'], row['bad']), (2, 1))
        self.assertLess(row['budget_left'], 0)
        self.assertGreater(document['stranded_host_s'], 0)
