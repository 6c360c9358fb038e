"""Encode and decode what daemons tell each other of suspects."""

from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import age_ms
from yuccavalve.quarantine import (
    SuspectCrash,
    SuspectHold,
    SuspectSound,
    RequestQuarantine,
    QuarantineNews,
)

__all__ = ('decode_quarantine', 'encode_quarantine')

_MS = 1000


def encode_quarantine(
    quarantine: RequestQuarantine, now_s: float
) -> peer_pb2.QuarantineNews:
    """Return a daemon's news as a message, with ages instead of times."""
    news = quarantine.news(now_s)
    return peer_pb2.QuarantineNews(
        crashes=[
            peer_pb2.SuspectCrash(
                suspect=crash.suspect,
                engine=crash.engine,
                request=crash.request,
                age_ms=age_ms(now_s - crash.at_s),
            )
            for crash in news.crashes
        ],
        sound=[
            peer_pb2.SuspectSound(
                suspect=sound.suspect, age_ms=age_ms(now_s - sound.at_s)
            )
            for sound in news.sound
        ],
        holds=[
            peer_pb2.SuspectHold(
                suspect=hold.suspect,
                crashes=hold.crashes,
                age_ms=age_ms(now_s - hold.at_s),
                failed_trials=hold.failed_trials,
            )
            for hold in news.holds
        ],
    )


def decode_quarantine(
    message: peer_pb2.QuarantineNews, sent_at_s: float
) -> QuarantineNews:
    """Return the news in a message whose ages count from a local time."""
    return QuarantineNews(
        crashes=[
            SuspectCrash(
                crash.suspect,
                crash.engine,
                crash.request,
                sent_at_s - crash.age_ms / _MS,
            )
            for crash in message.crashes
        ],
        sound=[
            SuspectSound(sound.suspect, sent_at_s - sound.age_ms / _MS)
            for sound in message.sound
        ],
        holds=[
            SuspectHold(
                hold.suspect,
                hold.crashes,
                sent_at_s - hold.age_ms / _MS,
                hold.failed_trials,
            )
            for hold in message.holds
        ],
    )
