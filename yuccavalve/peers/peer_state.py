"""Build and apply the digests that peers pull.

Every age in a reply is counted back from the time at which the request was
sent. The times recorded here are therefore never later than the actual ones,
and evidence never seems newer than it is.
"""

import json
from collections.abc import Callable, Mapping
from random import Random

import attrs

from yuccavalve.clock import Clock
from yuccavalve.configuration import AdoptionState, Evidence
from yuccavalve.const import (
    DIGEST_RANGE_MEMBERS,
    NEW_MEMBER_S,
    PROTOCOL_VERSION,
)
from yuccavalve.hashing import hash32
from yuccavalve.load import (
    DemandKey,
    Demands,
    decode_demands,
    encode_demands,
)
from yuccavalve.membership import Member, PeerView, Roster
from yuccavalve.peers.configurations import voter_age
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.limit_news import decode_limits, encode_news
from yuccavalve.peers.messages import (
    AGE_UNIT_S,
    age_byte,
    age_ms,
    cyclic_range,
    decode_member,
    encode_member,
)
from yuccavalve.peers.quarantine_news import (
    decode_quarantine,
    encode_quarantine,
)
from yuccavalve.quarantine import RequestQuarantine
from yuccavalve.ratelimit import LimitTable
from yuccavalve.replicas import Grant, GrantTable, ReplicaTable
from yuccavalve.replicas.store import decode_replica, encode_replica

__all__ = ('FollowUp', 'PeerState')

_MS = 1000
_MAX_STORE_AGE_S = 60.0
_BYTE_MAX = 255


@attrs.frozen
class FollowUp:
    """What a reply shows to be missing at this daemon or at the peer.

    Attributes
    ----------
    configuration, replicas, members
        Whether to fetch a newer configuration, replica records or members.
    introduction
        Whether the next request should hold this daemon's record.
    """

    configuration: bool
    replicas: bool
    members: bool
    introduction: bool


