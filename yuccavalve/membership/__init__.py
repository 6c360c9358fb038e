"""Membership: known and live daemons, leases of duties, and voters."""

from yuccavalve.membership.contention import contention_wait_s
from yuccavalve.membership.hubs import HubRanking
from yuccavalve.membership.lease import Lease, LeaseStep
from yuccavalve.membership.models import Member
from yuccavalve.membership.registry import MemberRegistry, decode_members
from yuccavalve.membership.roster import Roster
from yuccavalve.membership.view import PeerView

__all__ = (
    'HubRanking',
    'Lease',
    'LeaseStep',
    'Member',
    'MemberRegistry',
    'PeerView',
    'Roster',
    'contention_wait_s',
    'decode_members',
)
