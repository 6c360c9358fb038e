"""Bounds and periods of the admission queue."""

from typing import Final

# Bounds of the queue of one daemon. Its share of the doubled load of 69 daemons
# is 8 requests a second, and daemons have 200 MB of memory and more.
MAX_WAITING: Final = 256
MAX_WAITING_BYTES: Final = 16777216
# Every n-th release goes to the request that has waited longest among the
# less urgent ones, so that urgent requests can't starve them.
LESS_URGENT_INTERVAL: Final = 8
# Rank of streams that are resumed, before all priorities, and the last rank.
RESUMED_RANK: Final = -1
LOWEST_RANK: Final = 9
PRIORITY_STEP: Final = 3
# Largest work that a request is charged with, in multiples of the mean of its
# pool, so that a workspace of large prompts is served at least half as often.
MAX_COST_RATIO: Final = 2.0
# Idle workspaces whose tags a rank remembers.
MAX_IDLE_FLOWS: Final = 256

# Time after which callers give up a stream without an event: the longest of
# a fixed time and of multiples of the objectives.
ABANDON_MIN_S: Final = 2.0
ABANDON_OBJECTIVES: Final = 4.0
ABANDON_GAP_OBJECTIVES: Final = 8.0
# Part of this time that is left for the first event of the engine.
FIRST_EVENT_S: Final = 0.2
# What the estimate may exceed the wait limit by before a waiting request is
# rejected. Estimates vary from check to check, and a rejection is final.
RECHECK_FACTOR: Final = 1.5
RECHECK_MARGIN_S: Final = 0.1

# Time from the loss of a replica to its repair, and from the first record of
# a joining member to the open replica, until either was seen.
ASSUMED_REPAIR_S: Final = 1.2
ASSUMED_FORM_S: Final = 0.8
# Multiple of the mean and least time after which no repair is expected.
# Repairs take 0.5 to 2 s.
REPAIR_OVERDUE_FACTOR: Final = 2.0
REPAIR_OVERDUE_MIN_S: Final = 2.5
FORM_OVERDUE_MIN_S: Final = 4.0
# Longest time from a loss to a new replica that counts as its repair.
MAX_REPAIR_S: Final = 8.0
# Least time in which an overdue repair is expected.
SOON_S: Final = 0.1
# Heads that one pool remembers as lost.
MAX_LOSSES: Final = 64

# Window over which admitted requests are counted, and the time in which a
# higher rate seen earlier falls to its e-th part.
RATE_WINDOW_S: Final = 2.0
RATE_HOLD_S: Final = 5.0

# Callers whose first arrival is remembered, and for how long after the time
# that was promised to them.
MAX_PROMISES: Final = 4096
PROMISE_KEPT_S: Final = 10.0
# Promises reach this far beyond the time at which room is expected. Later
# callers are spread over this time at random.
MAX_PROMISE_AHEAD_S: Final = 4.0
MIN_RETRY_AFTER_S: Final = 0.1
PROMISE_JITTER: Final = 0.1

# Least time between two checks of the queue, and the longest while requests
# wait. Loads that other daemons report change four times a second.
CHECK_GAP_S: Final = 0.005
CHECK_PERIOD_S: Final = 0.1
# Least time between two estimates of all waiting requests, which cost most of a
# check.
ESTIMATE_GAP_S: Final = 0.05
# Requests that have tried engines are checked one by one, at most this many in
# a check.
MAX_SINGLE_CHECKS: Final = 8
# Time after which an engine that refused a request may be tried again by it.
TRY_AGAIN_S: Final = 0.25
