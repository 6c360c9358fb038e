"""Constants of routing, queueing and retry decisions."""

from typing import Final

# Request classes in their order of service.
CLASS_SCREENING: Final = 'screening'
CLASS_STATUS: Final = 'status'
CLASS_DRAFT: Final = 'draft'
CLASS_SUMMARY: Final = 'summary'
CLASS_ORDER: Final = (
    CLASS_SCREENING,
    CLASS_STATUS,
    CLASS_DRAFT,
    CLASS_SUMMARY,
)
DEFAULT_CLASS: Final = CLASS_DRAFT
# Every n-th ticket comes from the lowest class that has any, so that higher
# classes can't starve it.
LOWEST_CLASS_INTERVAL: Final = 8

BYTES_PER_TOKEN: Final = 4
DEFAULT_MAX_TOKENS: Final = 256

LOAD_BOUND_FACTOR: Final = 1.25
REPORT_TRUST_S: Final = 4.0
OUTLIER_FACTOR: Final = 2.5
OUTLIER_MIN_SAMPLES: Final = 5
EWMA_WEIGHT: Final = 0.2
SUSPEND_S: Final = 2.0

RETRY_RATIO: Final = 0.08
RETRY_RESERVE: Final = 3.0
RETRY_RESERVE_MAX: Final = 20.0
RETRY_AFTER_MIN_S: Final = 1.0
RETRY_AFTER_JITTER_S: Final = 4.0

# Engines drawn at random for each choice.
CHOICE_SAMPLES: Final = 2
# Requests per slot of a local engine from which engines in other availability
# zones are compared too, and what is added to theirs.
REMOTE_THRESHOLD: Final = 0.5
REMOTE_PENALTY: Final = 0.25
# How long a request may wait for a slot, in multiples of its objective. Callers
# give a stream up after four objectives without an event.
QUEUE_OBJECTIVES: Final = 2.0
# How long a stream whose engine was lost may wait for a slot elsewhere. Callers
# give a stream up after two seconds without an event.
MAX_RESUME_WAIT_S: Final = 1.2
# Least retry-after time of a request that found the queues too long.
RETRY_AFTER_QUEUE_MIN_S: Final = 0.2

# Backoff that engines ask for: what an unusable time counts as, the longest
# one, and what is added so that daemons don't return at once.
DEFAULT_BACKOFF_S: Final = 1.0
MAX_BACKOFF_S: Final = 60.0
BACKOFF_JITTER: Final = 0.1
BACKOFF_JITTER_MIN_S: Final = 0.1

OVERCOMMIT_FACTOR: Final = 1.5

# Number of demands in one encoded update, and the resolution of their
# logarithmic encoding.
MAX_DEMAND_ENTRIES: Final = 8
DEMAND_STEPS_PER_DOUBLING: Final = 16
# How long the totals of other daemons' demands are cached.
DEMAND_TOTALS_MAX_AGE_S: Final = 0.25
