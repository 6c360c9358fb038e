"""Read a request's body and headers."""

import json
from typing import Any

import attrs

from yuccavalve.const import (
    DEFAULT_DEADLINE_S,
    HEADER_AT_MOST_ONCE,
    HEADER_CLASS,
    HEADER_DEADLINE,
    HEADER_IDEMPOTENCY_KEY,
)
from yuccavalve.exceptions import RequestRefusedError
from yuccavalve.inflight import async_read_body
from yuccavalve.load.const import (
    BYTES_PER_TOKEN,
    CLASS_ORDER,
    DEFAULT_CLASS,
    DEFAULT_MAX_TOKENS,
)
from yuccavalve.prompts import part_ids
from yuccavalve.requests.const import (
    COMPLETIONS_PATH,
    MAX_DEADLINE_S,
    MAX_KEY_LENGTH,
    PREFIX_CHARACTERS,
    SERVICES_PREFIX,
)
from yuccavalve.requests.models import Exchange
from yuccavalve.results import ResultCode

__all__ = ('ParseBody', 'ParseHeaders', 'ReadBody')

_FLAG_TRUE = 'true'
_FLAG_FALSE = 'false'


@attrs.frozen
class ReadBody:
    """Read the body, up to a size limit."""

    max_body_bytes: int

    async def async_apply(self, exchange: Exchange) -> None:
        """Read the whole body."""
        declared = exchange.headers.get('content-length', '0')
        if declared.isdigit() and int(declared) > self.max_body_bytes:
            raise self._too_large()
        exchange.body = await async_read_body(
            exchange.receive,
            self.max_body_bytes,
        )
        exchange.body_read.set()

    def _too_large(self) -> RequestRefusedError:
        return RequestRefusedError(
            ResultCode.BODY_TOO_LARGE,
            f'body: expected at most {self.max_body_bytes} bytes',
        )


@attrs.frozen
class ParseHeaders:
    """Parse key, request class, deadline and at-most-once flag."""

    async def async_apply(self, exchange: Exchange) -> None:
        """Set the fields that come from headers."""
        exchange.key = _idempotency_key(exchange.headers)
        exchange.at_most_once = _at_most_once(exchange.headers)
        if exchange.at_most_once and not exchange.key:
            raise RequestRefusedError(
                ResultCode.KEY_REQUIRED,
                f'{HEADER_IDEMPOTENCY_KEY}: a request with '
                f'{HEADER_AT_MOST_ONCE} needs a key',
            )
        exchange.request_class = _request_class(exchange.headers)
        deadline_s = _deadline_s(exchange.headers)
        exchange.deadline_at_s = exchange.arrived_at_s + deadline_s


@attrs.frozen
class ParseBody:
    """Parse what admission and routing need from the body."""

    async def async_apply(self, exchange: Exchange) -> None:
        """Parse a chat completion; only measure a plain service's body."""
        if exchange.path.startswith(SERVICES_PREFIX):
            exchange.cost_tokens = 1 + len(exchange.body) // BYTES_PER_TOKEN
            return
        if exchange.path != COMPLETIONS_PATH:
            raise RequestRefusedError(ResultCode.PATH_UNKNOWN, exchange.path)
        document = _json_object(exchange.body)
        _check_messages(document)
        max_tokens = document.get('max_tokens', DEFAULT_MAX_TOKENS)
        if not isinstance(max_tokens, int) or max_tokens < 1:
            raise _invalid('max_tokens: expected an integer of 1 or more')
        exchange.streaming = document.get('stream') is True
        prompt_tokens = len(exchange.body) // BYTES_PER_TOKEN
        exchange.cost_tokens = prompt_tokens + max_tokens
        first_content = str(document['messages'][0].get('content', ''))
        exchange.prefix_key = first_content[:PREFIX_CHARACTERS]
        exchange.prompt_parts = part_ids(
            message['content'] for message in document['messages']
        )


def requested_model(exchange: Exchange) -> str:
    """Return the model that a parsed chat completion names."""
    return str(json.loads(exchange.body).get('model', ''))


def _json_object(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _invalid(f'body: not JSON: {error}') from error
    if not isinstance(document, dict):
        raise _invalid('body: expected an object')
    return document


def _check_messages(document: dict[str, Any]) -> None:
    if not isinstance(document.get('model'), str):
        raise _invalid('model: expected a string')
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        raise _invalid('messages: expected a list of one or more')
    for number, message in enumerate(messages):
        is_object = isinstance(message, dict)
        if not is_object or not isinstance(message.get('content'), str):
            raise _invalid(f'messages.{number}.content: expected a string')


def _invalid(text: str) -> RequestRefusedError:
    return RequestRefusedError(ResultCode.BODY_INVALID, text)


def _header_invalid(text: str) -> RequestRefusedError:
    return RequestRefusedError(ResultCode.HEADER_INVALID, text)


def _idempotency_key(headers: dict[str, str]) -> str:
    key = headers.get(HEADER_IDEMPOTENCY_KEY, '')
    if len(key) > MAX_KEY_LENGTH or not key.isprintable():
        raise _header_invalid(
            f'{HEADER_IDEMPOTENCY_KEY}: expected at most '
            f'{MAX_KEY_LENGTH} characters',
        )
    return key


def _at_most_once(headers: dict[str, str]) -> bool:
    flag = headers.get(HEADER_AT_MOST_ONCE, _FLAG_FALSE)
    if flag not in {_FLAG_TRUE, _FLAG_FALSE}:
        raise _header_invalid(f'{HEADER_AT_MOST_ONCE}: expected true or false')
    return flag == _FLAG_TRUE


def _request_class(headers: dict[str, str]) -> str:
    name = headers.get(HEADER_CLASS, DEFAULT_CLASS)
    if name not in CLASS_ORDER:
        raise _header_invalid(
            f'{HEADER_CLASS}: expected one of {", ".join(CLASS_ORDER)}',
        )
    return name


def _deadline_s(headers: dict[str, str]) -> float:
    text = headers.get(HEADER_DEADLINE, str(DEFAULT_DEADLINE_S))
    try:
        deadline_s = float(text)
    except ValueError as error:
        raise _header_invalid(f'{HEADER_DEADLINE}: not a number') from error
    if not 0 < deadline_s <= MAX_DEADLINE_S:
        raise _header_invalid(
            f'{HEADER_DEADLINE}: expected more than 0 and at most '
            f'{MAX_DEADLINE_S:.0f} seconds',
        )
    return deadline_s
