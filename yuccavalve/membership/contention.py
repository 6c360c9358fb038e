"""Order in which daemons contend for a duty that nobody has.

If all of them contended at once, each would read the lease and try to write
it, and the duty would go to any machine. They wait in turn instead, those with
the most processors first; the others stop when they hear of a new holder.
"""

from yuccavalve.hashing import rendezvous_order
from yuccavalve.membership.const import CONTENTION_STEP_S
from yuccavalve.membership.models import Member
from yuccavalve.membership.roster import Roster

__all__ = ('contention_wait_s',)


def contention_wait_s(roster: Roster, duty: str, now_s: float) -> float:
    """Return how long the local daemon waits before it contends.

    Parameters
    ----------
    roster
        Known daemons; those that are leaving or not live don't count.
    duty
        Name of the duty, by which equal machines are ranked.
    now_s
        Monotonic time.
    """
    members = {each.member: each for each in roster.entries(now_s)}
    order = rendezvous_order(duty, members)
    ranked = sorted(order, key=lambda name: _rank_key(members[name]))
    local = roster.local_member.member
    rank = ranked.index(local) if local in members else len(ranked)
    return rank * CONTENTION_STEP_S


def _rank_key(member: Member) -> int:
    return -member.processor_millicores
