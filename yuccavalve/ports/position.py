"""Positions in the history of the table service."""

import attrs

__all__ = ('ERAS_PER_NUMBER', 'NOWHERE', 'Position')

# Eras between two whose numbers the table service states: returns from a copy
# that only versions show.
ERAS_PER_NUMBER = 65536


@attrs.frozen(order=True)
class Position:
    """A point in the history of the table service; later ones are greater.

    Attributes
    ----------
    era
        Number of the history, from ``EraWatch``. A table service that returns
        from a copy begins another one, in which versions are given out again.
    version
        Version of the table service within the era.
    """

    era: int = 0
    version: int = 0

    def __str__(self) -> str:
        """Return the stated era, the returns since, and the version."""
        stated, unstated = divmod(self.era, ERAS_PER_NUMBER)
        return f'{stated}.{unstated}/{self.version}'


NOWHERE = Position()
