"""Data classes of the rate limits that engines name."""

import re

import attrs

from yuccavalve.hashing import hash32

__all__ = (
    'EngineLimit',
    'LimitChange',
    'Permit',
    'PermitDemand',
    'PermitGrant',
    'PermitGrants',
    'backend_id',
    'parse_limit',
)

_NEVER_S = float('-inf')
_DECIMAL = re.compile(r'\d{1,12}(\.\d{0,12})?|\.\d{1,12}', re.ASCII)


def parse_limit(text: str) -> float | None:
    """Return a limit in requests a second; None unless a decimal number."""
    stripped = text.strip()
    return float(stripped) if _DECIMAL.fullmatch(stripped) else None


def backend_id(target: str, incarnation: int = 0) -> int:
    """Return the 32-bit id of a replica's incarnation or of an address."""
    return hash32(f'{target}/{incarnation}')


@attrs.frozen
class EngineLimit:
    """Requests a second that an engine takes from all daemons together.

    Attributes
    ----------
    engine
        32-bit id of a start of an engine.
    per_s
        The limit as last named, in requests a second.
    named_at_s
        Monotonic time of the last answer that named it.
    unnamed_at_s
        Monotonic time at which the last request was sent whose answer named
        no limit.
    """

    engine: int
    per_s: float = 0
    named_at_s: float = _NEVER_S
    unnamed_at_s: float = _NEVER_S

    @property
    def in_force(self) -> bool:
        """Return whether no request sent later was answered without it."""
        return self.named_at_s > self.unnamed_at_s

    @property
    def in_force_per_s(self) -> float | None:
        """Return the limit, or None if it has ended."""
        return self.per_s if self.in_force else None

    @property
    def known_at_s(self) -> float:
        """Return the time of the last answer that told of it."""
        return max(self.named_at_s, self.unnamed_at_s)

    def merged(self, other: 'EngineLimit') -> 'EngineLimit':
        """Return what is known from both; of equal times the lower limit."""
        newest = max(
            (self, other), key=lambda each: (each.named_at_s, -each.per_s)
        )
        return EngineLimit(
            self.engine,
            newest.per_s,
            newest.named_at_s,
            max(self.unnamed_at_s, other.unnamed_at_s),
        )


@attrs.frozen
class LimitChange:
    """A limit that began, changed or ended; None stands for no limit."""

    engine: int
    previous_per_s: float | None
    per_s: float | None

    @property
    def tightens(self) -> bool:
        """Return whether the engine takes less than before."""
        if self.per_s is None:
            return False
        return self.previous_per_s is None or self.per_s < self.previous_per_s


@attrs.frozen
class Permit:
    """Allows one request to an engine until a monotonic time."""

    engine: int
    valid_until_s: float


@attrs.frozen
class PermitDemand:
    """A daemon's demand for permits of one engine.

    Attributes
    ----------
    wanted
        Permits asked for.
    spent
        Calls that were made without a permit since the last request.
    """

    engine: int
    wanted: int
    spent: int = 0


@attrs.frozen
class PermitGrant:
    """Permits granted for one engine.

    Attributes
    ----------
    lifetime_s
        How long they are valid, from before they were asked for.
    """

    engine: int
    permits: int
    lifetime_s: float


@attrs.frozen
class PermitGrants:
    """The planner's answer to a daemon's demands.

    Attributes
    ----------
    retry_s
        Time after which asking again makes sense.
    """

    grants: tuple[PermitGrant, ...]
    retry_s: float
