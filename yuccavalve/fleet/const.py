"""Periods and bounds of the fleet's view and its replicas."""

from typing import Final

# Wait of the planner's call to the engines' feed: a connection can go silent
# for good, and what the others are told should not be older than this.
ENGINE_WAIT_S: Final = 0.5
# Pause after a change, so that what changes together is read together.
ENGINE_GATHER_S: Final = 0.04
# Pause between readings of another daemon that is told nothing. An engine
# that leaves must get no new work within the platform's drain bound of about
# 2 s, so several readings fit into it.
ENGINE_POLL_S: Final = 0.5
# Age of what the planner tells of engines and routes from which a hub reads
# the store itself, and of what a hub tells from which one that follows it
# does. Usual are up to 0.8 s and 1.1 s: the planner's wait at the feed
# and one or two pauses between exchanges. With a reading of their own all are
# within the bounds of about 2 s for engines that leave and for routes.
HUB_STALE_S: Final = 1.0
RELAY_STALE_S: Final = 1.4
# Period of the check whether a hub's news is still fresh.
RELAY_CHECK_S: Final = 0.15
# Pause after a failed reading, of a hub and of others.
FEED_RETRY_S: Final = 0.3
FEED_RETRY_OTHERS_S: Final = 1.5
# Wait of one call to the routes' feed. A connection can go silent for good,
# so the planner asks anew this often, which also confirms the routes to all.
ROUTING_WAIT_S: Final = 0.5
# How long entries that lapsed in an outage of the store may take to come
# back, as the platform states.
RELIST_GRACE_S: Final = 2.5

# A record that vanishes after this silence has lapsed; one that vanishes
# sooner was taken away by its engine, which leaves. Records lapse after three
# heartbeats of about 1.2 s.
MIN_EXPIRY_SILENCE_S: Final = 2.8
# How long engines that are not listed are remembered; those that leave serve
# on for ten seconds at most while their replica has work, and at times more.
UNLISTED_RETENTION_S: Final = 40.0
# Engines that are gone of which a view remembers that they are, for those
# that follow it; a follower that missed more gets all records.
MAX_REMOVALS_REMEMBERED: Final = 500
# Longest silence that is logged.
MAX_LOGGED_SILENCE_S: Final = 1000.0

# A replica is taken to stand still after this time without an event on any
# of its streams. A pass with several long prompts takes up to 0.25 s.
STALL_BUSY_S: Final = 0.4
# The same with a single stream, whose next event may wait for one pass more.
STALL_SINGLE_S: Final = 0.5
# The same for an engine that has not begun its first answer.
STALL_FIRST_S: Final = 0.65
# Period of the check for replicas that stand still.
STALL_CHECK_S: Final = 0.05
# How long a replica that stood still gets no new requests. Those that follow
# show whether it goes on; a second silence proves that it does not.
STALL_AVOID_S: Final = 0.7
# How long a backend server gets no new requests after a failed connection,
# after a broken answer, and after it said that its replica is not whole.
UNREACHED_AVOID_S: Final = 0.6
MAX_UNREACHED_DOUBLINGS: Final = 3
LOST_AVOID_S: Final = 0.3
BROKEN_AVOID_S: Final = 1.0
# For how long a strike counts, and for how long an own event outweighs what
# other daemons have seen.
STRIKE_TRUST_S: Final = 2.5
FRESH_PROGRESS_S: Final = 0.5
# Strikes that prove that a replica stands still.
STRIKES_PROVEN: Final = 2
# Pause between exchanges of news among daemons, and the age up to which a
# daemon's news counts.
SHARE_PERIOD_S: Final = 0.25
SHARE_TRUST_S: Final = 1.5
# Pause before news that can't wait is sent, so that more of it goes along.
SHARE_URGENT_PAUSE_S: Final = 0.02
# In a larger cell than this the pause grows, up to the factor.
SHARE_FULL_RATE_DAEMONS: Final = 40
SHARE_FACTOR_MAX: Final = 1.5
# A daemon without news for this long, and a little more for each other one,
# is not named to callers any more. A hub that dies is replaced within 0.6 s,
# and all of its cell is heard of again within another second.
DAEMON_SUSPECT_S: Final = 2.0
DAEMON_SUSPECT_PER_MEMBER_S: Final = 0.002
