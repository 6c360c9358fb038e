"""Generation of one answer by the engine stand-in.

A generation outlives the connections that read it.
"""

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator
from typing import Any

from yuccavalve.standin.const import DONE_EVENT

__all__ = ('Generation', 'answer_words', 'prompt_digest')

_DIGEST_LENGTH = 8


def prompt_digest(prompt: str) -> str:
    """Return the digest that prefixes each word of a prompt's answer."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:_DIGEST_LENGTH]


def answer_words(prompt: str, tokens: int) -> list[str]:
    """Return the words of the complete answer to a prompt."""
    digest = prompt_digest(prompt)
    return [f'{digest}-{index}' for index in range(tokens)]


class Generation:
    """Events of one request, kept so that a stream can be resumed."""

    def __init__(
        self, request_id: str, idempotency_key: str, prompt: str
    ) -> None:
        """Start without events."""
        self.request_id = request_id
        self.idempotency_key = idempotency_key
        self.prompt = prompt
        self.events: list[bytes] = []
        self.finished = False
        self.cancelled = False
        self.crashes = False
        self.readers = 0
        self._changed = asyncio.Event()

    def append_word(self, word: str) -> None:
        """Append an event with one word."""
        choice = {'index': 0, 'delta': {'content': f'{word} '}}
        body = json.dumps({'id': self.request_id, 'choices': [choice]})
        self.events.append(f'data: {body}\n\n'.encode())
        self._notify_readers()

    def finish(self) -> None:
        """Append the end marker."""
        self.events.append(DONE_EVENT)
        self.finished = True
        self._notify_readers()

    def cancel(self) -> None:
        """Stop without an end marker."""
        self.cancelled = True
        self._notify_readers()

    def complete_answer(self, model: str) -> dict[str, Any]:
        """Return the complete answer for a caller that doesn't stream."""
        words = answer_words(self.prompt, len(self.events) - 1)
        text = ' '.join(words)
        message = {'role': 'assistant', 'content': text}
        return {
            'id': self.request_id,
            'model': model,
            'choices': [{'index': 0, 'message': message}],
        }

    async def async_wait_end(self) -> None:
        """Wait until the generation is finished or cancelled."""
        while not (self.finished or self.cancelled):
            await self._async_wait_change()

    async def async_follow(self, offset: int) -> AsyncIterator[bytes]:
        """Yield the events from an offset on, until the generation ends."""
        while True:
            while offset < len(self.events):
                yield self.events[offset]
                offset += 1
            if self.finished or self.cancelled:
                return
            await self._async_wait_change()

    async def _async_wait_change(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def _notify_readers(self) -> None:
        self._changed.set()