@attrs.define
class PeerState:
    """The parts of a daemon's state that peers exchange."""

    roster: Roster
    adoption: AdoptionState
    grants: GrantTable
    replica_table: ReplicaTable
    demands: Demands
    clock: Clock
    random: Random
    own_demands: Callable[[], Mapping[DemandKey, int]] = dict
    quarantine: RequestQuarantine = attrs.field(factory=RequestQuarantine)
    limits: LimitTable = attrs.field(factory=LimitTable)
    view: PeerView = attrs.field(init=False)
    new_until_s: float = attrs.field(init=False)

    @view.default
    def _default_view(self) -> PeerView:
        return PeerView(self.roster)

    @new_until_s.default
    def _default_new_until_s(self) -> float:
        return self.clock.now_s() + NEW_MEMBER_S

    def is_new(self) -> bool:
        """Return whether this daemon has started recently."""
        return self.clock.now_s() < self.new_until_s

    def request(self, *, introduce: bool = False) -> peer_pb2.PullRequest:
        """Return a request for a peer's digest."""
        message = peer_pb2.PullRequest(
            protocol=PROTOCOL_VERSION,
            member=hash32(self.roster.local_member.member),
            version=self.adoption.version,
            replicas_digest=self.replica_table.digest(),
            members_digest=self.roster.index().digest,
            quarantine=encode_quarantine(self.quarantine, self.clock.now_s()),
            limits=encode_news(self.limits, self.clock.now_s()),
        )
        if introduce or self.is_new() or self.roster.local_member.leaving:
            message.sender.CopyFrom(encode_member(self.roster.local_member))
        return message

    def reply(self, request: peer_pb2.PullRequest) -> peer_pb2.PullReply:
        """Return this daemon's digest in reply to a pull.

        Records the sender, if the request contains it, in the roster and view.
        """
        now_s = self.clock.now_s()
        local_member = self.roster.local_member
        message = peer_pb2.PullReply(
            protocol=PROTOCOL_VERSION,
            member=hash32(local_member.member),
            version=self.adoption.version,
            replicas_digest=self.replica_table.digest(),
            votes=self.adoption.votes,
            demands=encode_demands(self.own_demands(), self._demand_order()),
            members_digest=self.roster.index().digest,
            quarantine=encode_quarantine(self.quarantine, self.clock.now_s()),
            limits=encode_news(self.limits, self.clock.now_s()),
        )
        self._read_quarantine(request.quarantine, now_s)
        self.limits.apply(decode_limits(request.limits, now_s), now_s)
        if request.HasField('sender'):
            self.roster.learn(decode_member(request.sender))
            self.view.add(request.sender.member)
        message.introduce = request.member not in self.roster.index().by_hash32
        if (
            request.HasField('sender')
            or message.introduce
            or local_member.leaving
        ):
            message.sender.CopyFrom(encode_member(local_member))
        store_age_s = now_s - self.adoption.store_confirmed_at_s
        if store_age_s < _MAX_STORE_AGE_S:
            message.store_age_ms = age_ms(store_age_s)
        self._add_members(message, now_s, request.members_digest)
        self._add_voters(message, now_s, request.version)
        self._add_grants(message, now_s, request.replicas_digest)
        return message

    def apply_reply(
        self, reply: peer_pb2.PullReply, sent_at_s: float
    ) -> FollowUp:
        """Apply the digest of a peer; return what to exchange next.

        Parameters
        ----------
        reply
            Reply of the peer.
        sent_at_s
            Monotonic time before the request was sent.
        """
        if reply.HasField('sender'):
            self.roster.learn(decode_member(reply.sender))
        if reply.HasField('store_age_ms'):
            self.adoption.observe_head(
                reply.version,
                sent_at_s - reply.store_age_ms / _MS,
            )
        by_id = self.roster.index().by_hash32
        sender = by_id.get(reply.member)
        if sender is not None:
            self._read_sender(sender, reply, sent_at_s)
        self._read_quarantine(reply.quarantine, sent_at_s)
        self.limits.apply(
            decode_limits(reply.limits, sent_at_s), self.clock.now_s()
        )
        unknown = self._read_members(by_id, reply, sent_at_s)
        self._read_voters(reply, sent_at_s)
        self._read_grants(reply, sent_at_s)
        return FollowUp(
            configuration=reply.version > self.adoption.version,
            replicas=reply.replicas_digest != self.replica_table.digest(),
            members=unknown or sender is None or self._lacks_members(reply),
            introduction=reply.introduce,
        )

    def describe_request(self) -> peer_pb2.DescribeRequest:
        """Return a request for records that this daemon lacks."""
        return peer_pb2.DescribeRequest(
            known=self.replica_table.state_hashes(),
            known_members=self.roster.index().by_hash32,
        )

    def describe(
        self,
        request: peer_pb2.DescribeRequest,
    ) -> peer_pb2.DescribeReply:
        """Return the replica records and members that a peer lacks.

        Members that are leaving are always included.
        """
        records = self.replica_table.unknown_to(request.known)
        known = set(request.known_members)
        by_hash32 = self.roster.index().by_hash32
        return peer_pb2.DescribeReply(
            replicas=json.dumps(list(map(encode_replica, records))).encode(),
            members=[
                encode_member(member)
                for member_hash, member in by_hash32.items()
                if member_hash not in known or member.leaving
            ],
        )

    def apply_description(self, reply: peer_pb2.DescribeReply) -> None:
        """Apply replica records and members of a peer."""
        records = map(decode_replica, json.loads(reply.replicas))
        self.replica_table.merge(records, self.clock.now_s())
        for member_head in reply.members:
            self.roster.learn(decode_member(member_head))

    def _read_quarantine(
        self, message: peer_pb2.QuarantineNews, sent_at_s: float
    ) -> None:
        now_s = self.clock.now_s()
        self.quarantine.apply(decode_quarantine(message, sent_at_s), now_s)

    def _add_members(
        self,
        message: peer_pb2.PullReply,
        now_s: float,
        digest: int,
    ) -> None:
        if digest != message.members_digest:
            sample = self.roster.sample(self.random, now_s)
            message.members.extend(hash32(name) for name, _ in sample)
            message.member_ages = bytes(age_byte(age_s) for _, age_s in sample)
            return
        names = self.roster.index().ids
        message.member_index = self.random.randrange(len(names))
        message.member_ages = bytes(
            self._member_age_byte(name, now_s)
            for name in cyclic_range(
                names, message.member_index, DIGEST_RANGE_MEMBERS
            )
        )

    def _member_age_byte(self, name: str, now_s: float) -> int:
        if name == self.roster.local_member.member:
            return 1
        return age_byte(now_s - self.roster.last_seen_at_s(name))

    def _add_voters(
        self,
        message: peer_pb2.PullReply,
        now_s: float,
        version: int,
    ) -> None:
        reports = [
            evidence
            for evidence in self.adoption.evidence(now_s)
            if evidence.version <= self.adoption.version
        ]
        if version != self.adoption.version:
            message.voters.extend(voter_age(row, now_s) for row in reports)
            return
        by_voter = {each.voter: each for each in reports}
        ages = []
        offsets = []
        for name in self.adoption.configuration.electorate.names():
            report = by_voter.get(name)
            offset = _BYTE_MAX
            if report is not None:
                offset = min(_BYTE_MAX, version - report.version)
            ages.append(age_byte(now_s - report.at_s) if report else 0)
            offsets.append(offset)
        message.voter_ages = bytes(ages)
        message.voter_offsets = bytes(offsets)

    def _add_grants(
        self,
        message: peer_pb2.PullReply,
        now_s: float,
        digest: int,
    ) -> None:
        for replica, incarnation, broken in self.grants.revocations():
            message.revocations.add(
                replica=replica,
                incarnation=incarnation,
                broken=broken,
            )
        current = {
            each.replica: each for each in self.grants.all_current(now_s)
        }
        if digest != message.replicas_digest:
            for each in current.values():
                message.grants.add(
                    replica=each.replica,
                    incarnation=each.incarnation,
                    age_ms=age_ms(now_s - each.at_s),
                    load=each.load,
                )
            return
        order = [
            current.get(record.replica)
            for record in self.replica_table.serving_order()
        ]
        message.grant_ages = bytes(
            age_byte(now_s - grant.at_s) if grant else 0 for grant in order
        )
        message.grant_loads = bytes(
            min(_BYTE_MAX, grant.load) if grant else 0 for grant in order
        )

    def _read_sender(
        self,
        sender: Member,
        reply: peer_pb2.PullReply,
        sent_at_s: float,
    ) -> None:
        self.roster.record_seen(sender.member, sent_at_s)
        if reply.version == self.adoption.version:
            self.demands.record(
                sender.member,
                decode_demands(reply.demands, self._demand_order()),
            )
        if reply.votes:
            evidence = Evidence(sender.name, reply.version, sent_at_s)
            self.adoption.observe_voters([evidence])

    def _lacks_members(self, reply: peer_pb2.PullReply) -> bool:
        differs = reply.members_digest != self.roster.index().digest
        return differs and self.is_new()

    def _demand_order(self) -> list[DemandKey]:
        """Return the demand keys in an order fixed by the configuration.

        Daemons that run the same version agree on it, so encoded demands
        need not name their keys.
        """
        document = self.adoption.configuration.document
        groups = {
            service.group or service.name for service in document.services
        }
        return [
            DemandKey(group, workspace.name)
            for group in sorted(groups)
            for workspace in document.workspaces
        ]

    def _read_members(
        self,
        by_id: dict[int, Member],
        reply: peer_pb2.PullReply,
        sent_at_s: float,
    ) -> bool:
        if not reply.members and reply.member_ages:
            self._read_member_range(reply, sent_at_s)
            return False
        unknown = False
        for member_hash, age in zip(
            reply.members, reply.member_ages, strict=True
        ):
            member = by_id.get(member_hash)
            if member is None:
                unknown = True
            elif age:
                self.roster.record_seen(
                    member.member, sent_at_s - age * AGE_UNIT_S
                )
        return unknown

    def _read_member_range(
        self, reply: peer_pb2.PullReply, sent_at_s: float
    ) -> None:
        if reply.members_digest != self.roster.index().digest:
            return
        length = len(reply.member_ages)
        names = cyclic_range(
            self.roster.index().ids, reply.member_index, length
        )
        for name, age in zip(names, reply.member_ages, strict=True):
            if age:
                self.roster.record_seen(name, sent_at_s - age * AGE_UNIT_S)

    def _read_voters(
        self,
        reply: peer_pb2.PullReply,
        sent_at_s: float,
    ) -> None:
        self.adoption.observe_voters(
            Evidence(
                entry.voter,
                entry.version,
                sent_at_s - entry.age_ms / _MS,
            )
            for entry in reply.voters
        )
        names = self.adoption.configuration.electorate.names()
        same = reply.version == self.adoption.version
        if not same or len(names) != len(reply.voter_ages):
            return
        rows = zip(names, reply.voter_ages, reply.voter_offsets, strict=True)
        self.adoption.observe_voters(
            Evidence(name, reply.version - offset, sent_at_s - age * AGE_UNIT_S)
            for name, age, offset in rows
            if age and offset < _BYTE_MAX
        )

    def _read_grants(
        self,
        reply: peer_pb2.PullReply,
        sent_at_s: float,
    ) -> None:
        for revocation in reply.revocations:
            self.grants.revoke(
                revocation.replica,
                revocation.incarnation,
                broken=revocation.broken,
            )
        for entry in reply.grants:
            self.grants.offer(
                Grant(
                    entry.replica,
                    entry.incarnation,
                    sent_at_s - entry.age_ms / _MS,
                    entry.load,
                ),
            )
        if reply.replicas_digest != self.replica_table.digest():
            return
        rows = zip(
            self.replica_table.serving_order(),
            reply.grant_ages,
            reply.grant_loads,
            strict=False,
        )
        for record, age, load in rows:
            at_s = sent_at_s - age * AGE_UNIT_S
            grant = Grant(record.replica, record.incarnation, at_s, load)
            if age:
                self.grants.offer(grant)
