"""Aggregate the updates of a hub and its followers into a digest.

A cell is a hub with its followers. Its digest sums up their loads, so its size
grows with the number of engines in use and by five bytes per daemon of the
cell.
"""

from collections.abc import Iterable, Iterator

import attrs

from yuccavalve.checks import MAX_UINT32
from yuccavalve.hashing import hash32
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import AGE_UNIT_S, age_byte

__all__ = (
    'EngineLoadTotal',
    'LoadTotals',
    'add_loads',
    'build_digest',
    'daemon_ages',
)


@attrs.define
class EngineLoadTotal:
    """The combined load of several daemons or cells at one engine.

    Attributes
    ----------
    running
        Requests in flight.
    strikes, other_strikes
        The largest and the second largest number of consecutive strikes that
        one of them reported. The second largest is the maximum over the rest
        when the load that reported the largest is excluded.
    progressing
        Number of daemons or cells with streams that make progress there.
    leaving
        Whether the engine has told one of them that it is about to stop.
    replaced
        Whether the planner replaces the engine's replica.
    """

    running: int = 0
    strikes: int = 0
    other_strikes: int = 0
    progressing: int = 0
    leaving: bool = False
    replaced: bool = False

    def add(self, load: peer_pb2.EngineLoad) -> None:
        """Add the load of another daemon or cell."""
        self.running = min(MAX_UINT32, self.running + load.running)
        self.progressing += load.goes_on
        self.leaving = self.leaving or load.leaving
        self.replaced = self.replaced or load.replaced
        if load.strikes > self.strikes:
            self.other_strikes = self.strikes
            self.strikes = load.strikes
        elif load.strikes > self.other_strikes:
            self.other_strikes = load.strikes

    def to_message(
        self,
        key: int,
        excluded: peer_pb2.EngineLoad | None = None,
    ) -> peer_pb2.EngineLoad:
        """Return the total as a message, without the load of one daemon."""
        if excluded is None:
            return peer_pb2.EngineLoad(
                engine_key=key,
                running=self.running,
                strikes=self.strikes,
                goes_on=self.progressing > 0,
                leaving=self.leaving,
                replaced=self.replaced,
            )
        excluded_has_most = excluded.strikes >= self.strikes
        return peer_pb2.EngineLoad(
            engine_key=key,
            running=max(0, self.running - excluded.running),
            strikes=self.other_strikes if excluded_has_most else self.strikes,
            goes_on=self.progressing > excluded.goes_on,
            leaving=self.leaving,
            replaced=self.replaced and not excluded.replaced,
        )


LoadTotals = dict[int, EngineLoadTotal]


def add_loads(totals: LoadTotals, loads: Iterable[peer_pb2.EngineLoad]) -> None:
    """Add the loads of a daemon or cell to the totals by engine key hash."""
    for load in loads:
        totals.setdefault(load.engine_key, EngineLoadTotal()).add(load)


def build_digest(
    hub: str,
    entries: Iterable[tuple[peer_pb2.ShareEntry, float]],
) -> peer_pb2.CellDigest:
    """Return the digest of a cell without its loads.

    Parameters
    ----------
    hub
        Id of the hub.
    entries
        Entry of each daemon of the cell, and its age in seconds.
    """
    digest = peer_pb2.CellDigest(hub=hub)
    ages = bytearray()
    for entry, age_s in entries:
        member_hash = hash32(entry.member.member)
        digest.members.append(member_hash)
        ages.append(age_byte(age_s))
        digest.started = digest.started or entry.started
        if entry.plans and not entry.member.leaving:
            digest.planner = entry.member.member
        if entry.yielded_lease:
            digest.yielded.add(
                member=entry.member.member,
                version=entry.yielded_lease,
                era=entry.yielded_era,
            )
        if entry.uninformed:
            digest.uninformed.append(member_hash)
        if entry.engines_unreachable:
            digest.engines_unreachable.append(member_hash)
        if entry.routing_version > digest.routing_version:
            digest.routing_version = entry.routing_version
            digest.routing_address = entry.member.peer_address
    digest.member_ages = bytes(ages)
    return digest


def daemon_ages(
    digest: peer_pb2.CellDigest,
) -> Iterator[tuple[int, float]]:
    """Yield the 32-bit ids of a cell's daemons and their ages in seconds."""
    for member_hash, age in zip(
        digest.members, digest.member_ages, strict=False
    ):
        if age:
            yield member_hash, age * AGE_UNIT_S
