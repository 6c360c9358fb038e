"""Encode and decode limits of engines, and the demand for permits."""

import math
from collections.abc import Iterable
from typing import Any

from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import age_ms
from yuccavalve.ratelimit import (
    EngineLimit,
    LimitTable,
    PermitDemand,
    PermitGrant,
    PermitGrantor,
    PermitGrants,
)
from yuccavalve.warmup import WarmupLimit

__all__ = (
    'answer_permits',
    'decode_grants',
    'decode_limits',
    'encode_demands',
    'encode_limits',
    'encode_news',
)

_MS = 1000
_NEVER_S = float('-inf')


def encode_limits(
    limits: Iterable[EngineLimit | WarmupLimit], now_s: float
) -> list[peer_pb2.EngineLimit]:
    """Return limits as messages, with ages instead of times."""
    return [_encode_limit(limit, now_s) for limit in limits]


def encode_news(table: LimitTable, now_s: float) -> list[peer_pb2.EngineLimit]:
    """Return what a daemon tells others of limits."""
    return encode_limits(table.news(now_s), now_s)


def decode_limits(
    messages: Iterable[Any], sent_at_s: float
) -> list[EngineLimit | WarmupLimit]:
    """Return the limits in messages whose ages count from a local time.

    Limits that are not finite or negative are dropped.
    """
    return [
        _decode_limit(message, sent_at_s)
        for message in messages
        if math.isfinite(message.per_s) and message.per_s >= 0
    ]


def encode_demands(
    member: int,
    demands: Iterable[PermitDemand],
    limits: Iterable[EngineLimit],
    now_s: float,
) -> peer_pb2.PermitsRequest:
    """Return the request for permits of a daemon."""
    return peer_pb2.PermitsRequest(
        member=member,
        demands=[
            peer_pb2.PermitDemand(
                engine=demand.engine, wanted=demand.wanted, spent=demand.spent
            )
            for demand in demands
        ],
        limits=encode_limits(limits, now_s),
    )


def answer_permits(
    grantor: PermitGrantor, request: peer_pb2.PermitsRequest, now_s: float
) -> peer_pb2.PermitsReply:
    """Return the answer to a request for permits."""
    grantor.table.apply(decode_limits(request.limits, now_s), now_s)
    demands = [
        PermitDemand(demand.engine, demand.wanted, demand.spent)
        for demand in request.demands
    ]
    granted = grantor.grant(request.member, demands, now_s)
    if granted is None:
        return peer_pb2.PermitsReply(planner=grantor.holder_address())
    known = grantor.table.known((each.engine for each in demands), now_s)
    return peer_pb2.PermitsReply(
        plans=True,
        grants=[
            peer_pb2.PermitGrant(
                engine=grant.engine,
                permits=grant.permits,
                lifetime_ms=int(grant.lifetime_s * _MS),
            )
            for grant in granted.grants
        ],
        retry_ms=math.ceil(granted.retry_s * _MS),
        limits=encode_limits(known, now_s),
    )


def decode_grants(reply: peer_pb2.PermitsReply) -> PermitGrants | None:
    """Return the permits in an answer; None if the replier does not plan."""
    if not reply.plans:
        return None
    grants = tuple(
        PermitGrant(grant.engine, grant.permits, grant.lifetime_ms / _MS)
        for grant in reply.grants
    )
    return PermitGrants(grants, reply.retry_ms / _MS)


def _encode_limit(
    limit: EngineLimit | WarmupLimit, now_s: float
) -> peer_pb2.EngineLimit:
    if isinstance(limit, WarmupLimit):
        return peer_pb2.EngineLimit(
            engine=limit.engine,
            per_s=limit.per_s,
            warmup_left_ms=max(0, int((limit.ends_at_s - now_s) * _MS)),
        )
    return peer_pb2.EngineLimit(
        engine=limit.engine,
        per_s=limit.per_s,
        named_age_ms=_age_ms(limit.named_at_s, now_s),
        unnamed_age_ms=_age_ms(limit.unnamed_at_s, now_s),
    )


def _decode_limit(message: Any, sent_at_s: float) -> EngineLimit | WarmupLimit:
    if message.HasField('warmup_left_ms'):
        ends_at_s = sent_at_s + message.warmup_left_ms / _MS
        return WarmupLimit(message.engine, message.per_s, ends_at_s)
    return EngineLimit(
        message.engine,
        message.per_s,
        _at_s(message, 'named_age_ms', sent_at_s),
        _at_s(message, 'unnamed_age_ms', sent_at_s),
    )


def _age_ms(at_s: float, now_s: float) -> int | None:
    return age_ms(now_s - at_s) if math.isfinite(at_s) else None


def _at_s(message: Any, field: str, sent_at_s: float) -> float:
    if not message.HasField(field):
        return _NEVER_S
    return sent_at_s - getattr(message, field) / _MS
