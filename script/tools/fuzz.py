"""Feed mutated answers to the reader of engines' answers.

``python -m script.tools.fuzz --seed N --seconds S`` prints how many inputs were
read, and the first that broke a property.
"""

import argparse
import re
import sys
import time
from collections.abc import Iterator
from random import Random
from typing import Any

import attrs

from yuccavalve.adapters.exchange import HttpAnswer
from yuccavalve.ports.backend import BodyFraming

__all__ = ('AnswerInput', 'find_violation', 'inputs')

_OK = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
_SWITCH = b'HTTP/1.1 101 Other\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n'
_ANSWERS = (
    _OK + b'x-a: 1\r\ncontent-length: 5\r\n\r\nhello',
    _OK + _CHUNKED + b'5;a=b\r\nhello\r\n0\r\nx-t: 1\r\n\r\n',
    _OK + b'x-a: 1\r\n\r\nid: 1\ndata: hello\n\n',
    b'HTTP/1.1 100 Continue\r\n\r\n' + _OK + b'content-length: 0\r\n\r\n',
    b'HTTP/1.1 503 No\r\nretry-after: 1\r\ncontent-length: 2\r\n\r\n{}',
    b'HTTP/1.1 204 No\r\n\r\n',
    _SWITCH + b'hello',
)
_FRAGMENTS = (
    b'\r\n',
    b'\n\n',
    b'\0',
    b'0\r\n\r\n',
    b'ffffffffffffffff\r\n',
    b'content-length: 5\r\n',
    b'content-length: -1\r\n',
    b'transfer-encoding: chunked\r\n',
    b'transfer-encoding: gzip\r\n',
    _OK,
    b'x' * 70000,
    b'x-a: 1\r\n' * 9000,
    b'1;' + b'y' * 9000,
)
_METHODS = ('GET', 'POST', 'HEAD')
_FINAL_STATUSES = range(200, 600)
_STATUS_LINE = re.compile(rb'HTTP/1\.1 (\d+)')
# Besides any number of three digits.
_ODD_STATUSES = (b'', b'0', b'20', b'0200', b'2000', b'-20', b'2 0', b'abc')
_INTERIM_BODY = b'content-length: 4\r\n\r\nnone'
_MAX_MUTATIONS = 4
_MAX_PARTS = 5
# The bounds of the reader, and one chunk as the event loop reads it.
_MAX_HELD_BYTES = 1000000
_MAX_OVERHEAD_BYTES = 65536


@attrs.frozen
class AnswerInput:
    """Bytes of a connection, and how it ends.

    Attributes
    ----------
    whole
        Whether the bytes are a final answer that was not mutated.
    parts
        The same bytes as they arrive.
    ends_in_order
        Whether the connection is closed instead of reset.
    """

    method: str
    whole: bool
    parts: tuple[bytes, ...]
    ends_in_order: bool


class _Transport:
    """Transport that only knows whether it was aborted."""

    closed = False

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def pause_reading(self) -> None:
        """Do nothing: the parts come in any case."""


def inputs(seed: int) -> Iterator[AnswerInput]:
    """Yield answers that are mutated, cut, repeated or whole, without end."""
    random = Random(seed)
    while True:
        sent = random.choice(_ANSWERS)
        is_defined = random.random() < 0.7
        if not is_defined:
            sent = _with_other_status(sent, random)
        mutations = random.randrange(_MAX_MUTATIONS)
        for _ in range(mutations):
            sent = _mutated(sent, random)
        yield AnswerInput(
            random.choice(_METHODS),
            is_defined and not mutations and not sent.startswith(_SWITCH),
            tuple(_split(sent, random)),
            random.random() < 0.5,
        )


def _with_other_status(sent: bytes, random: Random) -> bytes:
    """Return an answer with a status of any number, or with none.

    It may come after an interim answer that has a body.
    """
    status = b'%03d' % random.randrange(1000)
    if random.random() < 0.2:
        status = random.choice(_ODD_STATUSES)
    if random.random() < 0.3:
        return b'HTTP/1.1 %b X\r\n' % status + _INTERIM_BODY + sent
    return _STATUS_LINE.sub(b'HTTP/1.1 ' + status, sent, 1)


