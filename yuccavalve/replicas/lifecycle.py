"""State machine of a replica."""

import enum
from types import MappingProxyType

from transitions import Machine

from yuccavalve.replicas.models import ReplicaState

__all__ = ('ReplicaEvent', 'state_rank', 'next_state')


class ReplicaEvent(enum.StrEnum):
    """Events that change the state of a replica."""

    ORDERED = 'ordered'
    VERIFIED = 'verified'
    DRAIN = 'drain'
    HOST_LOST = 'host_lost'
    RELEASE = 'release'


_BROKEN_FROM = (
    ReplicaState.FORMING,
    ReplicaState.LOADING,
    ReplicaState.SERVING,
    ReplicaState.DRAINING,
)
_MACHINE = Machine(
    model=None,
    states=[state.value for state in ReplicaState],
    initial=ReplicaState.FORMING.value,
    auto_transitions=False,
    transitions=[
        ['ordered', 'forming', 'loading'],
        ['verified', 'loading', 'serving'],
        ['drain', ['forming', 'loading', 'serving'], 'draining'],
        ['host_lost', [state.value for state in _BROKEN_FROM], 'broken'],
        ['release', ['draining', 'broken'], 'released'],
    ],
)
_RANKS = MappingProxyType(
    {state: rank for rank, state in enumerate(ReplicaState)},
)


def next_state(state: ReplicaState, event: ReplicaEvent) -> ReplicaState | None:
    """Return the state after an event, or None when it is not allowed."""
    allowed = _MACHINE.get_transitions(event.value, state.value)
    return ReplicaState(allowed[0].dest) if allowed else None


def state_rank(state: ReplicaState) -> int:
    """Return the state's position in the lifecycle; it never decreases."""
    return _RANKS[state]
