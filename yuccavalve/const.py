"""Constants shared by the packages; times are in seconds."""

from typing import Final

PROTOCOL_VERSION: Final = 1

# Freshness of the configuration.
CONFIG_BOUND_S: Final = 13.0
CONFIG_FRESH_S: Final = 10.0
STORE_POLL_S: Final = 3.0
# Even while peers confirm the configuration, the store is polled after this.
STORE_POLL_CALM_S: Final = 8.0
CONFIRMED_CALM_S: Final = 5.0
LISTING_MAX_S: Final = 3000.0

# Grants, the evidence that a replica is complete; probes and orders.
GRANT_LIFETIME_S: Final = 6.0
PROBE_PERIOD_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 1.0
HOST_MISSING_S: Final = 1.5
ENGINE_STUCK_S: Final = 3.0
ENGINE_ORDER_TIMEOUT_S: Final = 4.0

# Leases.
DUTY_LEASE_S: Final = 8.0
LEASE_MARGIN_S: Final = 2.0
MEMBER_LEASE_S: Final = 60.0

# Peers.
GOSSIP_PERIOD_S: Final = 1.0
GOSSIP_FANOUT: Final = 2
# Larger for a new daemon, so that peers soon pull from it too.
GOSSIP_FANOUT_NEW: Final = 6
PEER_TIMEOUT_S: Final = 1.5
INTRODUCTION_S: Final = 20.0
PEER_SUSPECT_S: Final = 6.0
SUSPECT_PER_MEMBER_S: Final = 0.1
DIGEST_MEMBERS: Final = 16
DIGEST_RUN: Final = 80
MAX_VOTERS_PER_REGION: Final = 9

# Requests.
STREAM_IDLE_S: Final = 10.0
FIRST_BYTE_S: Final = 30.0
DEFAULT_DEADLINE_S: Final = 120.0
MAX_BODY_BYTES: Final = 4 * 1024 * 1024

HEADER_RESULT: Final = 'x-result-code'
HEADER_REQUEST: Final = 'x-request-id'
HEADER_KEY: Final = 'idempotency-key'
HEADER_ONCE: Final = 'x-at-most-once'
HEADER_DEADLINE: Final = 'x-deadline-s'
HEADER_CLASS: Final = 'x-request-class'
HEADER_INCARNATION: Final = 'x-incarnation'
HEADER_DAEMON: Final = 'x-daemon-id'
HEADER_DUPLICATE: Final = 'x-duplicate'
END_MARK: Final = b'data: [DONE]\n\n'
