"""Constants shared by the packages; times are in seconds."""

from typing import Final

PROTOCOL_VERSION: Final = 2

# Freshness of the configuration.
CONFIG_MAX_LAG_S: Final = 13.0
CONFIG_MAX_AGE_S: Final = 10.0
STORE_POLL_PERIOD_S: Final = 3.0
# Even while peers confirm the configuration, the store is polled after this.
STORE_POLL_CONFIRMED_S: Final = 8.0
PEER_CONFIRMATION_MAX_AGE_S: Final = 5.0
REPLICA_LISTING_PERIOD_S: Final = 3000.0

# Replica grants (evidence that a replica is complete), engine probes, orders.
GRANT_LIFETIME_S: Final = 6.0
PROBE_PERIOD_S: Final = 1.0
PROBE_TIMEOUT_S: Final = 1.0
HOST_LOST_AFTER_S: Final = 1.5
ENGINE_UNREADY_TIMEOUT_S: Final = 3.0
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
NEW_MEMBER_S: Final = 20.0
PEER_SUSPECT_S: Final = 6.0
SUSPECT_PER_MEMBER_S: Final = 0.1
DIGEST_SAMPLE_MEMBERS: Final = 16
DIGEST_RANGE_MEMBERS: Final = 80
MAX_VOTERS_PER_REGION: Final = 9

# Requests.
STREAM_IDLE_TIMEOUT_S: Final = 10.0
FIRST_BYTE_TIMEOUT_S: Final = 30.0
DEFAULT_DEADLINE_S: Final = 120.0
MAX_BODY_BYTES: Final = 4 * 1024 * 1024

HEADER_RESULT: Final = 'x-result-code'
HEADER_REQUEST: Final = 'x-request-id'
HEADER_IDEMPOTENCY_KEY: Final = 'idempotency-key'
HEADER_AT_MOST_ONCE: Final = 'x-at-most-once'
HEADER_DEADLINE: Final = 'x-deadline-s'
HEADER_CLASS: Final = 'x-request-class'
HEADER_INCARNATION: Final = 'x-incarnation'
# Requests a second that a backend server takes from all daemons together.
HEADER_LIMIT: Final = 'x-request-limit'
HEADER_DAEMON: Final = 'x-daemon-id'
HEADER_DUPLICATE: Final = 'x-duplicate'
STREAM_END_EVENT: Final = b'data: [DONE]\n\n'
