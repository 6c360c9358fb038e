"""Signals that reach a daemon while it starts."""

import os
import signal
import subprocess
import sys
import time
import unittest
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[2]
_TIMEOUT_S = 30.0
_POLL_S = 0.005
_HANGUP_BIT = 1 << (signal.SIGHUP - 1)


def _ignores_hangup(process: subprocess.Popen[bytes]) -> bool:
    """Return whether a process ignores SIGHUP."""
    status = Path(f'/proc/{process.pid}/status').read_text()
    for line in status.splitlines():
        name, _, mask = line.partition(':')
        if name == 'SigIgn':
            return bool(int(mask, 16) & _HANGUP_BIT)
    return False


class StartTest(unittest.TestCase):
    """A daemon whose settings do not exist, so that it ends by itself."""

    def test_hangup_during_the_imports_does_not_end_the_daemon(self) -> None:
        process = subprocess.Popen(
            [sys.executable, 'platform/serve.py'],
            cwd=_ROOT,
            env={**os.environ, 'YUCCAVALVE_NODE_FILE': '/nonexistent'},
            stderr=subprocess.DEVNULL,
        )
        until_s = time.monotonic() + _TIMEOUT_S
        while process.poll() is None and time.monotonic() < until_s:
            if _ignores_hangup(process):
                process.send_signal(signal.SIGHUP)
                break
            time.sleep(_POLL_S)
        self.assertIsNone(process.poll(), 'SIGHUP was never ignored')
        self.assertEqual(process.wait(_TIMEOUT_S), 1)
