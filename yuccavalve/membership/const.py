"""Row keys, periods and sizes of membership."""

from typing import Final

MEMBER_PREFIX: Final = 'member/'
MEMBERS_REMOVED_KEY: Final = 'members-removed'
LEASE_KEY: Final = 'lease/{duty}'
TERM_KEY: Final = 'term/{duty}'
# A million epochs of each term fit into 63 bits.
MAX_TERM: Final = 9000000000000
DUTY_PLANNER: Final = 'planner'
DUTY_ELECTORATE: Final = 'electorate'
# Daemons that contend for a duty's lease while it has no holder.
PLANNER_CANDIDATES: Final = 3
ELECTORATE_STABLE_S: Final = 3.0
ELECTORATE_DEAD_S: Final = 60.0
CANDIDATE_DELAY_S: Final = 1.0
VIEW_SIZE: Final = 16
VIEW_REPLACE_PERIOD_S: Final = 20.0
# Time between the ranks of daemons that contend for a duty. Others hear of a
# new holder within about ten of these steps.
CONTENTION_STEP_S: Final = 0.05
# Each follower's call costs a hub about 0.5 ms, so this many followers at four
# calls a second take a tenth of a core.
DAEMONS_PER_HUB: Final = 48
