"""Encode and decode what daemons tell each other of evacuated zones."""

from yuccavalve.evacuation import EvacuationNews, EvacuationState
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import age_ms

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
        zones=sorted(state.zones),
        age_ms=age_ms(now_s - state.confirmed_at_s),
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
        )
    )
