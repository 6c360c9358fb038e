"""Options of the peer protocol."""

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
# What HTTP/2 adds to the messages of a call, both ways, on a kept channel;
# and what opening a channel adds to its first call.
FRAME_BYTES: Final = 141
CONNECT_BYTES: Final = 540
CHANNEL_IDLE_S: Final = 30.0
# How long a hub tells others the whole record of a daemon that is new to it;
# they hear of its cell several times a second.
INTRODUCED_RELAY_S: Final = 5.0
# A hub's digest may be this old, so that it is not made anew for each reply.
DIGEST_MAX_AGE_S: Final = 0.05
SHARE_TIMEOUT_S: Final = 0.6