def _mutated(sent: bytes, random: Random) -> bytes:
    begin = random.randrange(len(sent) + 1)
    end = random.randrange(begin, len(sent) + 1)
    kind = random.randrange(5)
    if kind == 0:
        return sent[:begin]
    if kind == 1:
        return sent[:begin] + sent[end:]
    if kind == 2:
        return sent[:end] + sent[begin:]
    if kind == 3:
        return sent[:begin] + random.choice(_FRAGMENTS) + sent[begin:]
    return sent[:begin] + random.randbytes(end - begin) + sent[end:]


def _split(sent: bytes, random: Random) -> Iterator[bytes]:
    cuts = sorted(
        random.randrange(len(sent) + 1)
        for _ in range(random.randrange(_MAX_PARTS))
    )
    for begin, end in zip((0, *cuts), (*cuts, len(sent)), strict=True):
        yield sent[begin:end]


def find_violation(received: AnswerInput) -> str:
    """Return which property an input breaks; empty if it breaks none."""
    in_parts = _read(received, received.parts)
    at_once = _read(received, (b''.join(received.parts),))
    if max(in_parts.held_bytes, at_once.held_bytes) > _MAX_HELD_BYTES:
        return f'{in_parts.held_bytes} bytes held'
    # The bound of what is not body is looked at after each part.
    is_small = sum(map(len, received.parts)) < _MAX_OVERHEAD_BYTES
    if is_small and in_parts.outcome != at_once.outcome:
        return f'{in_parts.outcome} in parts, {at_once.outcome} at once'
    complete, status, _ = in_parts.outcome
    if complete and status not in _FINAL_STATUSES:
        return f'complete with status {status}'
    if in_parts.has_body_without_head:
        return 'a body without a head'
    unframed = in_parts.framing is BodyFraming.CONNECTION
    if complete and unframed and not received.ends_in_order:
        return 'complete after a reset'
    if in_parts.ended_by_connection and not unframed:
        return 'completed by the end of the connection'
    if received.whole and received.ends_in_order and not complete:
        return 'a whole answer is lost'
    return ''


@attrs.frozen
class _Reading:
    outcome: tuple[bool, int, bytes]
    framing: BodyFraming
    held_bytes: int
    ended_by_connection: bool
    has_body_without_head: bool


def _read(received: AnswerInput, parts: tuple[bytes, ...]) -> _Reading:
    answer: Any = HttpAnswer(received.method)
    transport = _Transport()
    answer.connection_made(transport)
    for part in parts:
        if not transport.closed:
            answer.data_received(part)
    was_complete = answer.complete
    if not transport.closed and received.ends_in_order:
        answer.eof_received()
    answer.connection_lost(
        None if received.ends_in_order else ConnectionResetError()
    )
    body = b''.join(answer._parts)
    held_bytes = len(body) + sum(
        len(name) + len(text) for name, text in answer.headers
    )
    outcome = (answer.complete, answer.status, body)
    if not answer.complete:
        outcome = (False, 0, b'')
    ended_by_connection = answer.complete and not was_complete
    return _Reading(
        outcome,
        answer.framing,
        held_bytes,
        ended_by_connection,
        bool(body) and not answer.status,
    )


def main() -> int:
    """Fuzz for a time and print what was found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=600)
    arguments = parser.parse_args()
    until_s = time.monotonic() + arguments.seconds
    count = 0
    for received in inputs(arguments.seed):
        count += 1
        found = find_violation(received)
        if found:
            print(f'input {count}: {found}: {received}')
            return 1
        if time.monotonic() > until_s:
            break
    print(f'{count} inputs of seed {arguments.seed}, none broke a property')
    return 0


if __name__ == '__main__':
    sys.exit(main())
