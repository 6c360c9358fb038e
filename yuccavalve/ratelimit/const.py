"""Shares, times and sizes of the rate limits that engines name."""

from typing import Final

# Fractions of a limit that the planner grants, and that daemons without a
# planner divide among all known daemons. Together they must not exceed 1, since
# daemons can't tell a planner that is gone from one that they don't reach.
GRANTED_FRACTION: Final = 0.8
RESERVED_FRACTION: Final = 0.2
# Permits that the planner saves up while nobody asks, as time of granting.
BURST_S: Final = 0.5
# How long a permit is valid, from before the daemon asked for it. Of a small
# limit longer, so that few requests at each of many daemons find it: until as
# many permits have been granted as may be outstanding.
PERMIT_LIFETIME_S: Final = 1.0
MAX_PERMIT_LIFETIME_S: Final = 15.0
OUTSTANDING_PERMITS: Final = 3
# Lowest rate: only an answer shows that a limit has risen or ended.
TRIAL_PERIOD_S: Final = 30.0
# Largest debt that checks and orders can leave, as time of granting.
MAX_DEBT_S: Final = 4.0

# Time between two requests of a daemon for permits, and how many requests a
# second the planner answers before daemons ask less often.
ASK_PERIOD_S: Final = 0.25
MAX_ASK_PERIOD_S: Final = 5.0
ASKS_PER_S: Final = 200
ASK_TIMEOUT_S: Final = 0.6
# For how long a daemon counts as one of those that ask.
ASKER_MAX_AGE_S: Final = 6.0
# Time without an answer after which a daemon uses its part of the reserve.
RESERVE_AFTER_S: Final = 1.5
# For how long a request that would have used an engine counts as demand.
WANT_MAX_AGE_S: Final = 1.0
MAX_WANTED: Final = 64

# Limits that a daemon remembers, and for how long after the last answer.
MAX_LIMITS: Final = 1024
LIMIT_MAX_AGE_S: Final = 300.0
# Limits in one message. Changes go first, for as long as they are relayed.
MAX_NEWS: Final = 64
RELAY_S: Final = 2.0
GOSSIP_RELAY_S: Final = 6.0

# Retry-after times of requests whose engines are all at their limits.
RETRY_AFTER_MIN_S: Final = 0.4
RETRY_AFTER_MAX_S: Final = 5.0
