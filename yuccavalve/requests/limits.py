"""Hold the limits that backend servers name in their answers."""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.const import HEADER_LIMIT
from yuccavalve.exceptions import PermitExpiredError, RequestRefusedError
from yuccavalve.load import retry_after_s
from yuccavalve.ratelimit import Permit, RateLimiter, parse_limit
from yuccavalve.results import ResultCode

__all__ = ('LimitGuard',)

_POLL_S = 0.05


@attrs.frozen
class LimitGuard:
    """Consults and informs the rate limiter about backend servers."""

    limiter: RateLimiter
    clock: Clock
    random: Random

    def select(
        self, backends: Iterable[int], choose: Callable[[set[int]], int]
    ) -> int:
        """Return a backend server that may get a request now.

        One that would be chosen but for its limit counts as wanted. One with
        a permit is preferred, since unused permits are lost to all daemons.

        Parameters
        ----------
        backends
            Ids of the servers that can take the request.
        choose
            Chooses among some of them.

        Raises
        ------
        RequestRefusedError
            If all of them are at their limits.
        """
        usable = set(backends)
        if not self.limiter.table.has_limits:
            return choose(usable)
        now_s = self.clock.now_s()
        allowed = {each for each in usable if self.limiter.allows(each, now_s)}
        wanted = choose(usable)
        if wanted not in allowed:
            self.limiter.pass_over(wanted, now_s)
        if not allowed:
            raise self._refusal(usable)
        permitted = {
            each for each in allowed if self.limiter.has_permit(each, now_s)
        }
        if permitted:
            return choose(permitted)
        return wanted if wanted in allowed else choose(allowed)

    def take(self, backend: int) -> Permit | None:
        """Take the permit for a request to a selected server."""
        return self.limiter.take(backend, self.clock.now_s())

    async def async_take(self, backend: int, timeout_s: float) -> Permit | None:
        """Take the permit for a request that only one server can take.

        Raises
        ------
        PermitExpiredError
            When no permit is free in time.
        """
        until_s = self.clock.now_s() + timeout_s
        while not self.limiter.allows(backend, self.clock.now_s()):
            if self.clock.now_s() >= until_s:
                raise PermitExpiredError('no permit was free in time')
            self.limiter.pass_over(backend, self.clock.now_s())
            await asyncio.sleep(_POLL_S)
        return self.take(backend)

    def may_send(self, backend: int, permit: Permit | None) -> bool:
        """Return whether the request may still be sent."""
        return self.limiter.may_send(backend, permit, self.clock.now_s())

    def record_answer(
        self,
        backend: int,
        headers: Mapping[str, str],
        asked_at_s: float | None,
    ) -> None:
        """Record whether a server's answer names a limit.

        Parameters
        ----------
        backend
            Id of the server.
        headers
            Fields of the answer by name in lower case.
        asked_at_s
            Monotonic time before the request was sent; None if the answer
            may be another server's, whose silence says nothing.
        """
        table = self.limiter.table
        now_s = self.clock.now_s()
        asked = headers.get(HEADER_LIMIT)
        if asked is None:
            if asked_at_s is not None:
                table.record_unnamed(backend, asked_at_s, now_s)
            return
        per_s = parse_limit(asked)
        if per_s is not None:
            table.record_named(backend, per_s, now_s)
        elif table.record_unreadable(backend, now_s):
            logging.info(
                'event=engine_limit_unreadable engine=%08x asked=%r',
                backend,
                asked,
            )

    def _refusal(self, backends: set[int]) -> RequestRefusedError:
        wait_s = self.limiter.retry_after_s(sorted(backends))
        return RequestRefusedError(
            ResultCode.ENGINES_LIMITED,
            f'no permit for any of {len(backends)} backend servers',
            retry_after_s(self.random, wait_s),
        )
