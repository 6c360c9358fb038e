"""Leases of duties that need a single holder.

A row names the holder, and its version changes with each renewal. A contender
takes over only after it has itself seen the same version for the lease's
duration and a margin, so clocks are never compared. The holder counts the
lease from before it sent the renewal, and stops by itself. A takeover raises
the term; every transaction of a holder is conditional on the term's row, so a
holder that resumes after its lease expired can't commit. The term's number is
the version of its row, or the number after the one that the row says it is
above, if that is higher; so it can be raised by a holder that meets a higher
one, and later terms are above it too.

Once the table service has returned from a copy, the rows may name an earlier
holder or none, and the last one may not have noticed yet. Every lease ends with
its era, and nobody but its last holder acquires one of the new era before that
of the old one has run out.
"""

import enum
from typing import Any

import attrs

from yuccavalve.const import DUTY_LEASE_S, LEASE_MARGIN_S
from yuccavalve.membership.const import (
    CANDIDATE_DELAY_S,
    LEASE_KEY,
    MAX_TERM,
    TERM_KEY,
)
from yuccavalve.ports import Condition, Row, Transaction, Write, row_version
from yuccavalve.ports.position import NOWHERE, Position

__all__ = ('Lease', 'LeaseStep')

_NEVER_S = float('-inf')


class LeaseStep(enum.Enum):
    """Next action of a member on a lease."""

    WAIT = 'wait'
    ACQUIRE = 'acquire'
    RENEW = 'renew'


