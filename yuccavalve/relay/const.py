"""Limits and timings of partition detection and of relaying."""

from typing import Final

# Evidence that a daemon is partitioned. Routes have plain services of up to 4
# servers and replicas of many engines, so engines of one replica count once
# and a single plain service never suffices.
MIN_FAILED_ENGINES: Final = 4
MIN_FAILED_GROUPS: Final = 3
# Of these, failures of new connections; streams may be silent since engines
# are slow.
MIN_FAILED_CONNECTIONS: Final = 2
# Groups with failed connections from which on failures of the planner's calls
# don't count against engines. One engine may have crashed.
MIN_DOUBTFUL_GROUPS: Final = 2
# How long a failure counts. A daemon with few requests sees few failures, but
# probes follow the first one at once.
FAILURE_MAX_AGE_S: Final = 2.0
# Time without an event after which a stream is silent, as in stall detection.
SILENT_S: Final = 0.4
# Groups that have to be silent together. One alone has stalled.
MIN_SILENT_GROUPS: Final = 2

# Probes in any second, and how many of them follow the first failure at once.
PROBES_PER_S: Final = 4
PROBE_BURST: Final = 3
# Time between probes of a daemon that is partitioned.
PROBE_PERIOD_S: Final = 0.26
# Connected probes whose connection is reset within this time have failed.
PROBE_HOLD_S: Final = 0.03
# A partition has ended once this many of the last probes have connected.
END_PROBES: Final = 3
END_CONNECTED: Final = 2

# Period of checks while there is evidence, and else.
CHECK_S: Final = 0.05
IDLE_CHECK_S: Final = 0.15
# Longest time for which a request whose attempts have failed waits for the
# decision whether this daemon is partitioned, and for which evidence against
# an engine is held back.
VERDICT_MAX_WAIT_S: Final = 0.4
HELD_EVIDENCE_MAX_S: Final = 0.5
VERDICT_POLL_S: Final = 0.02

# Daemons to which one request is sent at most.
MAX_NEIGHBORS: Final = 4
# How long a daemon that failed to take a request is avoided.
NEIGHBOR_AVOID_S: Final = 1.0
# Partitioned daemons for each other one of their zone up to which the requests
# stay in the zone. Machines differ by a factor of 4, and all are busy.
MAX_PARTITIONED_PER_NEIGHBOR: Final = 2

# Bounds on either side.
MAX_RELAYED: Final = 256
MAX_RELAYED_BYTES: Final = 16777216
# What a relayed body without a length counts as.
UNSIZED_BODY_BYTES: Final = 4194304
# Retry-after times, before jitter: until a relayed request ends, and until a
# partition may have ended.
RETRY_AFTER_FULL_S: Final = 0.4
RETRY_AFTER_UNREACHABLE_S: Final = 1.0
