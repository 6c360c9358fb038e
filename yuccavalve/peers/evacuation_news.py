"""Encode and decode what daemons tell each other of evacuated zones."""

from yuccavalve.evacuation import EvacuationNews, EvacuationState, ZoneMark
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import age_ms
from yuccavalve.ports.position import Position

__all__ = ('apply_evacuations', 'encode_evacuations')

_MS = 1000


def encode_evacuations(
    state: EvacuationState, now_s: float
) -> peer_pb2.EvacuationNews | None:
    """Return the evacuated zones as a message; None before they are known."""
    if not state.is_known:
        return None
    return peer_pb2.EvacuationNews(
        version=state.version,
        zones=sorted(state.listed),
        age_ms=age_ms(now_s - state.confirmed_at_s),
        era=state.position.era,
        marks=[
            peer_pb2.ZoneMark(
                zone=zone,
                era=mark.position.era,
                version=mark.position.version,
                evacuated=mark.is_evacuated,
            )
            for zone, mark in state.marks.told()
        ],
    )


def apply_evacuations(
    state: EvacuationState, message: peer_pb2.ShareMessage, sent_at_s: float
) -> bool:
    """Apply the zones in a message; return whether the set changed."""
    if not message.HasField('evacuations'):
        return False
    news = message.evacuations
    return state.apply_news(
        EvacuationNews(
            news.version,
            frozenset(news.zones),
            sent_at_s - news.age_ms / _MS,
            news.era,
            {each.zone: _decode_mark(each) for each in news.marks},
        )
    )


def _decode_mark(message: peer_pb2.ZoneMark) -> ZoneMark:
    return ZoneMark(Position(message.era, message.version), message.evacuated)
