"""Count inputs of outside systems that can't be used, and log each once."""

import reprlib
from collections import Counter
from typing import Any

import attrs
from absl import logging

__all__ = ('UnreadableInputs',)

# One of the earliest entries makes room for a new one.
_MAX_REMEMBERED = 1024
_MAX_LOGGED_CHARACTERS = 200


@attrs.define
class UnreadableInputs:
    """Inputs that were left out because they could not be read.

    Attributes
    ----------
    counts
        Unreadable inputs by their kind, each time that one was read.
    """

    counts: Counter[tuple[str, ...]] = attrs.field(factory=Counter)
    _logged: dict[tuple[str, str], int] = attrs.field(factory=dict)

    def record(
        self, kind: str, key: Any, received: Any, error: Exception
    ) -> None:
        """Count an input; log it unless its last content was the same.

        Parameters
        ----------
        kind
            Kind of the input, from which the event is named.
        key
            What the input is stored under, or who sent it.
        received
            The input as it came.
        error
            What is wrong with it.
        """
        self.counts[kind,] += 1
        name = reprlib.repr(key)
        fingerprint = hash(_fingerprinted(received))
        if self._logged.get((kind, name)) == fingerprint:
            return
        self._logged[kind, name] = fingerprint
        if len(self._logged) > _MAX_REMEMBERED:
            self._logged.pop(next(iter(self._logged)))
        logging.warning(
            'event=%s_unreadable key=%s cause=%r',
            kind,
            name,
            f'{type(error).__name__}: {error}'[:_MAX_LOGGED_CHARACTERS],
        )


def _fingerprinted(received: Any) -> str | bytes:
    """Return content as it is if it is text, else a bounded form of it."""
    if isinstance(received, str | bytes):
        return received
    return reprlib.repr(received)
