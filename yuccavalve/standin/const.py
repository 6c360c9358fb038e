"""Timing, limits and defaults of the stand-ins."""

from typing import Final

HOST_LIST_LAG_S: Final = 15.0
HEARTBEAT_INTERVAL_S: Final = 0.5
MAX_WRITES_PER_S: Final = 400
MAX_READS_PER_S: Final = 2000
PEER_CHECK_INTERVAL_S: Final = 0.25
PEER_TIMEOUT_S: Final = 0.8
UNREAD_TIMEOUT_S: Final = 5.0
LOAD_REPORT_INTERVAL_S: Final = 1.0
CROSS_DOMAIN_SLOWDOWN: Final = 3.0
DEFAULT_TOKENS: Final = 16
MAX_QUEUED_PER_SLOT: Final = 2
DONE_EVENT: Final = b'data: [DONE]\n\n'
