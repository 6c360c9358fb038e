"""A table service whose calls proceed one at a time, in a random order."""

import asyncio
import enum
from collections.abc import Sequence
from random import Random

import attrs

from tests.support.fakes import FakeTable
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.ports import Row, Transaction

__all__ = ('Fate', 'SteppedTable', 'Stepper')

_TURNS_PER_STEP = 6


class Fate(enum.Enum):
    """Outcome of one call to the table service."""

    APPLY = 'apply'
    REFUSE = 'refuse'
    LOSE_ANSWER = 'lose_answer'
    APPLY_LATE = 'apply_late'


@attrs.define
class Stepper:
    """Releases one blocked call per step, chosen at random.

    Calls of the paused owner stay blocked.
    """

    random: Random
    fault_rate: float = 0.15
    paused_owner: str = ''
    _waiting: list[tuple[str, asyncio.Future[Fate]]] = attrs.field(
        factory=list,
    )

    async def async_wait(self, owner: str = '') -> Fate:
        """Block until a step releases the call; return its fate."""
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((owner, future))
        return await future

    async def async_step(self) -> bool:
        """Release one blocked call; return whether there was one."""
        for _ in range(_TURNS_PER_STEP):
            await asyncio.sleep(0)
        self._waiting = [
            (owner, future)
            for owner, future in self._waiting
            if not future.done()
        ]
        ready = [
            future
            for owner, future in self._waiting
            if not owner or owner != self.paused_owner
        ]
        if not ready:
            return False
        chosen = self.random.choice(ready)
        fate = Fate.APPLY
        if self.random.random() < self.fault_rate:
            fate = self.random.choice(list(Fate)[1:])
        chosen.set_result(fate)
        return True


@attrs.define
class SteppedTable:
    """A table whose requests and answers each wait for the stepper."""

    table: FakeTable
    stepper: Stepper
    owner: str = ''

    async def async_read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows, or fail before reaching the table."""
        await self._async_reach_table()
        rows = await self.table.async_read(keys)
        await self.stepper.async_wait(self.owner)
        return rows

    async def async_scan(self, prefix: str) -> list[Row]:
        """Scan rows, or fail before reaching the table."""
        await self._async_reach_table()
        rows = await self.table.async_scan(prefix)
        await self.stepper.async_wait(self.owner)
        return rows

    async def async_transact(self, transaction: Transaction) -> None:
        """Apply the transaction now, late or never, or lose the answer."""
        fate = await self.stepper.async_wait(self.owner)
        if fate is Fate.REFUSE:
            raise StoreUnavailableError('call refused', may_have_applied=True)
        if fate is Fate.APPLY_LATE:
            asyncio.create_task(self._async_apply_late(transaction))
            raise StoreUnavailableError('call timed out', may_have_applied=True)
        await self.table.async_transact(transaction)
        if fate is Fate.LOSE_ANSWER:
            raise StoreUnavailableError('answer lost', may_have_applied=True)
        await self.stepper.async_wait(self.owner)

    async def _async_apply_late(self, transaction: Transaction) -> None:
        await self.stepper.async_wait(self.owner)
        try:
            await self.table.async_transact(transaction)
        except Exception:  # noqa: BLE001 nobody awaits a late write
            return

    async def _async_reach_table(self) -> None:
        fate = await self.stepper.async_wait(self.owner)
        if fate is not Fate.APPLY:
            raise StoreUnavailableError('table unreachable')
