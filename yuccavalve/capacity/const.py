"""Weights, thresholds and sizes of learned capacities."""

from typing import Final

# Fewest observations with which a belief replaces slots and speed 1.
MIN_SAMPLES: Final = 3
MAX_SAMPLES: Final = 40
# Half of the samples are forgotten after this time without observations.
SAMPLES_HALF_LIFE_S: Final = 10.0
MAX_AGE_S: Final = 60.0
MIN_SPEED: Final = 0.05
MAX_SPEED: Final = 4.0

# Half-life of the weight of earlier observations in a server's average: few
# observations a second move it fast, many average out their noise.
WEIGHT_HALF_LIFE_S: Final = 1.0
# Part of a change to a higher speed that counts at once.
RISE_PART: Final = 0.5
DEVIATION_WEIGHT: Final = 0.05
FIRST_DEVIATION: Final = 0.4
MIN_DEVIATION: Final = 0.1
MAX_DEVIATION: Final = 0.6
# Largest deviation that a single observation counts as, as a logarithm.
MAX_RESIDUAL: Final = 1.5
# Change detection, in deviations: what is subtracted from each residual, the
# sum at which a change is found, and the part of that sum that one
# observation may add at most, so that a single outlier is not a change.
DRIFT_DEVIATIONS: Final = 1.25
MIN_DRIFT: Final = 0.3
ALARM_DEVIATIONS: Final = 6.0
MIN_ALARM: Final = 1.0
MAX_ALARM_PART: Final = 0.6
# Time without a further observation after which earlier ones are no evidence of
# a change, and for which a single outlier is told to others.
ALARM_MAX_AGE_S: Final = 4.0
OUTLIER_TELL_S: Final = 1.0

# Weights with which the reference of a service follows what most of its
# servers deviate by, and single observations.
COMMON_WEIGHT: Final = 0.2
REFERENCE_WEIGHT: Final = 0.01
# For how long an observation counts in what most servers deviate by.
COMMON_MAX_AGE_S: Final = 2.0
# For how long a slowdown of a server may turn out to be that of its service.
SLOWED_S: Final = 3.0
REGROUP_PERIOD_S: Final = 1.0

KNEE_BUCKETS: Final = 8
KNEE_BUCKET_SAMPLES: Final = 60
KNEE_MIN_SAMPLES: Final = 20
KNEE_HALF_LIFE_S: Final = 10.0
KNEE_FIT_PERIOD_S: Final = 0.5
# Improvement of the fit, as a likelihood ratio, from which a knee counts.
# Sixteen is four standard errors: a knee is tested twice a second for each
# server.
KNEE_EVIDENCE: Final = 16.0
KNEE_RISE_PER_S: Final = 0.1

# Load per slot that an answer that takes one typical time longer weighs.
LATENCY_WEIGHT: Final = 0.25
# Probes of a server that is believed to be slow or small: their part of all
# requests, and the time between them over all daemons.
PROBE_FRACTION: Final = 0.05
MAX_PROBE_CREDIT: Final = 2.0
PROBE_PERIOD_S: Final = 0.2
# Factors on that time. Daemons hear of a slow server at nearly the same time,
# and must not probe it together.
PROBE_JITTER: Final = (0.1, 1.9)
PROBE_SPEED: Final = 0.8

# Streams are observed in segments, so that a change is seen before they end.
SEGMENT_S: Final = 0.3
# A segment is dropped if its caller took this long to read from it.
MAX_SEND_S: Final = 0.05
# Observations are dropped for this time after a delay of the event loop.
DELAY_SETTLE_S: Final = 1.0

# Capacities in one message. Changes go first, for as long as they are relayed.
MAX_NEWS: Final = 64
# Of those without a change, which a hub with 48 followers merges 200 times a
# second.
MAX_IN_TURN: Final = 24
RELAY_S: Final = 2.0
# A belief that says "slower" by this factor replaces an older one at once.
SLOWER_FACTOR: Final = 1.25
SLOWER_SAMPLES: Final = 2
# Change of speed or concurrency from which others are told first, and from
# which it is logged.
NEWS_FACTOR: Final = 1.2
LOG_FACTOR: Final = 1.5
LOG_PERIOD_S: Final = 2.0
MAX_SERVERS: Final = 1024
MAX_METRIC_SERVERS: Final = 64
