"""Structured logs: one JSON object a line, no prompt text, no keys.

Lines are written to standard output by a thread of their own, so a reader
that stops reading never blocks the daemon, and their number a second is
bounded. What was left out is counted in a line of its own.
"""

import json
import logging as std_logging
import queue
import re
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, TextIO

import attrs
from absl import logging

__all__ = ('JsonFormatter', 'LineBudget', 'LineWriter', 'setup_logs')

# Ordinary lines a second, and in all; a daemon ends some ten requests a
# second on the users' sites, and logs a burst of changes when engines die.
ORDINARY_LINES_PER_S = 200
ALL_LINES_PER_S = 600
_QUEUED_LINES = 4000
_CLOSE_S = 0.3
_MS = 1000
_PAIR = re.compile(
    r'(\w+)='
    r"('(?:[^'\\]|\\.)*'"
    r'|"(?:[^"\\]|\\.)*"'
    r'|\S*)',
)
_QUOTES = frozenset('\'"')
# Ends of requests that were answered as asked; everything else is of more
# use to somebody who looks for a cause.
_ORDINARY_EVENTS = ('event=request_ended', 'event=order')
_ORDINARY_RESULT = 'result=1000'


class JsonFormatter(std_logging.Formatter):
    """Format records as JSON; ``key=word`` pairs become fields."""

    def __init__(self, process_name: str) -> None:
        """Keep the name that every line carries."""
        super().__init__()
        self._process_name = process_name

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the line of a record."""
        message = record.getMessage()
        seconds = time.strftime(
            '%Y-%m-%dT%H:%M:%S',
            time.gmtime(record.created),
        )
        line: dict[str, Any] = {
            'at': f'{seconds}.{int(record.msecs):03d}Z',
            'level': record.levelname.lower(),
            'process': self._process_name,
        }
        pairs = _pairs(message)
        if 'event' not in pairs:
            line['message'] = message
        line.update(pairs)
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line)


@attrs.define
class LineBudget:
    """Bounds the lines of each second.

    Ordinary lines end first, so that refusals, failures and changes of
    belief still find room.

    Attributes
    ----------
    left_out, left_out_total
        Lines that were not written since the last count, and in all.
    """

    ordinary_per_s: int = ORDINARY_LINES_PER_S
    all_per_s: int = ALL_LINES_PER_S
    left_out: int = 0
    left_out_total: int = 0
    _second: int = -1
    _ordinary: int = 0
    _lines: int = 0

    def allow(self, message: str, now_s: float) -> bool:
        """Tell whether a line may be written, and count it."""
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._ordinary = 0
            self._lines = 0
        ordinary = _is_ordinary(message)
        allowed = self._lines < self.all_per_s and (
            not ordinary or self._ordinary < self.ordinary_per_s
        )
        if not allowed:
            self.leave_out()
            return False
        self._lines += 1
        self._ordinary += ordinary
        return True

    def leave_out(self) -> None:
        """Count a line that is not written."""
        self.left_out += 1
        self.left_out_total += 1

    def take_left_out(self) -> int:
        """Return the count of lines left out and begin anew."""
        left_out = self.left_out
        self.left_out = 0
        return left_out


class LineWriter(std_logging.Handler):
    """Hands lines to a thread that writes them."""

    def __init__(
        self,
        stream: TextIO,
        budget: LineBudget,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start the thread."""
        super().__init__()
        self._stream = stream
        self._budget = budget
        self._clock = clock
        self._lines: queue.Queue[str | None] = queue.Queue(_QUEUED_LINES)
        self._thread = threading.Thread(target=self._write_all, daemon=True)
        self._thread.start()

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queue a line unless the budget is spent; never wait."""
        now_s = self._clock()
        message = record.getMessage()
        if not self._budget.allow(message, now_s):
            return
        left_out = self._budget.take_left_out()
        if left_out:
            self._put(self._count_line(record, left_out))
        self._put(self.format(record))

    def close(self) -> None:
        """Write what is queued, as far as the reader takes it at once."""
        try:
            self._lines.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(_CLOSE_S)
        super().close()

    def _put(self, line: str) -> None:
        try:
            self._lines.put_nowait(line)
        except queue.Full:
            self._budget.leave_out()

    def _count_line(self, record: std_logging.LogRecord, count: int) -> str:
        """Return the line that says how many were left out."""
        counted = std_logging.LogRecord(
            record.name,
            std_logging.WARNING,
            record.pathname,
            record.lineno,
            'event=lines_left_out count=%d',
            (count,),
            None,
        )
        return self.format(counted)

    def _write_all(self) -> None:
        while True:
            line = self._lines.get()
            if line is None:
                return
            try:
                self._write(line)
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                return

    def _write(self, line: str) -> None:
        self._stream.write(f'{line}\n')
        if self._lines.empty():
            self._stream.flush()


def setup_logs(process_name: str, *, verbose: bool = False) -> LineBudget:
    """Send the logs to standard output as JSON lines.

    Returns
    -------
    LineBudget
        The budget in force, whose count the metrics show.
    """
    budget = LineBudget()
    writer = LineWriter(sys.stdout, budget)
    writer.setFormatter(JsonFormatter(process_name))
    logger = logging.get_absl_logger()
    std_logging.root.handlers.clear()
    logger.addHandler(writer)
    logger.propagate = False
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
    return budget


def _is_ordinary(message: str) -> bool:
    if not message.startswith(_ORDINARY_EVENTS):
        return False
    return message.startswith('event=order') or _ORDINARY_RESULT in message


def _pairs(message: str) -> dict[str, str | int]:
    return {name: _decoded(text) for name, text in _PAIR.findall(message)}


def _decoded(text: str) -> str | int:
    """Return a number as such and a quoted text without its quotes."""
    if text[:1] in _QUOTES and len(text) > 1:
        return text[1:-1]
    return int(text) if text.isdigit() else text
