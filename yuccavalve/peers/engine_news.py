"""Encode and decode engine records in messages of gateway daemons."""

from yuccavalve.fleet.checks import check_record
from yuccavalve.fleet.view import FleetView
from yuccavalve.observability import UnreadableInputs
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.messages import age_ms
from yuccavalve.ports.fleet import (
    EngineChanges,
    EngineRecord,
    Membership,
    MemberState,
)

__all__ = ('build_engine_news', 'decode_engine_news')

_MS = 1000
_MAX_MS = 0xFFFFFFFF


def build_engine_news(
    view: FleetView,
    source: str,
    known: peer_pb2.EnginesKnown,
    now_s: float,
    unreadable: UnreadableInputs | None = None,
) -> peer_pb2.EngineNews:
    """Return the changes of a view since the revision that a peer knows.

    All records are sent when the peer knows the view of another daemon, or a
    revision that is too old. One that can't be encoded is sent as gone, since
    the message would otherwise fail for all engines.

    Parameters
    ----------
    view
        This daemon's view of the engines.
    source
        Id of this daemon.
    known
        Daemon whose view the peer has, and its revision.
    now_s
        Monotonic time.
    unreadable
        Counts records that can't be encoded.
    """
    unreadable = unreadable or UnreadableInputs()
    changed = None
    if known.source == source:
        changed = view.changed_since(known.revision)
    whole = changed is None
    if changed is None:
        changed = {record.engine: record for record in view.records()}
    news = peer_pb2.EngineNews(
        source=source,
        revision=view.revision,
        whole=whole,
        age_ms=age_ms(now_s - view.read_at_s),
        feed_version=view.position.version,
        era=view.position.era,
    )
    for engine, record in changed.items():
        left_s = view.warmup_left_s(engine)
        try:
            state = _encode_record(engine, record, left_s)
        except (TypeError, ValueError) as error:
            unreadable.record('engine_news', engine, '', error)
            state = peer_pb2.EngineState(engine=engine, gone=True)
        news.engines.append(state)
    return news


def decode_engine_news(
    news: peer_pb2.EngineNews, unreadable: UnreadableInputs | None = None
) -> EngineChanges:
    """Return the engine changes in a message.

    A record that can't be used counts as gone, like an entry of the store.
    """
    unreadable = unreadable or UnreadableInputs()
    records: dict[str, EngineRecord | None] = {}
    for state in news.engines:
        try:
            records[state.engine] = None if state.gone else _decode(state)
        except ValueError as error:
            encoded = state.SerializeToString()
            unreadable.record('engine_news', state.engine, encoded, error)
            records[state.engine] = None
    return EngineChanges(
        news.feed_version, records, is_complete=news.whole, era=news.era
    )


def _decode(state: peer_pb2.EngineState) -> EngineRecord:
    record = _decode_record(state)
    check_record(record)
    return record


def _encode_record(
    engine: str,
    record: EngineRecord | None,
    warmup_left_s: float,
) -> peer_pb2.EngineState:
    if record is None:
        return peer_pb2.EngineState(engine=engine, gone=True)
    state = peer_pb2.EngineState(
        engine=engine,
        service=record.service,
        address=record.address,
        availability_zone=record.availability_zone,
        draining=record.draining,
        born_ms=record.born_ms,
        slots=record.slots,
        fabric_domain=record.fabric_domain,
        models=record.models,
        staged=sorted(record.staged),
        warmup_left_ms=min(_MAX_MS, round(warmup_left_s * _MS)),
        sequence=record.sequence,
    )
    membership = record.membership
    if membership is not None:
        state.replica = membership.replica
        state.epoch = membership.epoch
        state.rank = membership.rank
        state.member_state = membership.state.value
    return state


def _decode_record(state: peer_pb2.EngineState) -> EngineRecord:
    membership = None
    if state.replica:
        membership = Membership(
            state.replica,
            state.epoch,
            state.rank,
            MemberState(state.member_state),
        )
    return EngineRecord(
        engine=state.engine,
        service=state.service,
        address=state.address,
        availability_zone=state.availability_zone,
        draining=state.draining,
        born_ms=state.born_ms,
        slots=state.slots,
        fabric_domain=state.fabric_domain,
        models=tuple(state.models),
        staged=frozenset(state.staged),
        membership=membership,
        warmup_left_s=state.warmup_left_ms / _MS,
        sequence=state.sequence,
    )
