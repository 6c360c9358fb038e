"""A caller that checks every answer it receives."""

import asyncio
import json
from collections.abc import Mapping, Sequence
from typing import Any

import aiosonic
import attrs
from aiosonic.exceptions import AiosonicError
from aiosonic.pools import PoolConfig
from aiosonic.timeout import Timeouts

from yuccavalve.standin.generation import answer_words

__all__ = ('Answer', 'Caller')

_REQUEST_TIMEOUT_S = 60.0
_NO_STATUS = 0
_END_MARK = '[DONE]'


@attrs.define
class Answer:
    """The answer to one request, as its caller received it.

    Attributes
    ----------
    status
        HTTP status; 0 if no response head was received.
    complete
        Whether the answer was complete: with the end mark, and for a
        completion with every expected word in order.
    code
        Result code of an error event, or else of the response head.
    """

    status: int = _NO_STATUS
    code: int = 0
    complete: bool = False
    words: list[str] = attrs.field(factory=list)
    body: Any = None
    headers: dict[str, str] = attrs.field(factory=dict)
    connection_failed: bool = False
    chunk_gaps_s: list[float] = attrs.field(factory=list)

    @property
    def answered(self) -> bool:
        """Return whether there is a complete answer or a result code."""
        return self.complete or self.code > 0


class Caller:
    """Sends requests of one workspace."""

    def __init__(self, key: str) -> None:
        """Create a client that sends the workspace key."""
        self._key = key
        pool = PoolConfig(size=4096, max_conn_requests=0)
        connector = aiosonic.TCPConnector(pool_configs={':default': pool})
        self._client = aiosonic.HTTPClient(connector=connector)

    async def async_entries(self, address: str) -> list[str]:
        """Return the addresses that the entry directory lists."""
        response = await self._client.get(
            f'http://{address}/v1/entries',
            headers=self._headers({}),
        )
        document = json.loads(await response.content())
        return [entry['address'] for entry in document['entries']]

    async def async_complete(
        self,
        address: str,
        model: str,
        prompt: str,
        tokens: int = 16,
        *,
        stream: bool = True,
        headers: Mapping[str, str] | None = None,
        earlier: Sequence[str] = (),
    ) -> Answer:
        """Request a completion and check its words.

        ``earlier`` holds the contents of the messages before the prompt.
        """
        body = {
            'model': model,
            'messages': [
                {'role': 'user', 'content': content}
                for content in (*earlier, prompt)
            ],
            'max_tokens': tokens,
            'stream': stream,
        }
        answer = await self.async_call(
            address,
            'POST',
            '/v1/chat/completions',
            json.dumps(body).encode(),
            headers or {},
        )
        expected = answer_words(prompt, tokens)
        answer.complete = answer.complete and answer.words == expected
        return answer

    async def async_call(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes = b'',
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Send a request and read the whole answer."""
        answer = Answer()
        try:
            await asyncio.wait_for(
                self._async_exchange(
                    answer,
                    address,
                    method,
                    path,
                    body,
                    headers or {},
                ),
                _REQUEST_TIMEOUT_S,
            )
        except (
            AiosonicError,
            OSError,
            ValueError,
            asyncio.IncompleteReadError,
        ):
            answer.connection_failed = True
            answer.complete = False
        return answer

    async def _async_exchange(
        self,
        answer: Answer,
        address: str,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> None:
        response = await self._client.request(
            f'http://{address}{path}',
            method,
            headers=self._headers(headers),
            data=body,
            stream=True,
            timeouts=Timeouts(5, _REQUEST_TIMEOUT_S, None, _REQUEST_TIMEOUT_S),
        )
        answer.status = response.status_code
        answer.headers = {
            name.lower(): text for name, text in response.headers.items()
        }
        answer.code = int(answer.headers.get('x-result-code', 0))
        if response.chunked:
            await _async_read_events(response, answer)
            return
        text = await response.content()
        answer.body = json.loads(text) if text.startswith(b'{') else text
        if isinstance(answer.body, dict) and 'choices' in answer.body:
            message = answer.body['choices'][0]['message']
            answer.words = message['content'].split()
            answer.complete = True
        elif b'[DONE]' in text:
            _read_events(text, answer)
        else:
            answer.complete = answer.status == 200

    def _headers(self, extra: Mapping[str, str]) -> dict[str, str]:
        return {
            'authorization': f'Bearer {self._key}',
            'content-type': 'application/json',
            'connection': 'close',
            **extra,
        }


async def _async_read_events(response: Any, answer: Answer) -> None:
    loop = asyncio.get_running_loop()
    text = b''
    previous_at_s = 0.0
    async for chunk in response.read_chunks():
        at_s = loop.time()
        if previous_at_s:
            answer.chunk_gaps_s.append(at_s - previous_at_s)
        previous_at_s = at_s
        text += chunk
    _read_events(text, answer)


def _read_events(text: bytes, answer: Answer) -> None:
    for event in text.decode().split('\n\n'):
        if event.startswith('event: error'):
            error = json.loads(event.partition('data: ')[2])['error']
            answer.code = error['code']
            answer.body = error
        elif event == f'data: {_END_MARK}':
            answer.complete = True
            answer.code = answer.code or 1000
        elif event.startswith('data: '):
            choice = json.loads(event.removeprefix('data: '))['choices'][0]
            answer.words.append(choice['delta']['content'].strip())
