"""Test what becomes of waiting requests when a partition is found."""

import unittest
from random import Random
from unittest import mock

from yuccavalve.admission import WaitingRequest
from yuccavalve.clock import ManualClock
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.gateway.waiting import AdmissionGate
from yuccavalve.results import ResultCode


class PartitionedGateTest(unittest.TestCase):
    """A request that waits for an engine."""

    def test_refusal_names_the_partition(self) -> None:
        """Guards against a code that ends the search for a neighbor.

        The request may have been relayed to this daemon; the daemon that sent
        it passes a refusal about the model on instead of trying another one.
        """
        gate = AdmissionGate(
            mock.Mock(), mock.Mock(), ManualClock(10), Random(1)
        )
        context = mock.Mock()
        gate.queue.push(
            WaitingRequest(
                pool=('llm', 'm'),
                workspace='w',
                request_class='chat',
                rank=1,
                cost=1,
                size_bytes=1,
                entered_at_s=10,
                first_arrived_at_s=10,
                give_up_at_s=12,
                context=context,
            )
        )
        gate.refuse_unreachable()
        error = context.resolve.call_args.args[0]
        self.assertIsInstance(error, RequestRefusedError)
        self.assertEqual(error.code, ResultCode.ENGINES_UNREACHABLE)
        self.assertEqual(len(gate.queue), 0)
