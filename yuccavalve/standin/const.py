"""Timing, limits and defaults of the stand-ins."""

from typing import Final

HOST_LIST_LAG_S: Final = 15.0
HOST_BEAT_S: Final = 0.5
WRITES_PER_S: Final = 400
READS_PER_S: Final = 2000
PEER_CHECK_S: Final = 0.25
PEER_TIMEOUT_S: Final = 0.8
RESUME_LINGER_S: Final = 5.0
LOAD_REPORT_LAG_S: Final = 1.0
CROSS_DOMAIN_SLOWDOWN: Final = 3.0
DEFAULT_TOKENS: Final = 16
QUEUE_FACTOR: Final = 2
EVENT_END: Final = b'data: [DONE]\n\n'
