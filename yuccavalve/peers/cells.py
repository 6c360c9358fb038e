"""Add up the news of a hub and of the daemons that follow it.

A cell is a hub with its followers. Its digest holds what others need of all
of them together, so its size grows with the engines in use and, by five bytes
each, with the daemons of the cell.
"""

from collections.abc import Iterable, Iterator

import attrs

from yuccavalve.hashing import tiny_id
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import AGE_UNIT_S, age_byte

__all__ = ('EngineUse', 'Uses', 'add_loads', 'daemon_ages', 'digest_of')


@attrs.define
class EngineUse:
    """What some daemons have under way at one engine.

    Attributes
    ----------
    running
        Their requests.
    strikes, next_strikes
        The most times in a row that one of them saw it stand still, and the
        most that another one saw.
    going
        How many of them have streams there that go on.
    """

    running: int = 0
    strikes: int = 0
    next_strikes: int = 0
    going: int = 0

    def add(self, load: peer_pb2.EngineLoad) -> None:
        """Add what another daemon or cell has under way."""
        self.running += load.running
        self.going += load.goes_on
        if load.strikes > self.strikes:
            self.next_strikes = self.strikes
            self.strikes = load.strikes
        elif load.strikes > self.next_strikes:
            self.next_strikes = load.strikes

    def load(
        self,
        key: str,
        less: peer_pb2.EngineLoad | None = None,
    ) -> peer_pb2.EngineLoad:
        """Return the use as a message, less what one daemon added."""
        if less is None:
            return peer_pb2.EngineLoad(
                engine=key,
                running=self.running,
                strikes=self.strikes,
                goes_on=self.going > 0,
            )
        own_most = less.strikes >= self.strikes
        return peer_pb2.EngineLoad(
            engine=key,
            running=max(0, self.running - less.running),
            strikes=self.next_strikes if own_most else self.strikes,
            goes_on=self.going > less.goes_on,
        )


Uses = dict[str, EngineUse]


def add_loads(uses: Uses, loads: Iterable[peer_pb2.EngineLoad]) -> None:
    """Add what a daemon or cell has under way, by engine key."""
    for load in loads:
        uses.setdefault(load.engine, EngineUse()).add(load)


def digest_of(
    hub: str,
    entries: Iterable[tuple[peer_pb2.ShareEntry, float]],
) -> peer_pb2.CellDigest:
    """Return the digest of a cell without its loads.

    Parameters
    ----------
    hub
        Id of the hub.
    entries
        News of each daemon of the cell, and its age in seconds.
    """
    digest = peer_pb2.CellDigest(hub=hub)
    ages = bytearray()
    for entry, age_s in entries:
        short = tiny_id(entry.member.member)
        digest.members.append(short)
        ages.append(age_byte(age_s))
        digest.started = digest.started or entry.started
        if entry.plans and not entry.member.leaving:
            digest.planner = entry.member.member
        if entry.yielded_lease:
            digest.yielded.add(
                member=entry.member.member,
                version=entry.yielded_lease,
            )
        if entry.uninformed:
            digest.uninformed.append(short)
        if entry.routing_version > digest.routing_version:
            digest.routing_version = entry.routing_version
            digest.routing_address = entry.member.peer_address
    digest.member_ages = bytes(ages)
    return digest


def daemon_ages(
    digest: peer_pb2.CellDigest,
) -> Iterator[tuple[int, float]]:
    """Yield the short ids of a cell's daemons and their ages in seconds."""
    for short, age in zip(digest.members, digest.member_ages, strict=False):
        if age:
            yield short, age * AGE_UNIT_S
