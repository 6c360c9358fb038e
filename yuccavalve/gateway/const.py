"""Limits and timings of the gateway."""

from typing import Final

# Time for which a request is assumed to occupy a slot until requests of its
# service and model have been measured.
ASSUMED_STREAM_S: Final = 1.0
ASSUMED_PLAIN_S: Final = 0.05
# Failed connection attempts after which a request is refused.
MAX_CONNECT_ATTEMPTS: Final = 4
# Round trips between availability zones take a few milliseconds.
CONNECT_TIMEOUT_S: Final = 0.15
# Fraction of the time left until the deadline that a connection attempt may
# take.
CONNECT_TIMEOUT_FRACTION: Final = 0.5
FIRST_FAILURE_STATUS: Final = 400
# To a caller these say that a request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Largest answer that is not a stream.
MAX_ANSWER_BYTES: Final = 4194304
# Parts of an answer beyond this are waited for until the caller reads them.
LARGE_PART_BYTES: Final = 16384
# Retry-after times of refusals: without a replica, long enough for one to
# form. The jitter, as a fraction of the time, keeps callers from returning
# all at once.
RETRY_AFTER_NO_REPLICA_S: Final = 0.8
# While every server of a service is in an evacuated zone, replicas form
# elsewhere within about two seconds if they can at all.
RETRY_AFTER_EVACUATED_S: Final = 1.0
RETRY_AFTER_BUSY_S: Final = 0.4
RETRY_AFTER_NOT_READY_S: Final = 0.5
RETRY_AFTER_JITTER: Final = 0.5
# Other daemons can serve at once what a stopping one refuses.
RETRY_AFTER_LEAVING_S: Final = 0
# Fraction of the grace time after SIGTERM for which a daemon listens at least,
# so that callers with an old answer of the entry directory get a refusal.
STOP_LISTEN_FRACTION: Final = 0.69
# How long after a daemon's start requests wait for it to read routes and
# engines. That takes some tenths of a second unless the store is unavailable.
STARTUP_WAIT_S: Final = 1.5
STARTUP_POLL_S: Final = 0.02
# Times before the end of the grace time at which requests in flight are
# cancelled and the last connections aborted. Both take a while on a slow
# machine, however long the grace time is.
STOP_CANCEL_MARGIN_S: Final = 0.65
STOP_CLOSE_MARGIN_S: Final = 0.3
# Most of the grace time that the first of these may take. The platform takes
# requests in flight as cut by the daemon if it cancels them before the last
# sixth.
STOP_MAX_MARGIN_FRACTION: Final = 0.16
# Fraction of the retry budget that is used. The rest is a margin for retries
# of other daemons that this daemon does not see.
BUDGET_SAFETY_FACTOR: Final = 0.8
# Upper bound of a request's deadline, also used when the caller sets none.
MAX_DEADLINE_S: Final = 600.0
# Largest number of engines named in one log line.
MAX_LOGGED_ENGINES: Final = 6
# Least time left until the deadline with which an engine is still tried.
MIN_ATTEMPT_S: Final = 0.02
# How long idle connections of callers are kept open. Longer than any idle
# limit that operators set, since closing a connection may race with a request
# that the caller has just sent on it.
KEEP_ALIVE_S: Final = 75
