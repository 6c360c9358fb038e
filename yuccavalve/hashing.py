"""Rendezvous hashing over member and replica ids."""

from collections.abc import Iterable

import xxhash

__all__ = ('rendezvous_order', 'hash64', 'hash32')


def rendezvous_order(key: str, candidates: Iterable[str]) -> list[str]:
    """Return candidates from the highest weight for a key to the lowest.

    Notes
    -----
    Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", 1998.
    """
    return sorted(
        candidates,
        key=lambda name: (
            xxhash.xxh64_intdigest(f'{key}|{name}'.encode()),
            name,
        ),
        reverse=True,
    )


def hash32(name: str) -> int:
    """Return a 32-bit digest of a name; a rare collision must be harmless."""
    return xxhash.xxh32_intdigest(name.encode())


def hash64(name: str) -> int:
    """Return a 64-bit digest of a name, for digests that peers compare."""
    return xxhash.xxh64_intdigest(name.encode())
