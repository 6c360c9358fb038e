"""News of loads, liveness and duties among gateway daemons.

Each daemon tells the hub of its availability zone what it has under way, and
hears from it what all others have. Hubs exchange digests of their cells with
each other. So a daemon that follows sends and hears one bounded message a
turn, and little crosses from one zone to another.
"""

from collections.abc import Iterable
from random import Random
from typing import Final

import attrs

from yuccavalve.clock import Clock
from yuccavalve.const import PROTOCOL_VERSION
from yuccavalve.fleet.activity import Activity
from yuccavalve.fleet.const import SHARE_TRUST_S
from yuccavalve.membership import Member, Roster
from yuccavalve.peers.cells import Uses, add_loads, daemon_ages, digest_of
from yuccavalve.peers.const import DIGEST_PERIOD_S, INTRODUCE_S
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import age_ms, head_of, member_of
from yuccavalve.routing import RoutingState

__all__ = ('CellNews', 'ShareBook', 'ShareNews')

_MS = 1000
_JUST_NOW_S: Final[float] = 0


@attrs.frozen
class ShareNews:
    """The newest entry of one daemon and when it was true."""

    entry: peer_pb2.ShareEntry
    at_s: float


@attrs.frozen
class CellNews:
    """The newest digest of one cell and when it was true."""

    digest: peer_pb2.CellDigest
    at_s: float


@attrs.frozen
class _OwnCell:
    """The own cell's digest without its loads, these, and when it was made."""

    digest: peer_pb2.CellDigest
    uses: Uses
    at_s: float