@attrs.define
class Lease:
    """One member's view of the lease of one duty.

    Attributes
    ----------
    term_condition
        Condition of transactions under the lease; None while not held.
    term
        Number of the term that the row shows.
    era
        Era of the table service to which the rows belong.
    """

    duty: str
    member: str
    duration_s: float = DUTY_LEASE_S
    margin_s: float = LEASE_MARGIN_S
    held_until_s: float = _NEVER_S
    term_condition: Condition | None = None
    term: int = 0
    era: int = 0
    _above: int = 0
    _row: Row | None = None
    _term_row: Row | None = None
    _seen_at_s: float = _NEVER_S
    _reclaim_until_s: float = _NEVER_S
    _settled_at_s: float = _NEVER_S
    _is_written_in_era: bool = True

    @property
    def key(self) -> str:
        """Return the key of the lease's row."""
        return LEASE_KEY.format(duty=self.duty)

    @property
    def term_key(self) -> str:
        """Return the key of the term's row."""
        return TERM_KEY.format(duty=self.duty)

    def observe(self, rows: dict[str, Row], now_s: float) -> None:
        """Update the view from the rows of the lease and its term."""
        row = rows.get(self.key)
        if row_version(row) != row_version(self._row) or self._seen_at_s < 0:
            self._seen_at_s = now_s
        self._row = row
        term_row = rows.get(self.term_key)
        self._record_term(term_row)
        if self.is_holder() and term_row is not None:
            self.term_condition = Condition(self.term_key, term_row.version)
        else:
            self.term_condition = None
            self.held_until_s = _NEVER_S

    def begin_era(self, era: int, now_s: float) -> None:
        """End the lease; contend anew once that of any member has run out.

        Nobody else can have held it while this member did, so this one need
        not wait.
        """
        self._reclaim_until_s = self.held_until_s
        self.forfeit()
        self._term_row = None
        self.era = era
        self._is_written_in_era = False
        self._settled_at_s = now_s + self.duration_s + self.margin_s

    def may_reclaim(self, now_s: float) -> bool:
        """Return whether this member held the lease when its era ended."""
        return now_s < self._reclaim_until_s

    def raise_above(self, term: int) -> bool:
        """Let terms begin above this one; a holder begins a new one now.

        Returns
        -------
            Whether this was not known before.
        """
        above = min(term, MAX_TERM)
        is_new = above > self._above
        self._above = max(above, self._above)
        return is_new

    def step(
        self,
        now_s: float,
        rank: int,
        *,
        yielded: bool = False,
    ) -> LeaseStep:
        """Return the next action.

        Parameters
        ----------
        now_s
            Monotonic time.
        rank
            Position among the candidates; later ones wait longer.
        yielded
            Whether the holder is known to have yielded the lease.
        """
        if self.may_reclaim(now_s):
            return LeaseStep.ACQUIRE
        if now_s < self._settled_at_s:
            return LeaseStep.WAIT
        if self.is_holder():
            if 0 < self.term <= self._above or not self._is_written_in_era:
                return LeaseStep.ACQUIRE
            renew_at_s = self.held_until_s - self.duration_s / 2
            return LeaseStep.RENEW if now_s >= renew_at_s else LeaseStep.WAIT
        if self._row is None:
            return LeaseStep.ACQUIRE if rank == 0 else LeaseStep.WAIT
        patience_s = self.duration_s + self.margin_s + rank * CANDIDATE_DELAY_S
        lapsed = yielded or now_s - self._seen_at_s >= patience_s
        return LeaseStep.ACQUIRE if lapsed else LeaseStep.WAIT

    def transaction(self, step: LeaseStep) -> Transaction:
        """Return the transaction that acquires or renews the lease."""
        conditions = [Condition(self.key, row_version(self._row))]
        writes = [Write(self.key, {'holder': self.member})]
        if step is LeaseStep.ACQUIRE:
            # The lease's row may have come and gone since it was read.
            conditions.append(
                Condition(self.term_key, row_version(self._term_row))
            )
            writes.append(Write(self.term_key, self._new_term_fields()))
        return Transaction(tuple(conditions), tuple(writes), self.era)

    def record_applied(
        self,
        sent_at_s: float,
        step: LeaseStep | None = None,
        version: int | None = None,
    ) -> None:
        """Record an applied step; the lease runs from when it was sent.

        Parameters
        ----------
        sent_at_s
            Monotonic time before the transaction was sent.
        step, version
            The step and the version of the rows it wrote; with these the
            rows need not be read again.
        """
        self.held_until_s = sent_at_s + self.duration_s
        self._reclaim_until_s = _NEVER_S
        self._settled_at_s = _NEVER_S
        self._is_written_in_era = True
        if version is None:
            return
        self._row = Row(self.key, version, {'holder': self.member})
        if step is LeaseStep.ACQUIRE:
            self.term_condition = Condition(self.term_key, version)
            self._record_term(
                Row(self.term_key, version, self._new_term_fields())
            )

    def holder(self) -> tuple[str, Position]:
        """Return the holder and position of the row, as last read.

        A row of another form has no holder; it is taken over once it has not
        changed for the lease's duration.
        """
        if self._row is None:
            return '', NOWHERE
        holder = str(self._row.fields.get('holder', ''))
        return holder, Position(self.era, self._row.version)

    def forfeit(self) -> Position:
        """Stop acting under the lease; return the position of its row."""
        self.held_until_s = _NEVER_S
        self.term_condition = None
        position = self.holder()[1]
        self._row = None
        return position

    def is_held(self, now_s: float) -> bool:
        """Return whether this member may act under the lease."""
        return self.term_condition is not None and now_s < self.held_until_s

    def release(self) -> Transaction | None:
        """Return the transaction that releases the lease, if it is held."""
        if not self.is_holder():
            return None
        self.held_until_s = _NEVER_S
        return Transaction(
            (Condition(self.key, row_version(self._row)),),
            (Write(self.key, None),),
            self.era,
        )

    def is_holder(self) -> bool:
        return (
            self._row is not None
            and self._row.fields.get('holder') == self.member
        )

    def _new_term_fields(self) -> dict[str, Any]:
        return {'holder': self.member, 'above': max(self._above, self.term)}

    def _record_term(self, row: Row | None) -> None:
        """Record the term's row, whose number only falls if writes are lost."""
        self._term_row = row
        term = 0 if row is None else max(row.version, _above(row) + 1)
        if term < self.term:
            self.raise_above(self.term)
        self.term = term


def _above(row: Row) -> int:
    """Return the term that a term is above; 0 in a row of another form."""
    above = row.fields.get('above')
    if isinstance(above, bool) or not isinstance(above, int):
        return 0
    return above if 0 <= above <= MAX_TERM else 0
