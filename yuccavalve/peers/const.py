"""Options, sizes and times of the peer protocol."""

from typing import Final

KEY_METADATA: Final = 'x-peer-key'
CHANNEL_OPTIONS: Final = (
    ('grpc.enable_retries', 0),
    ('grpc.service_config_disable_resolution', 1),
    ('grpc.lb_policy_name', 'pick_first'),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.keepalive_time_ms', 10000),
    ('grpc.keepalive_timeout_ms', 3000),
    ('grpc.min_reconnect_backoff_ms', 200),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.max_receive_message_length', 4194304),
)
SERVER_OPTIONS: Final = (
    ('grpc.so_reuseport', 0),
    ('grpc.http2.min_recv_ping_interval_without_data_ms', 5000),
    ('grpc.max_receive_message_length', 4194304),
)
# HTTP/2 overhead per call in both directions on an open channel, and the
# additional overhead of opening a channel.
CALL_OVERHEAD_BYTES: Final = 141
CONNECT_OVERHEAD_BYTES: Final = 540
CHANNEL_IDLE_S: Final = 30.0
# Time for which a hub includes the full record of a new daemon in its digests.
# Others receive the digest several times a second.
INTRODUCED_RELAY_S: Final = 5.0
# Maximum age of a cached digest, so that a hub need not build one per reply.
DIGEST_MAX_AGE_S: Final = 0.05
SHARE_TIMEOUT_S: Final = 0.6
# Part of the exchange period that has to have passed since the last exchange
# with another hub, whichever of the two began it. Periods have a jitter of a
# fifth.
EXCHANGE_DUE_FRACTION: Final = 0.6
