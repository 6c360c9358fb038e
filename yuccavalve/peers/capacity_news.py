"""Encode and decode what daemons learned of engines' capacities."""

import math
from collections.abc import Iterable
from typing import Any

from yuccavalve.capacity import CapacityBelief, CapacityBook
from yuccavalve.capacity.const import (
    MAX_NEWS,
    MAX_SAMPLES,
    MAX_SPEED,
    MIN_SPEED,
)
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import age_ms

__all__ = ('decode_capacities', 'encode_capacities')

_MS = 1000
_TENTHS = 10
_PERCENT = 100


def encode_capacities(
    book: CapacityBook | None, now_s: float
) -> list[peer_pb2.EngineCapacity]:
    """Return what a daemon tells others; nothing if it does not learn.

    A concurrency of 0 tenths means that all slots are handled well.
    """
    if book is None:
        return []
    return [
        peer_pb2.EngineCapacity(
            engine=belief.server,
            concurrency_tenths=_tenths(belief.concurrency),
            speed_percent=round(belief.speed * _PERCENT),
            samples=belief.samples,
            age_ms=age_ms(now_s - belief.observed_at_s),
        )
        for belief in book.news(now_s)
    ]


def decode_capacities(
    messages: Iterable[Any], sent_at_s: float
) -> list[CapacityBelief]:
    """Return the beliefs in messages whose ages count from a local time.

    Those without samples or speed are dropped.
    """
    return [
        CapacityBelief(
            message.engine,
            max(1, message.concurrency_tenths / _TENTHS)
            if message.concurrency_tenths
            else math.inf,
            max(MIN_SPEED, min(MAX_SPEED, message.speed_percent / _PERCENT)),
            min(MAX_SAMPLES, message.samples),
            sent_at_s - message.age_ms / _MS,
        )
        for message in list(messages)[:MAX_NEWS]
        if message.samples and message.speed_percent
    ]


def _tenths(concurrency: float) -> int:
    return round(concurrency * _TENTHS) if math.isfinite(concurrency) else 0
