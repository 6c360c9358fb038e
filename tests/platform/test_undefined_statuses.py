"""Answers whose status is neither an interim nor a final one.

Guards against callers who get the answer of an engine in trouble as an
engine's, as when its status was 000, whose connection is closed without an
answer, or who are told that a request has not run that may have.
"""

import asyncio
import itertools
import unittest

import attrs

from tests.platform.scripted import (
    ONCE,
    REPEATABLE,
    RESUMABLE,
    STREAM_ONCE,
    UNDEFINED_STATUSES,
    Batch,
    Found,
    check_broken,
)
from tests.platform.test_broken_heads import OneDaemon
from tests.platform.test_broken_relayed_heads import RelayingDaemons
from tests.support.byte_server import ByteServer
from yuccavalve.adapters.backend import BackendCall, BackendClient
from yuccavalve.adapters.http import CallFailedError, HttpJsonClient
from yuccavalve.exceptions import BackendLostError, StoreUnavailableError
from yuccavalve.ports import Transaction, Write
from yuccavalve.ports.fleet import (
    EngineNotice,
    EngineRecord,
    GroupOrder,
    GroupOrderKind,
    OrderOutcome,
)
from yuccavalve_platform.client import JsonClient
from yuccavalve_platform.engines import EngineControl
from yuccavalve_platform.store import EngineRows, StoreTable

_TARGETS = (ONCE, REPEATABLE, STREAM_ONCE, RESUMABLE)
_TIMEOUT_S = 5.0
_BODIES = (b'', b'{"ver": 7, "rows": [], "in_flight": 1}')


def _batch() -> Batch:
    batch = Batch()
    for target in _TARGETS:
        batch.add_statuses(target)
        batch.add_statuses(target, not_run=True)
        batch.add_interim_bodies(target)
    batch.add_continued_statuses()
    return batch


class EngineStatusTest(OneDaemon):
    """One daemon, three replicas and three plain servers."""

    def _check_answered(self, found: dict[str, Found]) -> None:
        """Check that callers who got no head had a stream that had begun."""
        statuses = {each.status for each in found.values()}
        self.assertLessEqual(statuses, {200, 502})

    async def test_answer_without_a_status_is_none(self) -> None:
        batch = _batch()
        found = await self.async_run_batch(batch)
        check_broken(self, batch, found)
        self._check_answered(found)


class RelayedStatusTest(RelayingDaemons):
    """Four daemons, the first of which reaches no engine."""

    async def test_engine_of_another_daemon(self) -> None:
        await self.async_check(_batch(), check_broken)

    async def test_another_daemon(self) -> None:
        self.redirect()
        await self.async_check(_batch(), check_broken)


@attrs.define
class _Notices:
    """Keeps what engines say of themselves."""

    recorded: list[EngineNotice] = attrs.field(factory=list)

    def record(self, engine: EngineRecord, notice: EngineNotice) -> None:
        self.recorded.append(notice)


class ControlStatusTest(unittest.IsolatedAsyncioTestCase):
    """Readers of the answers that callers don't get."""

    async def asyncSetUp(self) -> None:  # noqa: N802
        """Start a server."""
        self.server = ByteServer()
        await self.server.async_start()
        self.addAsyncCleanup(self.server.async_stop)
        self.client = JsonClient()
        address = self.server.address
        self.engine = EngineRecord('i-1', 'llm', address, 'zone-a')
        self.table = StoreTable.from_address(self.client, address, _TIMEOUT_S)

    def _answer(self, status: bytes, body: bytes) -> None:
        self.server.answer_bytes = b''.join(
            (
                b'HTTP/1.1 ',
                status,
                b'\r\nserver-leaving: 1\r\nretry-after: 9\r\n',
                b'content-length: %d\r\n\r\n' % len(body),
                body,
            )
        )
        self.server.holds = True

    async def test_each_reader_takes_it_for_no_answer(self) -> None:
        """At once: a reader that waits for more runs into the time limit."""
        for status, body in itertools.product(UNDEFINED_STATUSES, _BODIES):
            self._answer(status, body)
            with self.subTest(status=status, body=body):
                async with asyncio.timeout(_TIMEOUT_S):
                    await self._async_check_engine()
                    await self._async_check_store()
                    await self._async_check_own_adapters()

    async def _async_check_engine(self) -> None:
        """An order may have begun; a report and a notice are none."""
        notices = _Notices()
        control = EngineControl(self.client, notices)
        order = GroupOrder(GroupOrderKind.CLOSE, 'r1', 7)
        outcome = await control.async_order(self.engine, order)
        self.assertIs(outcome, OrderOutcome.UNKNOWN)
        self.assertIsNone(await control.async_report(self.engine))
        self.assertEqual(notices.recorded, [])

    async def _async_check_store(self) -> None:
        """A write may have been applied; rows are unread."""
        with self.assertRaises(StoreUnavailableError) as raised:
            write = Write('lease/planner', {'holder': 'a'})
            await self.table.async_transact(Transaction((), (write,)))
        self.assertTrue(raised.exception.may_have_applied)
        with self.assertRaises(StoreUnavailableError):
            await EngineRows(self.table.calls).async_read()

    async def _async_check_own_adapters(self) -> None:
        """The product's calls and streams are lost, and may have run."""
        address = self.server.address
        with self.assertRaises(CallFailedError) as raised:
            await HttpJsonClient(_TIMEOUT_S).async_post(address, '/x')
        self.assertTrue(raised.exception.sent)
        call = BackendCall('POST', address, '/x', {}, b'', _TIMEOUT_S)
        with self.assertRaises(BackendLostError):
            await BackendClient().async_open(call)
