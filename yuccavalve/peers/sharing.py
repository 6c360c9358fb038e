"""Share loads, liveness and duties among gateway daemons.

Each follower sends its requests in flight to a hub of its availability zone,
which replies with those of all other daemons. Hubs exchange digests of their
cells with each other. A follower thus sends and receives one message of
bounded size per round, and traffic between zones stays small.
"""

from collections.abc import Iterable
from random import Random
from typing import Final

import attrs

from yuccavalve.capacity import CapacityBook
from yuccavalve.clock import Clock
from yuccavalve.const import PROTOCOL_VERSION
from yuccavalve.eras import EraWatch
from yuccavalve.evacuation import EvacuationState
from yuccavalve.fleet.activity import Activity, engine_key_hash
from yuccavalve.fleet.const import SHARE_MAX_AGE_S
from yuccavalve.membership import Member, Roster
from yuccavalve.peers.capacity_news import (
    decode_capacities,
    encode_capacities,
)
from yuccavalve.peers.cells import (
    LoadTotals,
    add_loads,
    build_digest,
    daemon_ages,
)
from yuccavalve.peers.const import (
    DIGEST_MAX_AGE_S,
    INTRODUCED_RELAY_S,
)
from yuccavalve.peers.evacuation_news import (
    apply_evacuations,
    encode_evacuations,
)
from yuccavalve.peers.exchanges import ExchangeTimes
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.limit_news import decode_limits, encode_news
from yuccavalve.peers.messages import age_ms, decode_member, encode_member
from yuccavalve.peers.quarantine_news import (
    decode_quarantine,
    encode_quarantine,
)
from yuccavalve.ports.position import NOWHERE, Position
from yuccavalve.quarantine import RequestQuarantine
from yuccavalve.ratelimit import LimitTable
from yuccavalve.routing import RoutingState

__all__ = ('CellUpdate', 'DaemonUpdate', 'ShareState')

_MS = 1000
_ZERO_AGE_S: Final[float] = 0


@attrs.frozen
class DaemonUpdate:
    """The newest entry of one daemon and the time at which it was current."""

    entry: peer_pb2.ShareEntry
    at_s: float


@attrs.frozen
class CellUpdate:
    """The newest digest of one cell and the time at which it was current.

    Attributes
    ----------
    head
        The digest without its loads.
    """

    digest: peer_pb2.CellDigest
    at_s: float
    head: peer_pb2.CellDigest = attrs.field(init=False)

    @head.default
    def _digest_without_loads(self) -> peer_pb2.CellDigest:
        head = peer_pb2.CellDigest()
        head.CopyFrom(self.digest)
        head.ClearField('loads')
        return head


@attrs.frozen
class _LocalCell:
    """Digest of the local cell, its loads and the time of its creation.

    Attributes
    ----------
    digest
        The digest without loads.
    totals
        Loads by engine key hash, from which those of a receiver are subtracted.
    """

    digest: peer_pb2.CellDigest
    totals: LoadTotals
    at_s: float


