"""Daemons before two zones that the operator may evacuate."""

import asyncio
import unittest

from script.tools.link import Link
from tests.platform import builders
from tests.platform.standin import EngineOptions, FleetStandin
from tests.platform.support import (
    Answer,
    Caller,
    DaemonRun,
    async_stop_all,
    async_until,
)

__all__ = ('TARGET_S', 'ZONES', 'EvacuationFleet')

_DAEMONS = 3
ZONES = ('zone-a', 'zone-b')
_STREAM = {'model': builders.MODEL, 'token_counts': '100,80'}
# Within this time after the row was written no request may reach the zone.
TARGET_S = 2.0


class EvacuationFleet(unittest.IsolatedAsyncioTestCase):
    """Three daemons before two zones, each with a replica and a server."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start the stand-in and the daemons, each behind its own link."""
        self.fleet = FleetStandin()
        self.links: list[Link] = []
        self.daemons: list[DaemonRun] = []
        self._sent = 0
        options = []
        for zone in ZONES:
            options.append(EngineOptions(f'p-{zone}', 'portal', zone))
            options.extend(
                EngineOptions(f'i-{number}-{zone}', 'llm', zone, f'{zone}-d0')
                for number in range(2)
            )
        await self.fleet.async_start(options)
        await self.fleet.async_configure(builders.configuration())
        for number in range(_DAEMONS):
            await self.async_add_daemon(number)
        await async_until(self.are_all_serving, 'all daemons serve')

    async def asyncTearDown(self) -> None:  # noqa: N802
        """Stop the daemons, the stand-in and the links."""
        await async_stop_all(self.fleet, *self.daemons)
        for link in self.links:
            await link.async_close()

    async def async_add_daemon(self, number: int) -> None:
        link = Link(self.fleet.store_address)
        await link.async_start()
        self.links.append(link)
        settings = builders.settings(link.address, name=f'front-{number}')
        daemon = DaemonRun(settings, number)
        self.daemons.append(daemon)
        await daemon.async_start()

    def are_all_serving(self) -> bool:
        return all(
            each.node.live_daemons() == _DAEMONS
            and len(each.node.view.heads('llm', builders.MODEL)) == 2
            and len(each.node.view.backends('portal')) == 2
            for each in self.daemons
        )

    async def async_evacuate(self, *zones: str) -> None:
        for zone in zones:
            await self.fleet.store.async_put('op', f'evacuate/{zone}', {})

    async def async_until_known(self, *zones: str) -> None:
        await async_until(
            lambda: all(
                each.node.evacuations.zones == set(zones)
                for each in self.daemons
            ),
            f'all daemons take {zones} as evacuated',
            TARGET_S,
        )

    async def async_send(self, *daemons: DaemonRun) -> list[Answer]:
        """Send streams and plain requests to each daemon at the same time."""
        calls = []
        for daemon in daemons or self.daemons:
            caller = Caller(daemon.caller_address, builders.KEY)
            for _ in range(3):
                self._sent += 2
                calls.append(
                    caller.async_call(
                        'POST', '/llm/x', f's-{self._sent}', b'{}', **_STREAM
                    )
                )
                calls.append(
                    caller.async_call('GET', '/get/x', f'g-{self._sent}')
                )
        return await asyncio.gather(*calls)

    def runs(self, zone: str) -> int:
        return sum(
            len(each.runs)
            for name, each in self.fleet.engines.items()
            if name.endswith(zone)
        )

    def epochs(self) -> set[tuple[str, int]]:
        heads = self.daemons[0].node.view.heads('llm', builders.MODEL)
        return {(each.engine, each.membership.epoch) for each in heads}
