"""Periods and limits of the fleet view and of stall detection."""

from typing import Final

# How long the planner's call to the engine feed waits for a change. A
# connection can stall for good, and the records that other daemons receive
# should not be older than this.
ENGINE_WAIT_S: Final = 0.5
# Pause of the planner after each reading, so that changes that occur together
# are read together.
ENGINE_BATCH_DELAY_S: Final = 0.04
# Pause between readings of any other daemon without current updates from its
# peers. An engine that drains must stop getting new requests within the
# platform's drain bound of about 2 s, which leaves time for several readings.
ENGINE_POLL_S: Final = 0.5
# Age of the planner's updates on engines and routes above which a hub reads
# the store itself, and age of a hub's updates above which its followers do.
# Normal ages are up to 0.8 s and 1.1 s: the planner's wait at the feed, and
# one or two periods of the exchange among daemons. Even when they read the
# store themselves, all daemons keep the bounds of about 2 s for engines that
# drain and for new routes.
HUB_MAX_AGE_S: Final = 1.0
FOLLOWER_MAX_AGE_S: Final = 1.4
# Longest pause between checks whether the updates from peers are still fresh.
# A daemon that becomes a hub allows a lower age from then on.
UPDATE_AGE_CHECK_S: Final = 0.4
# Shortest such pause.
UPDATE_AGE_CHECK_MIN_S: Final = 0.02
# Pause after a failed reading, for hubs and for other daemons.
FEED_RETRY_S: Final = 0.3
FEED_RETRY_FOLLOWER_S: Final = 1.5
# Mean time between two followers that read everything anew after the store has
# returned from a copy, and between two daemons that write their rows again.
ERA_READ_INTERVAL_S: Final = 0.004
ERA_WRITE_INTERVAL_S: Final = 0.02
# How long one call to the routing feed waits for a change. A connection can
# stall for good, so the planner calls again this often. Each answer also
# confirms the routes to all daemons.
ROUTING_WAIT_S: Final = 0.5
# Time within which the platform lists engines again whose records expired
# during an outage of the store.
RELIST_GRACE_S: Final = 2.5

# A record that is missing after its engine was silent for this long has
# expired. One that is missing sooner was withdrawn by its engine, which is
# leaving. Records expire after three missed heartbeats of about 1.2 s.
MIN_EXPIRY_SILENCE_S: Final = 2.8
# How long engines that are no longer listed are remembered. Engines that
# leave serve on for up to ten seconds while their replica has work, and
# sometimes longer.
UNLISTED_RETENTION_S: Final = 40.0
# Pause between two readings of the feed in which an engine may have been
# listed, opened a replica and been removed again. A daemon without current
# updates from its peers reads more often.
MAX_READ_GAP_S: Final = 2.0
# Number of removed engines that a view remembers, to report them to
# followers. A follower that missed more removals gets all records.
MAX_REMOVALS_REMEMBERED: Final = 500
# Number of replicas whose head engine a view remembers, and of engines whose
# replica it remembers, including those that have ended.
MAX_RECORDS_REMEMBERED: Final = 2000
# Upper bound of the silence in log lines.
MAX_LOGGED_SILENCE_S: Final = 1000.0

# A replica is considered stalled after this time without an event on any of
# its streams. A pass with several long prompts takes up to 0.25 s.
STALL_BUSY_S: Final = 0.4
# The same if only one stream has had an event. Its next one may take one
# more pass.
STALL_SINGLE_S: Final = 0.5
# The same for an engine whose streams all wait for their first event.
STALL_FIRST_S: Final = 0.65
# Period of the check for stalled replicas, and the same while this daemon has
# no streams in flight.
STALL_CHECK_S: Final = 0.05
STALL_CHECK_IDLE_S: Final = 0.25
# A timer that is later than this shows that the event loop is delayed, so that
# answers and events that have arrived may not have been read.
LOOP_DELAY_S: Final = 0.04
# Delay of the event loop with which no stall is looked for: events that have
# arrived are read before the next check.
STALL_MAX_DELAY_S: Final = 0.1
# Period of the check for engines whose records are gone.
FORGET_IDLE_S: Final = 5.0
# How long a stalled replica gets no new requests. The requests after that
# show whether it has recovered; a second stall proves that it has not.
STALL_AVOID_S: Final = 0.7
# How long a backend server gets no new requests after a failed connection.
# The time doubles with each further strike, up to this number of doublings.
UNREACHED_AVOID_S: Final = 0.6
MAX_UNREACHED_DOUBLINGS: Final = 3
# The same after an answer that broke off, and after the server reported that
# its replica is incomplete.
LOST_AVOID_S: Final = 0.3
BROKEN_AVOID_S: Final = 1.0
# How long a strike counts, and how long an event received by this daemon
# outweighs the strikes that other daemons report.
STRIKE_MAX_AGE_S: Final = 2.5
FRESH_PROGRESS_S: Final = 0.5
# Consecutive strikes that prove that a replica is stalled.
MIN_STRIKES_STALLED: Final = 2
# How long a daemon tells the others of an engine that says that it leaves.
LEAVING_TELL_S: Final = 3.0
# Period of the exchange of updates among daemons, and the age up to which an
# update counts.
SHARE_PERIOD_S: Final = 0.25
SHARE_MAX_AGE_S: Final = 1.5
# Delay of an urgent update, so that further changes are sent with it.
SHARE_URGENT_DELAY_S: Final = 0.02
# In a cell with more daemons than this, the period grows in proportion, up to
# the factor.
SHARE_FULL_RATE_DAEMONS: Final = 40
SHARE_MAX_PERIOD_FACTOR: Final = 1.5
# Time without updates after which a daemon counts as dead and is no longer
# named to callers, and an addition to it for each other daemon. A hub that
# dies is replaced within 0.6 s, and updates from all daemons of its cell
# arrive again within another second.
DAEMON_TIMEOUT_S: Final = 2.0
DAEMON_TIMEOUT_PER_MEMBER_S: Final = 0.002