@attrs.define
class ShareBook:
    """The newest news of daemons and cells.

    Attributes
    ----------
    plans
        Whether this daemon plans the replicas.
    started
        Whether callers' requests have come to any daemon.
    yielded_lease
        Version of the lease row that this daemon held and gave up.
    informed
        Whether this daemon has read routes and engines.
    follows
        Whether this daemon has a hub, which counts its news.
    unknown_daemons
        Whether a digest named daemons that are not in the roster.
    """

    roster: Roster
    activity: Activity
    routing: RoutingState
    clock: Clock
    random: Random
    plans: bool = False
    started: bool = False
    yielded_lease: int = 0
    informed: bool = False
    follows: bool = False
    unknown_daemons: bool = False
    _sequence: int = 0
    _news: dict[str, ShareNews] = attrs.field(factory=dict)
    _followers: dict[str, float] = attrs.field(factory=dict)
    _cells: dict[str, CellNews] = attrs.field(factory=dict)
    _introduced_at_s: dict[str, float] = attrs.field(factory=dict)
    _own_cell: _OwnCell | None = None

    def message(
        self,
        receiver: str = '',
        *,
        follows: bool = False,
    ) -> peer_pb2.ShareMessage:
        """Return what this daemon tells another unasked.

        Parameters
        ----------
        receiver
            Id of the other.
        follows
            Whether the other is this daemon's hub.
        """
        message = peer_pb2.ShareMessage(
            protocol=PROTOCOL_VERSION,
            sender=self._own_entry(),
            follows=follows,
        )
        if not follows and self._has_cell():
            told = self._news.get(receiver)
            counted = told is not None and receiver in self._followers
            reader = told.entry if counted else None
            message.cells.append(self._cell_message(reader))
        return message

    def reply(
        self,
        request: peer_pb2.ShareMessage,
    ) -> peer_pb2.ShareMessage:
        """Return the answer to another daemon's message."""
        message = peer_pb2.ShareMessage(
            protocol=PROTOCOL_VERSION,
            sender=self._own_entry(),
        )
        if not request.follows:
            self._followers.pop(request.sender.member.member, None)
            if self._has_cell():
                message.cells.append(self._cell_message(None))
            return message
        message.cells.append(self._cell_message(request.sender))
        now_s = self.clock.now_s()
        for news in self._fresh_cells(now_s):
            cell = message.cells.add()
            cell.CopyFrom(news.digest)
            cell.age_ms = age_ms(now_s - news.at_s)
        return message

    def read(self, message: peer_pb2.ShareMessage, sent_at_s: float) -> bool:
        """Take in what a daemon tells; tell whether it is urgent.

        New strikes are: a replica that stands still is repaired the sooner,
        the sooner the planner hears of it.

        Parameters
        ----------
        message
            What came.
        sent_at_s
            Reading of the own clock that is surely not after it was made.
        """
        sender = message.sender
        own = self.roster.own.member
        if sender.member.member == own:
            return False
        if message.follows:
            self._followers[sender.member.member] = sent_at_s
        urgent = self._read_entry(sender, sent_at_s)
        for cell in message.cells:
            if cell.hub != own:
                at_s = sent_at_s - cell.age_ms / _MS
                urgent = self._read_cell(cell, at_s) or urgent
        if urgent:
            self._own_cell = None
        if urgent or not message.follows:
            self._count_others()
        return urgent

    def has_followers(self) -> bool:
        """Tell whether daemons count on this one as their hub."""
        now_s = self.clock.now_s()
        return any(
            now_s - at_s <= SHARE_TRUST_S for at_s in self._followers.values()
        )

    def _has_cell(self) -> bool:
        """Tell whether the own news is not all told by the own hub."""
        return not self.follows or self.has_followers()

    def cell_size(self) -> int:
        """Return how many daemons the own cell has."""
        return 1 + len(self._cell_news(self.clock.now_s()))

    def uninformed(self) -> set[str]:
        """Return the daemons that said that they can't serve yet."""
        now_s = self.clock.now_s()
        members = {
            str(news.entry.member.member)
            for news in self._fresh(now_s)
            if news.entry.uninformed
        }
        by_tiny_id = self.roster.index().by_tiny_id
        for cell in self._fresh_cells(now_s):
            known = by_tiny_id.keys() & set(cell.digest.uninformed)
            members.update(by_tiny_id[short].member for short in known)
        own = self.roster.own.member
        members.discard(own)
        return members if self.informed else members | {own}

    def newest_routing(self) -> tuple[int, str]:
        """Return the newest version heard of, and who has it."""
        best = (0, '')
        now_s = self.clock.now_s()
        for news in self._fresh(now_s):
            entry = news.entry
            if entry.routing_version > best[0]:
                best = (entry.routing_version, entry.member.peer_address)
        for cell in self._fresh_cells(now_s):
            digest = cell.digest
            if digest.routing_version > best[0]:
                best = (digest.routing_version, digest.routing_address)
        return best

    def planner(self) -> str:
        """Return the daemon that is known to plan, or nothing."""
        now_s = self.clock.now_s()
        for news in self._fresh(now_s):
            if news.entry.plans and not news.entry.member.leaving:
                return str(news.entry.member.member)
        for cell in self._fresh_cells(now_s):
            if cell.digest.planner:
                return str(cell.digest.planner)
        return ''

    def strikes(self) -> dict[str, int]:
        """Return engine keys that stand still, and how often in a row.

        The most that one daemon has seen counts, since a single pause shows
        to every daemon that has streams there. An engine whose streams go
        on through some daemon is only suspect: another may be cut off from
        it.
        """
        uses = self._others(self.clock.now_s())
        add_loads(uses, self._own_loads())
        return {
            key: min(use.strikes, 1) if use.going else use.strikes
            for key, use in uses.items()
            if use.strikes
        }

    def has_yielded(self, member: str, lease_version: int) -> bool:
        """Tell whether a daemon can't act under a version of the lease.

        That is so when it says that it gave the lease up, and when another
        process runs under its name.
        """
        own = self.roster.own
        if member == own.member:
            return False
        if member.startswith(f'{own.name}-'):
            return True
        now_s = self.clock.now_s()
        if (member, lease_version) in self.yielded_leases():
            return True
        heard_at_s = self.roster.heard_at(member)
        return any(
            each.member != member
            and member.startswith(f'{each.name}-')
            and self.roster.heard_at(each.member) > heard_at_s
            for each in self.roster.live(now_s)
        )

    def yielded_leases(self) -> set[tuple[str, int]]:
        """Return daemons with the version of the lease that they gave up."""
        now_s = self.clock.now_s()
        yielded = {
            (news.entry.member.member, news.entry.yielded_lease)
            for news in self._fresh(now_s)
            if news.entry.yielded_lease
        }
        for cell in self._fresh_cells(now_s):
            yielded.update(
                (each.member, each.version) for each in cell.digest.yielded
            )
        return yielded

    def expire(self) -> None:
        """Drop old news from the counts of others' requests."""
        now_s = self.clock.now_s()
        self._news = {
            news.entry.member.member: news for news in self._fresh(now_s)
        }
        self._followers = {
            follower: at_s
            for follower, at_s in self._followers.items()
            if now_s - at_s <= SHARE_TRUST_S
        }
        self._cells = {
            news.digest.hub: news for news in self._fresh_cells(now_s)
        }
        self._introduced_at_s = {
            introduced: at_s
            for introduced, at_s in self._introduced_at_s.items()
            if now_s - at_s <= INTRODUCE_S
        }
        self._count_others()

    def _own_loads(self) -> list[peer_pb2.EngineLoad]:
        strikes = self.activity.strikes(self.clock.now_s())
        loads = self.activity.own_loads()
        return [
            peer_pb2.EngineLoad(
                engine=key,
                running=loads.get(key, 0),
                strikes=strikes.get(key, 0),
                goes_on=key in loads and key not in strikes,
            )
            for key in loads.keys() | strikes.keys()
        ]

    def _own_entry(self) -> peer_pb2.ShareEntry:
        self._sequence += 1
        entry = peer_pb2.ShareEntry(
            member=head_of(self.roster.own),
            sequence=self._sequence,
            routing_version=self.routing.version,
            plans=self.plans,
            started=self.started,
            yielded_lease=self.yielded_lease,
            uninformed=not self.informed,
        )
        entry.loads.extend(self._own_loads())
        return entry

    def _cell_message(
        self,
        reader: peer_pb2.ShareEntry | None,
    ) -> peer_pb2.CellDigest:
        """Return the own cell's digest, less a reader's requests."""
        cell = self._current_cell()
        digest = peer_pb2.CellDigest()
        digest.CopyFrom(cell.digest)
        digest.age_ms = age_ms(self.clock.now_s() - cell.at_s)
        less = {}
        if reader is not None:
            less = {load.engine: load for load in reader.loads}
        digest.loads.extend(
            use.load(key, less.get(key)) for key, use in cell.uses.items()
        )
        return digest

    def _current_cell(self) -> _OwnCell:
        """Return the own cell, made anew at most every few milliseconds."""
        now_s = self.clock.now_s()
        cell = self._own_cell
        if cell is not None and now_s - cell.at_s < DIGEST_PERIOD_S:
            return cell
        entries = [
            (news.entry, now_s - news.at_s) for news in self._cell_news(now_s)
        ]
        if not self.follows:
            entries.append((self._own_entry(), _JUST_NOW_S))
        digest = digest_of(self.roster.own.member, entries)
        digest.sequence = self._sequence
        for name in self._introduced_at_s:
            member = self.roster.by_member(name)
            if member is not None:
                digest.introduced.append(head_of(member))
        uses: Uses = {}
        for entry, _ in entries:
            add_loads(uses, entry.loads)
        self._own_cell = _OwnCell(digest, uses, now_s)
        return self._own_cell

    def _cell_news(self, now_s: float) -> list[ShareNews]:
        """Return the news of the daemons that follow this one."""
        return [
            news
            for news in self._fresh(now_s)
            if news.entry.member.member in self._followers
        ]

    def _read_entry(self, entry: peer_pb2.ShareEntry, at_s: float) -> bool:
        name = entry.member.member
        self.started = self.started or entry.started
        member = member_of(entry.member)
        self._learn(member, at_s, introduce=True)
        self.roster.hear(name, at_s)
        self.roster.replace_earlier(member)
        known = self._news.get(name)
        if known is not None and entry.sequence <= known.entry.sequence:
            return False
        self._news[name] = ShareNews(entry, at_s)
        earlier = () if known is None else known.entry.loads
        return _has_more_strikes(entry.loads, earlier)

    def _read_cell(self, digest: peer_pb2.CellDigest, at_s: float) -> bool:
        known = self._cells.get(digest.hub)
        if known is not None and digest.sequence < known.digest.sequence:
            return False
        self.started = self.started or digest.started
        self._cells[digest.hub] = CellNews(digest, at_s)
        for head in digest.introduced:
            self._learn(member_of(head), at_s, introduce=False)
        by_tiny_id = self.roster.index().by_tiny_id
        for short, age_s in daemon_ages(digest):
            member = by_tiny_id.get(short)
            if member is None:
                self.unknown_daemons = True
            elif member != self.roster.own:
                self.roster.hear(member.member, at_s - age_s)
                self.roster.replace_earlier(member)
        earlier = () if known is None else known.digest.loads
        return _has_more_strikes(digest.loads, earlier)

    def _learn(self, member: Member, at_s: float, *, introduce: bool) -> None:
        """Add a daemon; tell the others of one that introduced itself."""
        if member.name == self.roster.own.name:
            return
        known = self.roster.by_member(member.member)
        self.roster.learn(member)
        if introduce and known != member:
            self._introduced_at_s[member.member] = at_s

    def _fresh(self, now_s: float) -> list[ShareNews]:
        return [
            news
            for news in self._news.values()
            if now_s - news.at_s <= SHARE_TRUST_S
        ]

    def _fresh_cells(self, now_s: float) -> list[CellNews]:
        return [
            news
            for news in self._cells.values()
            if now_s - news.at_s <= SHARE_TRUST_S
        ]

    def _others(self, now_s: float) -> Uses:
        """Return what all other daemons have under way, by engine key."""
        uses: Uses = {}
        for news in self._cell_news(now_s):
            add_loads(uses, news.entry.loads)
        for cell in self._fresh_cells(now_s):
            add_loads(uses, cell.digest.loads)
        return uses

    def _count_others(self) -> None:
        uses = self._others(self.clock.now_s())
        self.activity.others = {
            key: use.running for key, use in uses.items() if use.running
        }
        self.activity.others_strikes = {
            key: use.strikes for key, use in uses.items() if use.strikes
        }


def _has_more_strikes(
    loads: Iterable[peer_pb2.EngineLoad],
    earlier: Iterable[peer_pb2.EngineLoad],
) -> bool:
    known = {load.engine: load.strikes for load in earlier}
    return any(load.strikes > known.get(load.engine, 0) for load in loads)
