"""What a daemon does before its imports, with and without neighbors."""

import contextlib
import socket
import unittest

from yuccavalve.daemon.early_start import NOTHING_DONE, EarlyStart, start_early
from yuccavalve.sockets import bind_socket

_ANY_PORT = '127.0.0.1:0'


class EarlyStartTest(unittest.TestCase):
    """A daemon with neighbors that listen, or whose hosts refuse."""

    def setUp(self) -> None:
        """Close the sockets of the test at its end."""
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)

    def _address(self, *, listens: bool) -> str:
        listener = self.stack.enter_context(bind_socket(_ANY_PORT))
        if listens:
            listener.listen()
        host, port = listener.getsockname()
        return f'{host}:{port}'

    def _start(self, peers: list[str] | None) -> EarlyStart:
        early_start = start_early(_ANY_PORT, peers)
        if early_start.listener is not None:
            self.stack.enter_context(early_start.listener)
        return early_start

    def test_callers_of_a_lone_daemon_are_not_refused(self) -> None:
        refusing = [self._address(listens=False) for _ in range(4)]
        early_start = self._start(refusing)
        self.assertTrue(early_start.others_are_down)
        with socket.create_connection(early_start.listener.getsockname(), 1):
            """Connected: the caller waits in the queue."""

    def test_callers_are_left_to_a_neighbor_that_runs(self) -> None:
        peers = [self._address(listens=each == 3) for each in range(5)]
        self.assertIs(self._start(peers), NOTHING_DONE)

    def test_unknown_neighbors_may_run(self) -> None:
        self.assertIs(self._start(None), NOTHING_DONE)

    def test_unusable_addresses_do_not_end_the_start(self) -> None:
        early_start = self._start(['', 'host', '127.0.0.1:none'])
        self.assertTrue(early_start.others_are_down)