@attrs.define
class ShareState:
    """The newest updates of daemons and cells.

    Attributes
    ----------
    plans
        Whether this daemon plans the replicas.
    started
        Whether any daemon has received requests from callers.
    yielded_lease
        Position of the lease row that this daemon held and gave up.
    informed
        Whether this daemon has read routes and engines.
    engines_unreachable
        Whether this daemon reaches no engine.
    follows
        Whether this daemon follows a hub, whose digest includes its entry.
    unknown_daemons
        Whether a digest named daemons that are not in the roster.
    exchanges
        Times of the last exchanges with other hubs.
    quarantine
        Parts of prompts that crash engines.
    limits
        Limits that engines have named.
    evacuations
        Zones whose servers get no new requests.
    eras
        Notices that the table service has returned from a copy.
    capacities
        Learned capacities of engines; None if this daemon does not learn.
    """

    roster: Roster
    activity: Activity
    routing: RoutingState
    clock: Clock
    random: Random
    plans: bool = False
    started: bool = False
    yielded_lease: Position = NOWHERE
    informed: bool = False
    engines_unreachable: bool = False
    follows: bool = False
    unknown_daemons: bool = False
    exchanges: ExchangeTimes = attrs.field(factory=ExchangeTimes)
    quarantine: RequestQuarantine = attrs.field(factory=RequestQuarantine)
    limits: LimitTable = attrs.field(factory=LimitTable)
    evacuations: EvacuationState = attrs.field(factory=EvacuationState)
    eras: EraWatch = attrs.field(factory=EraWatch)
    capacities: CapacityBook | None = None
    _sequence: int = 0
    _updates: dict[str, DaemonUpdate] = attrs.field(factory=dict)
    _followers: dict[str, float] = attrs.field(factory=dict)
    _cells: dict[str, CellUpdate] = attrs.field(factory=dict)
    _introduced_at_s: dict[str, float] = attrs.field(factory=dict)
    _local_cell: _LocalCell | None = None

    def build_message(
        self,
        receiver: str = '',
        *,
        follows: bool = False,
    ) -> peer_pb2.ShareMessage:
        """Return a message that starts an exchange.

        Parameters
        ----------
        receiver
            Id of the daemon that the message is for.
        follows
            Whether that daemon is this daemon's hub.
        """
        message = peer_pb2.ShareMessage(
            protocol=PROTOCOL_VERSION,
            sender=self._local_entry(with_loads=follows or self.follows),
            follows=follows,
            quarantine=encode_quarantine(self.quarantine, self.clock.now_s()),
            limits=encode_news(self.limits, self.clock.now_s()),
            evacuations=encode_evacuations(
                self.evacuations, self.clock.now_s()
            ),
            capacities=encode_capacities(self.capacities, self.clock.now_s()),
            era=self.eras.era,
        )
        if follows or not self._reports_cell():
            return message
        latest = self._updates.get(receiver)
        if latest is not None and receiver in self._followers:
            self._add_all_cells(message, latest.entry)
        else:
            message.cells.append(self._cell_message(None))
        return message

    def reply(
        self,
        request: peer_pb2.ShareMessage,
    ) -> peer_pb2.ShareMessage:
        """Return the reply to a message of another daemon.

        A follower receives the digests of all cells, with the loads of all
        of them in that of the local cell; another hub only the local cell.
        """
        message = peer_pb2.ShareMessage(
            protocol=PROTOCOL_VERSION,
            sender=self._local_entry(with_loads=self.follows),
            quarantine=encode_quarantine(self.quarantine, self.clock.now_s()),
            limits=encode_news(self.limits, self.clock.now_s()),
            evacuations=encode_evacuations(
                self.evacuations, self.clock.now_s()
            ),
            capacities=encode_capacities(self.capacities, self.clock.now_s()),
            era=self.eras.era,
        )
        if not request.follows:
            self._followers.pop(request.sender.member.member, None)
            if self._reports_cell():
                message.cells.append(self._cell_message(None))
            return message
        self._add_all_cells(message, request.sender)
        return message

    def _add_all_cells(
        self, message: peer_pb2.ShareMessage, follower: peer_pb2.ShareEntry
    ) -> None:
        """Add the digests of all cells for a follower.

        That of the local cell has the loads of all daemons but the follower.
        """
        now_s = self.clock.now_s()
        fresh = self._fresh_cells(now_s)
        message.cells.append(self._cell_message(follower, fresh))
        for cell_update in fresh:
            cell = message.cells.add()
            cell.CopyFrom(cell_update.head)
            cell.age_ms = age_ms(now_s - cell_update.at_s)

    def apply_message(
        self, message: peer_pb2.ShareMessage, sent_at_s: float
    ) -> bool:
        """Apply a message or reply; return whether it is urgent.

        New strikes are urgent: the sooner the planner receives them, the
        sooner it repairs a stalled replica. So is new evidence on parts of
        prompts that crash engines, and that a daemon reaches no engine or
        reaches them again.

        Parameters
        ----------
        message
            The message received.
        sent_at_s
            Local monotonic time from which ages in the message count: for a
            reply the time before its request was sent, for a request the time
            of receipt.
        """
        sender = message.sender
        local_id = self.roster.local_member.member
        if sender.member.member == local_id:
            return False
        self.eras.record_peer(message.era)
        if message.follows:
            self._followers[sender.member.member] = sent_at_s
        else:
            self.exchanges.record(sender.member.member, self.clock.now_s())
        urgent = self._read_entry(sender, sent_at_s)
        for cell in message.cells:
            if cell.hub != local_id:
                at_s = sent_at_s - cell.age_ms / _MS
                urgent = self._read_cell(cell, at_s) or urgent
        if urgent:
            self._local_cell = None
        if urgent or not message.follows:
            self._count_other_loads()
        self.quarantine.apply(
            decode_quarantine(message.quarantine, sent_at_s),
            self.clock.now_s(),
        )
        self.limits.apply(
            decode_limits(message.limits, sent_at_s), self.clock.now_s()
        )
        if apply_evacuations(self.evacuations, message, sent_at_s):
            urgent = True
        if self.capacities is not None:
            self.capacities.apply(
                decode_capacities(message.capacities, sent_at_s),
                self.clock.now_s(),
                sender.member.member,
            )
        return urgent or self.quarantine.take_urgent_news()

    def has_followers(self) -> bool:
        """Return whether other daemons use this one as their hub."""
        now_s = self.clock.now_s()
        return any(
            now_s - at_s <= SHARE_MAX_AGE_S for at_s in self._followers.values()
        )

    def _reports_cell(self) -> bool:
        """Return whether this daemon sends a digest of its cell.

        A follower without followers of its own does not, since the digest
        of its hub includes its entry.
        """
        return not self.follows or self.has_followers()

    def cell_size(self) -> int:
        """Return the number of daemons in the local cell."""
        return 1 + len(self._follower_updates(self.clock.now_s()))

    def uninformed(self) -> set[str]:
        """Return the ids of daemons that have not read routes and engines."""
        now_s = self.clock.now_s()
        members = {
            str(daemon_update.entry.member.member)
            for daemon_update in self._fresh_updates(now_s)
            if daemon_update.entry.uninformed
        }
        by_hash32 = self.roster.index().by_hash32
        for cell in self._fresh_cells(now_s):
            known = by_hash32.keys() & set(cell.digest.uninformed)
            members.update(
                by_hash32[member_hash].member for member_hash in known
            )
        local_id = self.roster.local_member.member
        members.discard(local_id)
        return members if self.informed else members | {local_id}

    def engines_unreachable_at(self) -> set[str]:
        """Return the ids of daemons that reach no engine."""
        now_s = self.clock.now_s()
        members = {
            str(daemon_update.entry.member.member)
            for daemon_update in self._fresh_updates(now_s)
            if daemon_update.entry.engines_unreachable
        }
        by_hash32 = self.roster.index().by_hash32
        for cell in self._fresh_cells(now_s):
            known = by_hash32.keys() & set(cell.digest.engines_unreachable)
            members.update(
                by_hash32[member_hash].member for member_hash in known
            )
        local_id = self.roster.local_member.member
        members.discard(local_id)
        return members | {local_id} if self.engines_unreachable else members

    def record_reach(self, *, engines_unreachable: bool) -> None:
        """Record whether this daemon reaches no engine."""
        self.engines_unreachable = engines_unreachable
        self._local_cell = None

    def newest_routing(self) -> tuple[int, str]:
        """Return the newest routing version and the address that has it."""
        best = (0, '')
        now_s = self.clock.now_s()
        for daemon_update in self._fresh_updates(now_s):
            entry = daemon_update.entry
            if entry.routing_version > best[0]:
                best = (entry.routing_version, entry.member.peer_address)
        for cell in self._fresh_cells(now_s):
            digest = cell.digest
            if digest.routing_version > best[0]:
                best = (digest.routing_version, digest.routing_address)
        return best

    def planner(self) -> str:
        """Return the id of the daemon that plans; empty if none is known."""
        now_s = self.clock.now_s()
        for daemon_update in self._fresh_updates(now_s):
            if (
                daemon_update.entry.plans
                and not daemon_update.entry.member.leaving
            ):
                return str(daemon_update.entry.member.member)
        for cell in self._fresh_cells(now_s):
            if cell.digest.planner:
                return str(cell.digest.planner)
        return ''

    def strikes(self) -> dict[int, int]:
        """Return the consecutive strikes of engines by engine key hash.

        The maximum over the daemons counts, not the sum, since every daemon
        with streams at an engine sees the same stall. An engine counts as
        having one strike at most while its streams make progress at some
        daemon: another daemon may only have lost its connection.
        """
        totals = self._other_loads(self.clock.now_s())
        add_loads(totals, self._local_loads())
        return {
            key: min(total.strikes, 1) if total.progressing else total.strikes
            for key, total in totals.items()
            if total.strikes
        }

    def has_yielded(self, member: str, lease: Position) -> bool:
        """Return whether a daemon no longer holds the lease of a position.

        That is so when it has reported that it gave the lease up, or when
        another process with its name was seen later.
        """
        local_member = self.roster.local_member
        if member == local_member.member:
            return False
        if member.startswith(f'{local_member.name}-'):
            return True
        now_s = self.clock.now_s()
        if (member, lease) in self.yielded_leases():
            return True
        last_seen_at_s = self.roster.last_seen_at_s(member)
        return any(
            each.member != member
            and member.startswith(f'{each.name}-')
            and self.roster.last_seen_at_s(each.member) > last_seen_at_s
            for each in self.roster.live(now_s)
        )

    def yielded_leases(self) -> set[tuple[str, Position]]:
        """Return daemon ids, each with the lease's position that it gave up."""
        now_s = self.clock.now_s()
        yielded = {
            (
                daemon_update.entry.member.member,
                Position(
                    daemon_update.entry.yielded_era,
                    daemon_update.entry.yielded_lease,
                ),
            )
            for daemon_update in self._fresh_updates(now_s)
            if daemon_update.entry.yielded_lease
        }
        for cell in self._fresh_cells(now_s):
            yielded.update(
                (each.member, Position(each.era, each.version))
                for each in cell.digest.yielded
            )
        return yielded

    def expire(self) -> None:
        """Drop expired updates and recount the loads of other daemons."""
        now_s = self.clock.now_s()
        self._updates = {
            daemon_update.entry.member.member: daemon_update
            for daemon_update in self._fresh_updates(now_s)
        }
        self._followers = {
            follower: at_s
            for follower, at_s in self._followers.items()
            if now_s - at_s <= SHARE_MAX_AGE_S
        }
        self._cells = {
            cell_update.digest.hub: cell_update
            for cell_update in self._fresh_cells(now_s)
        }
        self.exchanges.expire(now_s)
        self._introduced_at_s = {
            introduced: at_s
            for introduced, at_s in self._introduced_at_s.items()
            if now_s - at_s <= INTRODUCED_RELAY_S
        }
        self._count_other_loads()

    def _local_loads(self) -> list[peer_pb2.EngineLoad]:
        strikes = self.activity.strikes(self.clock.now_s())
        loads = self.activity.local_loads()
        leaving = self.activity.leaving()
        replaced = self.activity.replaced
        return [
            peer_pb2.EngineLoad(
                engine_key=engine_key_hash(key),
                running=loads.get(key, 0),
                strikes=strikes.get(key, 0),
                goes_on=key in loads and key not in strikes,
                leaving=key in leaving,
                replaced=key in replaced,
            )
            for key in loads.keys() | strikes.keys() | leaving | replaced
        ]

    def _local_entry(self, *, with_loads: bool) -> peer_pb2.ShareEntry:
        """Return this daemon's entry, with loads if no digest has them."""
        self._sequence += 1
        entry = peer_pb2.ShareEntry(
            member=encode_member(self.roster.local_member),
            sequence=self._sequence,
            routing_version=self.routing.version,
            plans=self.plans,
            started=self.started,
            yielded_lease=self.yielded_lease.version,
            yielded_era=self.yielded_lease.era,
            uninformed=not self.informed,
            engines_unreachable=self.engines_unreachable,
        )
        if with_loads:
            entry.loads.extend(self._local_loads())
        return entry

    def _cell_message(
        self,
        excluded: peer_pb2.ShareEntry | None,
        added: Iterable[CellUpdate] = (),
    ) -> peer_pb2.CellDigest:
        """Return the digest of the local cell.

        Parameters
        ----------
        excluded
            Entry of the daemon whose loads are left out.
        added
            Other cells whose loads are included.
        """
        cell = self._current_cell()
        totals = _add_cells(cell.totals, added)
        digest = peer_pb2.CellDigest()
        digest.CopyFrom(cell.digest)
        digest.age_ms = age_ms(self.clock.now_s() - cell.at_s)
        excluded_loads = {}
        if excluded is not None:
            excluded_loads = {load.engine_key: load for load in excluded.loads}
        digest.loads.extend(
            total.to_message(key, excluded_loads.get(key))
            for key, total in totals.items()
        )
        return digest

    def _current_cell(self) -> _LocalCell:
        """Return the local cell, cached for ``DIGEST_MAX_AGE_S``."""
        now_s = self.clock.now_s()
        cell = self._local_cell
        if cell is not None and now_s - cell.at_s < DIGEST_MAX_AGE_S:
            return cell
        entries = [
            (daemon_update.entry, now_s - daemon_update.at_s)
            for daemon_update in self._follower_updates(now_s)
        ]
        if not self.follows:
            entries.append((self._local_entry(with_loads=True), _ZERO_AGE_S))
        digest = build_digest(self.roster.local_member.member, entries)
        digest.sequence = self._sequence
        for name in self._introduced_at_s:
            member = self.roster.get(name)
            if member is not None:
                digest.introduced.append(encode_member(member))
        totals: LoadTotals = {}
        for entry, _ in entries:
            add_loads(totals, entry.loads)
        self._local_cell = _LocalCell(digest, totals, now_s)
        return self._local_cell

    def _follower_updates(self, now_s: float) -> list[DaemonUpdate]:
        """Return the updates of the daemons that follow this one."""
        return [
            daemon_update
            for daemon_update in self._fresh_updates(now_s)
            if daemon_update.entry.member.member in self._followers
        ]

    def _read_entry(self, entry: peer_pb2.ShareEntry, at_s: float) -> bool:
        name = entry.member.member
        self.started = self.started or entry.started
        member = decode_member(entry.member)
        self._add_member(member, at_s, introduce=True)
        self.roster.record_seen(name, at_s)
        self.roster.replace_earlier(member)
        previous = self._updates.get(name)
        if previous is not None and entry.sequence <= previous.entry.sequence:
            return False
        self._updates[name] = DaemonUpdate(entry, at_s)
        was_unreachable = (
            previous is not None and previous.entry.engines_unreachable
        )
        if entry.engines_unreachable != was_unreachable:
            return True
        earlier = () if previous is None else previous.entry.loads
        return _has_more_strikes(entry.loads, earlier)

    def _read_cell(self, digest: peer_pb2.CellDigest, at_s: float) -> bool:
        previous = self._cells.get(digest.hub)
        if previous is not None and digest.sequence < previous.digest.sequence:
            return False
        self.started = self.started or digest.started
        self._cells[digest.hub] = CellUpdate(digest, at_s)
        for member_head in digest.introduced:
            self._add_member(decode_member(member_head), at_s, introduce=False)
        by_hash32 = self.roster.index().by_hash32
        for member_hash, age_s in daemon_ages(digest):
            member = by_hash32.get(member_hash)
            if member is None:
                self.unknown_daemons = True
            elif member != self.roster.local_member:
                self.roster.record_seen(member.member, at_s - age_s)
                self.roster.replace_earlier(member)
        were_unreachable = (
            () if previous is None else previous.digest.engines_unreachable
        )
        if set(digest.engines_unreachable) != set(were_unreachable):
            return True
        earlier = () if previous is None else previous.digest.loads
        return _has_more_strikes(digest.loads, earlier)

    def _add_member(
        self, member: Member, at_s: float, *, introduce: bool
    ) -> None:
        """Add a daemon to the roster.

        With ``introduce``, a new or changed record is also relayed to other
        daemons in the digests of the local cell.
        """
        if member.name == self.roster.local_member.name:
            return
        previous = self.roster.get(member.member)
        self.roster.learn(member)
        if introduce and previous != member:
            self._introduced_at_s[member.member] = at_s

    def _fresh_updates(self, now_s: float) -> list[DaemonUpdate]:
        return [
            daemon_update
            for daemon_update in self._updates.values()
            if now_s - daemon_update.at_s <= SHARE_MAX_AGE_S
        ]

    def _fresh_cells(self, now_s: float) -> list[CellUpdate]:
        return [
            cell_update
            for cell_update in self._cells.values()
            if now_s - cell_update.at_s <= SHARE_MAX_AGE_S
        ]

    def _other_loads(self, now_s: float) -> LoadTotals:
        """Return the loads of all other daemons by engine key hash."""
        totals: LoadTotals = {}
        for daemon_update in self._follower_updates(now_s):
            add_loads(totals, daemon_update.entry.loads)
        for cell in self._fresh_cells(now_s):
            add_loads(totals, cell.digest.loads)
        return totals

    def _count_other_loads(self) -> None:
        totals = self._other_loads(self.clock.now_s())
        self.activity.remote_runs = {
            key: total.running for key, total in totals.items() if total.running
        }
        self.activity.remote_strikes = {
            key: total.strikes for key, total in totals.items() if total.strikes
        }
        self.activity.remote_leaving = frozenset(
            key for key, total in totals.items() if total.leaving
        )
        self.activity.remote_replaced = frozenset(
            key for key, total in totals.items() if total.replaced
        )


def _add_cells(totals: LoadTotals, cells: Iterable[CellUpdate]) -> LoadTotals:
    """Return new totals that include the loads of other cells."""
    combined = {key: attrs.evolve(total) for key, total in totals.items()}
    for cell_update in cells:
        add_loads(combined, cell_update.digest.loads)
    return combined


def _has_more_strikes(
    loads: Iterable[peer_pb2.EngineLoad],
    earlier: Iterable[peer_pb2.EngineLoad],
) -> bool:
    earlier_strikes = {load.engine_key: load.strikes for load in earlier}
    return any(
        load.strikes > earlier_strikes.get(load.engine_key, 0) for load in loads
    )
