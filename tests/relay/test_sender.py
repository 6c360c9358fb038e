"""Relaying of a neighbor's answer to a caller that doesn't take it."""

import asyncio
import unittest
from random import Random
from typing import Any
from unittest import mock

from yuccavalve.gateway.models import InboundRequest, RoutedRequest
from yuccavalve.relay.sender import NeighborSender, _Relaying


def _routed(send: mock.Mock) -> RoutedRequest:
    inbound = InboundRequest('', '', 'POST', '', b'', ())
    return RoutedRequest(inbound, mock.Mock(), send, 0)


def _sender(port: mock.Mock) -> NeighborSender:
    clock = mock.Mock(now_s=mock.Mock(return_value=1))
    return NeighborSender(port, mock.Mock(), mock.Mock(), clock, Random(1))


class SenderTest(unittest.IsolatedAsyncioTestCase):
    """Answers of a neighbor and a caller that is about to take them."""

    async def test_engine_s_503_of_a_request_that_ran_is_not_passed_on(
        self,
    ) -> None:
        """Guards against a promise to callers that nobody gave."""
        answer = mock.Mock(status=503, headers=(), code=None)
        answer.async_read_held = mock.AsyncMock(return_value=([], True))
        port = mock.Mock(async_open=mock.AsyncMock(return_value=answer))
        for repeatable in (False, True):
            routed = _routed(mock.AsyncMock())
            routed.route = mock.Mock(repeatable=repeatable)
            relaying = _Relaying(routed, routed.route)
            await _sender(port)._async_attempt(relaying, mock.Mock())
            self.assertEqual(routed.response_began, repeatable)
            self.assertEqual(routed.may_have_run, not repeatable)

    async def test_event_that_was_not_taken_is_not_recorded(self) -> None:
        """Guards against a stream that goes on after an event it lacks."""
        send = mock.AsyncMock(side_effect=(None, None, asyncio.CancelledError))
        routed = _routed(send)
        answer = mock.Mock(status=200, headers=())
        answer.async_read = mock.AsyncMock(
            side_effect=(b'id: 1\ndata: x\n\n', b'id: 2\ndata: x\n\n')
        )
        sender = _sender(mock.Mock())
        with self.assertRaises(asyncio.CancelledError):
            await sender._async_pass_events(routed, answer)
        self.assertEqual(routed.last_event, '1')

    async def test_exchange_is_kept_unless_another_daemon_can_take_over(
        self,
    ) -> None:
        """Guards against answers that are cut since updates are missing."""
        cases = (
            (True, {}, {}, True),
            (False, {}, {}, False),
            (True, {'sent_count': 2}, {}, False),
            (True, {'last_event_at_s': 9.8}, {}, False),
            (True, {'last_event_at_s': 9.5}, {}, True),
            (True, {'response_began': True}, {}, False),
            (True, {}, {'remaining': 0.5}, False),
            (True, {}, {'others': ()}, False),
        )
        for repeatable, state, around, is_cancelled in cases:
            with self.subTest(repeatable, state=state, around=around):
                cancelled = self._cancel_gone(repeatable, state, **around)
                self.assertEqual(cancelled, is_cancelled)

    def _cancel_gone(
        self,
        repeatable: bool,
        state: dict[str, Any],
        remaining: float = 1,
        others: tuple[str, ...] = ('other',),
    ) -> bool:
        sender = _sender(mock.Mock())
        sender.clock.now_s.return_value = 10
        sender.budgets.remaining.return_value = remaining
        sender.chooser.roster.is_live.return_value = False
        members = [mock.Mock(member=each) for each in ('gone', *others)]
        sender.chooser.neighbors.return_value = members
        routed = _routed(mock.AsyncMock())
        routed.sent_count = 1
        for name, value in state.items():
            setattr(routed, name, value)
        route = mock.Mock(repeatable=repeatable, max_attempts=2)
        relaying = _Relaying(
            routed, route, {'gone'}, members[0], cancel=mock.Mock()
        )
        sender._relayings.add(relaying)
        sender.cancel_gone()
        self.assertEqual(relaying.gone, relaying.cancel.called)
        return relaying.gone
