"""Structured logs: one JSON object per line, without prompts and keys.

A dedicated thread writes the lines to standard output, so that a reader that
stops reading never blocks the daemon. The number of lines per second is
limited; the number of dropped lines is logged in a line of its own.
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

__all__ = (
    'JsonFormatter',
    'LogRateLimiter',
    'ThreadedLogHandler',
    'setup_logs',
)

# A daemon in production completes about ten requests per second, and logs a
# burst of state changes when engines fail.
MAX_ROUTINE_LINES_PER_S = 200
MAX_LINES_PER_S = 600
_MAX_QUEUED_LINES = 4000
_CLOSE_TIMEOUT_S = 0.3
_MS = 1000
_FIELD_PATTERN = re.compile(
    r'(\w+)='
    r"('(?:[^'\\]|\\.)*'"
    r'|"(?:[^"\\]|\\.)*"'
    r'|\S*)',
)
_MAX_DIGITS = 20
_QUOTES = frozenset('\'"')
# Answered requests and orders to engines are the first lines to be dropped:
# refusals, failures and state changes matter more when a fault is traced.
_ROUTINE_EVENTS = ('event=request_ended', 'event=order')
_ROUTINE_RESULT = 'result=1000'


class JsonFormatter(std_logging.Formatter):
    """Formats records as JSON; ``name=value`` pairs become fields."""

    def __init__(self, process_name: str) -> None:
        """Set the process name that every line carries."""
        super().__init__()
        self._process_name = process_name

    def format(self, record: std_logging.LogRecord) -> str:
        """Return a record as one line of JSON."""
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
        fields = _parse_fields(message)
        if 'event' not in fields:
            line['message'] = message
        line.update(fields)
        if record.exc_info:
            line['exception'] = self.formatException(record.exc_info)
        return json.dumps(line)


@attrs.define
class LogRateLimiter:
    """Limits the number of log lines per second.

    Routine lines have a lower limit of their own, so that they can't crowd
    out refusals, failures and state changes.

    Attributes
    ----------
    dropped, dropped_total
        Lines dropped since the last report of dropped lines, and in total.
    """

    routine_per_s: int = MAX_ROUTINE_LINES_PER_S
    total_per_s: int = MAX_LINES_PER_S
    dropped: int = 0
    dropped_total: int = 0
    _second: int = -1
    _routine_lines: int = 0
    _lines: int = 0

    def allow(self, message: str, now_s: float) -> bool:
        """Count a line and return whether it may be written."""
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._routine_lines = 0
            self._lines = 0
        routine = _is_routine(message)
        allowed = self._lines < self.total_per_s and (
            not routine or self._routine_lines < self.routine_per_s
        )
        if not allowed:
            self.count_dropped()
            return False
        self._lines += 1
        self._routine_lines += routine
        return True

    def count_dropped(self) -> None:
        """Count a dropped line."""
        self.dropped += 1
        self.dropped_total += 1

    def take_dropped(self) -> int:
        """Return the number of dropped lines and reset it."""
        dropped = self.dropped
        self.dropped = 0
        return dropped


class ThreadedLogHandler(std_logging.Handler):
    """Queues lines for a thread that writes them to a stream."""

    def __init__(
        self,
        stream: TextIO,
        budget: LogRateLimiter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start the writer thread."""
        super().__init__()
        self._stream = stream
        self._budget = budget
        self._clock = clock
        self._queue: queue.Queue[str | None] = queue.Queue(_MAX_QUEUED_LINES)
        self._thread = threading.Thread(target=self._write_queued, daemon=True)
        self._thread.start()

    def emit(self, record: std_logging.LogRecord) -> None:
        """Queue a line without blocking, unless it is over the limit."""
        now_s = self._clock()
        message = record.getMessage()
        if not self._budget.allow(message, now_s):
            return
        dropped = self._budget.take_dropped()
        if dropped:
            self._enqueue(self._dropped_line(record, dropped))
        self._enqueue(self.format(record))

    def close(self) -> None:
        """Write the queued lines, but don't wait for a slow reader."""
        try:
            self._queue.put_nowait(None)
        except queue.Full:
            return
        self._thread.join(_CLOSE_TIMEOUT_S)
        super().close()

    def _enqueue(self, line: str) -> None:
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            self._budget.count_dropped()

    def _dropped_line(self, record: std_logging.LogRecord, count: int) -> str:
        """Return the line that reports the number of dropped lines."""
        dropped_record = std_logging.LogRecord(
            record.name,
            std_logging.WARNING,
            record.pathname,
            record.lineno,
            'event=lines_left_out count=%d',
            (count,),
            None,
        )
        return self.format(dropped_record)

    def _write_queued(self) -> None:
        while True:
            line = self._queue.get()
            if line is None:
                return
            try:
                self._write(line)
            except OSError:
                # The reader closed the stream, so this can't be logged.
                return

    def _write(self, line: str) -> None:
        self._stream.write(f'{line}\n')
        if self._queue.empty():
            self._stream.flush()


def setup_logs(process_name: str, *, verbose: bool = False) -> LogRateLimiter:
    """Log to standard output as JSON lines.

    Returns
    -------
    LogRateLimiter
        The rate limit in use; its count of dropped lines is a metric.
    """
    budget = LogRateLimiter()
    writer = ThreadedLogHandler(sys.stdout, budget)
    writer.setFormatter(JsonFormatter(process_name))
    logger = logging.get_absl_logger()
    std_logging.root.handlers.clear()
    logger.addHandler(writer)
    logger.propagate = False
    logging.set_verbosity(logging.INFO if verbose else logging.WARNING)
    return budget


def _is_routine(message: str) -> bool:
    if not message.startswith(_ROUTINE_EVENTS):
        return False
    return message.startswith('event=order') or _ROUTINE_RESULT in message


def _parse_fields(message: str) -> dict[str, str | int]:
    return {
        name: _parse_field(text)
        for name, text in _FIELD_PATTERN.findall(message)
    }


def _parse_field(text: str) -> str | int:
    """Return an integer for digits, and a quoted text without its quotes.

    Texts of outside systems may hold digits that ``int`` refuses, such as
    superscripts or thousands of them; an error would end what logs the line.
    """
    if text[:1] in _QUOTES and len(text) > 1:
        return text[1:-1]
    is_number = len(text) <= _MAX_DIGITS and text.isascii() and text.isdigit()
    return int(text) if is_number else text
