"""Model of the ledger: duplicate requests, crashes and lost answers."""

import asyncio
from collections import Counter
from random import Random

from script.tools.prove.stepper import Stepper, SteppedTable
from tests.support.fakes import FakeTable
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.requests.ledger import Ledger, LedgerId, may_claim
from yuccavalve.requests.models import LedgerEntry, LedgerState

__all__ = ('LedgerModel',)

_KEYS = ('k1', 'k2', 'k3')
_DAEMONS = 3


class _Objects:
    """An in-memory object store."""

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}

    async def async_put(self, name: str, body: bytes) -> None:
        self.bodies[name] = body

    async def async_get(self, name: str) -> bytes | None:
        return self.bodies.get(name)


class LedgerModel:
    """Callers send the same idempotency keys through three daemons."""

    def __init__(self, random: Random, *, check_ledger: bool = True) -> None:
        """Start with an empty table.

        Without ``check_ledger`` requests run whatever the ledger says, which
        the model has to detect.
        """
        self.random = random
        self.violations: list[str] = []
        self.trace: list[str] = []
        self.runs: Counter[str] = Counter()
        self.reported_not_run: set[str] = set()
        self._ran_attempts: set[str] = set()
        self._check_ledger = check_ledger
        self._table = FakeTable()
        self._stepper = Stepper(random)
        self._port = SteppedTable(self._table, self._stepper)
        self._objects = _Objects()
        self._attempts = 0

    async def async_run(self, steps: int) -> None:
        """Run a number of steps."""
        ledgers = [Ledger(self._port, self._objects) for _ in range(_DAEMONS)]
        tasks: set[asyncio.Task[None]] = set()
        for _ in range(steps):
            if len(tasks) < 6:
                ledger = self.random.choice(ledgers)
                tasks.add(asyncio.create_task(self._async_attempt(ledger)))
            if not await self._stepper.async_step():
                await asyncio.sleep(0.001)
            if tasks and self.random.random() < 0.01:
                self.random.choice(sorted(tasks, key=id)).cancel()
            tasks = {task for task in tasks if not task.done()}
            self._check()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_attempt(self, ledger: Ledger) -> None:
        self._attempts += 1
        request_id = f'attempt-{self._attempts}'
        key = self.random.choice(_KEYS)
        ledger_id = LedgerId('w', key)
        entry = LedgerEntry('digest', LedgerState.RUNNING, request_id, 'm')
        try:
            found = await ledger.async_find(ledger_id)
            if self._check_ledger and not may_claim(found, entry.digest):
                return
            claimed = await ledger.async_claim(ledger_id, entry)
        except StoreUnavailableError:
            self.reported_not_run.add(request_id)
            return
        if not claimed and self._check_ledger:
            return
        await self._async_serve(ledger, ledger_id, entry)

    async def _async_serve(
        self,
        ledger: Ledger,
        ledger_id: LedgerId,
        entry: LedgerEntry,
    ) -> None:
        """Run or refuse the request, then write the outcome.

        Cancelling the task stands for a crash before the outcome is written.
        """
        state = LedgerState.NOT_RUN
        if self.random.random() < 0.7:
            self.runs[ledger_id.key] += 1
            self._ran_attempts.add(entry.request_id)
            self.trace.append(f'{entry.request_id} runs {ledger_id.key}')
            state = LedgerState.ANSWERED
        else:
            self.reported_not_run.add(entry.request_id)
        finished = LedgerEntry(
            entry.digest,
            state,
            entry.request_id,
            entry.member,
        )
        await ledger.async_finish(ledger_id, finished, b'answer')

    def _check(self) -> None:
        for key, count in self.runs.items():
            if count > 1:
                self.violations.append(f'{key} ran {count} times')
        both = self._ran_attempts & self.reported_not_run
        if both:
            self.violations.append(f'reported as not run, but ran: {both}')
