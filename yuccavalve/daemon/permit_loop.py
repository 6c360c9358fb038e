"""Ask the holder of the planner lease for permits to send requests."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from random import Random

import attrs
from absl import logging

from yuccavalve.clock import Clock
from yuccavalve.hashing import hash32
from yuccavalve.peers import PeerClient, PeerUnreachableError
from yuccavalve.peers.limit_news import (
    decode_grants,
    decode_limits,
    encode_demands,
)
from yuccavalve.ratelimit import (
    PermitDemand,
    PermitGrantor,
    PermitGrants,
    RateLimiter,
)
from yuccavalve.ratelimit.const import ASK_PERIOD_S, ASK_TIMEOUT_S
from yuccavalve.timing import async_wait, jittered

__all__ = ('PermitLoop',)

_IDLE_S = 1.0


@attrs.define
class PermitLoop:
    """Keeps a daemon supplied with the permits that its requests want.

    Attributes
    ----------
    member
        Id of this daemon.
    planners
        Returns the peer addresses of the daemons that may hold the planner
        lease, the likeliest first.
    wanted
        Set when a request wants a permit.
    """

    limiter: RateLimiter
    grantor: PermitGrantor
    peers: PeerClient
    clock: Clock
    random: Random
    member: str
    planners: Callable[[], Iterable[str]]
    wanted: asyncio.Event = attrs.field(factory=asyncio.Event)
    _reached: bool = True

    async def async_run(self) -> None:
        """Ask whenever permits are wanted, until cancelled."""
        self.limiter.on_want = self.wanted.set
        while True:
            await async_wait(self.wanted, _IDLE_S)
            self.wanted.clear()
            try:
                retry_s = await self.async_ask()
            except Exception:
                logging.exception('event=permits_failed')
                retry_s = ASK_PERIOD_S
            await asyncio.sleep(jittered(self.random, retry_s))

    async def async_ask(self) -> float:
        """Ask for what is wanted; return when to ask again."""
        asked_at_s = self.clock.now_s()
        self.grantor.note_term(asked_at_s)
        demands = self.limiter.take_demands(asked_at_s)
        if not demands:
            return 0
        granted = self.grantor.grant(hash32(self.member), demands, asked_at_s)
        if granted is None:
            granted = await self._async_ask_peers(demands, asked_at_s)
        self._log_reached(granted is not None)
        if granted is None:
            return self.limiter.record_unanswered(demands, self.clock.now_s())
        self.limiter.record_grants(granted, asked_at_s)
        return granted.retry_s

    async def _async_ask_peers(
        self, demands: list[PermitDemand], asked_at_s: float
    ) -> PermitGrants | None:
        """Return the answer of the first peer that plans, if any."""
        table = self.limiter.table
        request = encode_demands(
            hash32(self.member),
            demands,
            table.known((demand.engine for demand in demands), asked_at_s),
            asked_at_s,
        )
        addresses = deque(self.planners())
        tried = set()
        while addresses:
            address = addresses.popleft()
            tried.add(address)
            try:
                reply = await self.peers.async_call(
                    address, 'Permits', request, ASK_TIMEOUT_S
                )
            except PeerUnreachableError:
                continue
            table.apply(
                decode_limits(reply.limits, asked_at_s), self.clock.now_s()
            )
            granted = decode_grants(reply)
            if granted is not None:
                return granted
            if reply.planner and reply.planner not in tried:
                addresses.appendleft(reply.planner)
        return None

    def _log_reached(self, reached: bool) -> None:
        if reached == self._reached:
            return
        self._reached = reached
        if reached:
            logging.info('event=permits_regained')
        else:
            logging.warning('event=permits_lost cause=%r', 'no planner answers')
