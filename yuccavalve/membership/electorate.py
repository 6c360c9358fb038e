"""Decide the next electorate.

Only one change of the electorate is in progress at a time: the old voters
stay as ``previous`` until the change is accepted, and until then a majority
of each set is needed (joint consensus, Ongaro and Ousterhout, 2014, section
6). A region has a bounded number of voters, so that the votes that daemons
exchange don't grow with the number of daemons; the others don't vote.
"""

from collections import Counter
from collections.abc import Iterable

from yuccavalve.configuration.models import Electorate, Voter
from yuccavalve.const import MAX_VOTERS_PER_REGION
from yuccavalve.membership.models import Member

__all__ = ('next_electorate',)


def next_electorate(
    current: Electorate,
    *,
    accepted: bool,
    candidates: Iterable[Member],
    dead: set[str],
) -> Electorate | None:
    """Return the electorate to commit, or None when nothing changes.

    Parameters
    ----------
    current
        The electorate in force.
    accepted
        Whether the version in force is accepted.
    candidates
        Live members that are not leaving.
    dead
        Names of dead voters.
    """
    if not accepted:
        return None
    if current.previous:
        return Electorate(current.voters)
    voters = {
        voter.name: voter for voter in current.voters if voter.name not in dead
    }
    voter_counts = Counter(voter.region for voter in voters.values())
    for member in candidates:
        known = member.name in voters
        if not known and voter_counts[member.region] < MAX_VOTERS_PER_REGION:
            voters[member.name] = Voter(member.name, member.region)
            voter_counts[member.region] += 1
    proposed = tuple(voters[name] for name in sorted(voters))
    if not proposed or proposed == current.voters:
        return None
    return Electorate(proposed, current.voters)
