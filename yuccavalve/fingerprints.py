"""Fingerprints of whole requests, which callers may repeat."""

from typing import Final

import xxhash

__all__ = ('FINGERPRINT_BIT', 'is_fingerprint', 'request_fingerprint')

_ID_BITS = 64
# Tells fingerprints from the ids of prompts' parts.
FINGERPRINT_BIT: Final[int] = 1 << (_ID_BITS - 1)
_SEPARATOR = b'\0'


def request_fingerprint(
    caller: str, method: str, target: bytes, body: bytes, prompt: str = ''
) -> int:
    """Return an id that only repeats of a request by its caller share.

    Parameters
    ----------
    caller
        Name of the caller's workspace; empty for anonymous callers.
    target
        Host, path and query string.
    prompt
        What header fields say of the prompt.
    """
    digest = xxhash.xxh64()
    for field in (caller.encode(), method.encode(), target, prompt.encode()):
        digest.update(field + _SEPARATOR)
    digest.update(body)
    return int(digest.intdigest()) | FINGERPRINT_BIT


def is_fingerprint(suspect: int) -> bool:
    """Return whether an id is a fingerprint, not that of a prompt's part."""
    return bool(suspect & FINGERPRINT_BIT)
