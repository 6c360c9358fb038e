"""Bounds of the gateway."""

from typing import Final

# Requests that one replica may have in flight for each of its slots. What
# is beyond the slots waits in the engine's queue, by priority.
MAX_LOAD_PER_SLOT: Final = 1.25
# Plain backend servers answer in milliseconds, so more may wait there.
MAX_PLAIN_LOAD_PER_SLOT: Final = 3.0
# Part of its slots that a backend server in another availability zone must
# be freer by before it is preferred.
REMOTE_ZONE_PENALTY: Final = 0.25
# Connections tried for one request before it is refused.
MAX_CONNECT_ATTEMPTS: Final = 4
# Round trips between zones take a few milliseconds.
CONNECT_TIMEOUT_S: Final = 0.15
# A connection attempt gets at most this part of the time left.
CONNECT_PART: Final = 0.5
# Largest answer that is not a stream.
MAX_ANSWER_BYTES: Final = 16777216
# What is answered when no engine can serve: callers come back after a time
# that lets a replica form, spread so that they don't come at once.
RETRY_AFTER_NO_REPLICA_S: Final = 0.8
RETRY_AFTER_BUSY_S: Final = 0.4
RETRY_AFTER_NOT_READY_S: Final = 0.5
RETRY_AFTER_JITTER: Final = 0.5
# Parts of the grace time after SIGTERM during which new streams are taken,
# which last some seconds, and other requests, which last fractions of one.
STOP_ACCEPT_PART: Final = 0.375
STOP_ACCEPT_PLAIN_PART: Final = 0.69
# For how long after a daemon's start requests wait until it has read routes
# and engines; that takes some tenths of a second unless the store is away.
STARTUP_WAIT_S: Final = 1.5
STARTUP_POLL_S: Final = 0.02
# Part of the grace time after which requests in flight are ended.
STOP_END_PART: Final = 0.84
# Margin of the retry budget for what other daemons spend unseen.
BUDGET_SAFETY_FACTOR: Final = 0.8
# A request without a deadline, or with a longer one, gets this.
MAX_DEADLINE_S: Final = 600.0
# Engines that one line of the log names.
MAX_LOGGED_ENGINES: Final = 6
# Least time for which an engine is worth asking.
MIN_ATTEMPT_S: Final = 0.02
# Idle connections of callers are kept longer than any limit on their idling
# that operators set, since one that is closed may cross a request.
KEEP_ALIVE_S: Final = 75
