"""Shares, times and sizes of the bound on requests to cold engines."""

from typing import Final

# Parts of the bound that the planner grants, and that daemons without a planner
# use in the mean. The rest covers the spread of the reserve's random times and
# requests that were under way before an engine was known to be cold.
GRANTED_FRACTION: Final = 0.85
RESERVED_FRACTION: Final = 0.05
# How long this daemon may use what its part of the reserve has gained.
RESERVE_USE_S: Final = 0.25

# The bound applies to any interval of this length.
WINDOW_S: Final = 1.0
# Time from the last check of a permit to the request's arrival at the engine.
DELIVERY_S: Final = 0.05
# How long a permit is valid, from before the daemon asked for it: a little
# longer than the time between two of its requests for permits. A permit counts
# against the bound for this time more than a second.
PERMIT_LIFETIME_S: Final = 0.3
MAX_PERMIT_LIFETIME_S: Final = 0.6
LIFETIME_ASK_PERIODS: Final = 1.2
# For how long a request that would have used a cold engine counts as demand
# until a permit is granted for it, and the time from whose use of permits the
# use in a lifetime is predicted.
WANT_MAX_AGE_S: Final = 0.5
USE_MAX_AGE_S: Final = 1.0
# Shortest time between two requests of a daemon for permits of cold engines.
ASK_PERIOD_S: Final = 0.1
# Permits beyond the demand, for a burst, while half of the bound is free.
SPARE_PERMITS: Final = 2
FREE_FRACTION: Final = 0.5

# Time in which all daemons learn that an engine has become cold; no permits
# are granted for that long. The news goes to a hub at once, and from there to
# its followers with their next exchange, after 0.375 s at most.
LEARN_S: Final = 0.4
# Announcements of one warm-up differ by messages' delays. One that ends no
# more than this later is taken as the same, so that daemons that tell each
# other don't extend it in turn.
SAME_END_S: Final = 0.5
# Longest warm-up that an engine may announce.
MAX_WARMUP_S: Final = 60.0
# How long an end is remembered, for announcements that arrive late.
ENDED_RETENTION_S: Final = 5.0

# Warm-ups that a daemon remembers, and those in one message, in turn.
MAX_WARMUPS: Final = 1024
MAX_NEWS: Final = 64
# Announcements that wait until the routes are known.
MAX_PENDING: Final = 1024
