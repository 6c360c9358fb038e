"""Ids of the parts of prompts, which requests may share."""

from collections.abc import Iterable

from yuccavalve.fingerprints import FINGERPRINT_BIT
from yuccavalve.hashing import hash64

__all__ = (
    'PromptParts',
    'part_from_log',
    'part_ids',
    'parts_text',
)

PromptParts = tuple[int, ...]

# Parts of one prompt that are told apart; further ones are not.
_MAX_PARTS = 32
_MAX_LOGGED_PARTS = 8
_ID_DIGITS = 16


def part_ids(names: Iterable[str]) -> PromptParts:
    """Return the ids of a prompt's parts by their names, each once."""
    distinct = list(dict.fromkeys(name for name in names if name))
    return tuple(
        hash64(name) & ~FINGERPRINT_BIT for name in distinct[:_MAX_PARTS]
    )


def parts_text(parts: Iterable[int]) -> str:
    """Return the ids of parts as they appear in logs."""
    return ','.join(f'{part:016x}' for part in tuple(parts)[:_MAX_LOGGED_PARTS])


def part_from_log(logged: object) -> str:
    """Return a part's id from a log field, which may hold it as a number."""
    return str(logged).zfill(_ID_DIGITS)
