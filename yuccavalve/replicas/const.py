"""Row keys and bounds of replicas."""

from typing import Final

HOST_PREFIX: Final = 'host/'
REPLICA_PREFIX: Final = 'replica/'
FENCE_KEY: Final = 'fence'
DEFAULT_LOAD_S: Final = 180.0
MAX_CONCURRENT_LOADS: Final = 4
RELEASED_RETENTION_S: Final = 3600.0
DRAIN_IDLE_S: Final = 8.0
