"""Judge from probes and grants whether a replica has lost a host."""

import attrs

from yuccavalve.const import (
    ENGINE_STUCK_S,
    GRANT_LIFETIME_S,
    HOST_MISSING_S,
)
from yuccavalve.daemon.node import Node
from yuccavalve.daemon.verify_loop import is_host_of
from yuccavalve.ports import EngineStatus
from yuccavalve.replicas import Replica, ReplicaState

__all__ = ('HostWatch',)

_UNREACHABLE_S = 5.0
_PROBE_AHEAD_S = 1.5
_GRANT_TRUST_S = GRANT_LIFETIME_S - _PROBE_AHEAD_S


@attrs.define
class HostWatch:
    """Since when hosts have not answered, or not been ready."""

    node: Node
    _missing_since_s: dict[str, float] = attrs.field(factory=dict)
    _unreachable_until_s: dict[str, float] = attrs.field(factory=dict)

    def reset(self) -> None:
        """Forget what was seen under a lease that is held no more."""
        self._missing_since_s = {}

    def forget_except(self, replicas: set[str]) -> None:
        """Drop what is known of replicas that no longer exist."""
        self._missing_since_s = {
            key: since_s
            for key, since_s in self._missing_since_s.items()
            if key.partition('/')[0] in replicas
        }

    def is_usable(self, host: str, now_s: float) -> bool:
        """Tell whether a host may be planned with."""
        return self._unreachable_until_s.get(host, 0) <= now_s

    def has_recent_grant(self, record: Replica) -> bool:
        """Tell whether verifiers' evidence is young enough not to probe."""
        if record.state is not ReplicaState.SERVING:
            return False
        now_s = self.node.clock.now_s()
        grant = self.node.grants.current(
            record.replica,
            record.incarnation,
            now_s,
        )
        return grant is not None and now_s - grant.at_s < _GRANT_TRUST_S

    def is_lost(
        self,
        record: Replica,
        statuses: list[EngineStatus | None],
    ) -> bool:
        """Tell whether a host is gone for certain or for long enough.

        A verifier's grant outweighs the own failed probes, since the
        planner may be the one that is cut off.
        """
        now_s = self.node.clock.now_s()
        if self.node.grants.is_broken(record.replica):
            return True
        lost = False
        for host, status in zip(record.hosts, statuses, strict=True):
            key = f'{record.replica}/{host.host}'
            if status is not None and not is_host_of(status, record, host):
                return True
            if status is not None:
                self._missing_since_s.pop(key, None)
                continue
            self.note_unreachable(host.host)
            since_s = self._missing_since_s.setdefault(key, now_s)
            lost = lost or now_s - since_s >= HOST_MISSING_S
        stuck = self._is_stuck(record, statuses)
        granted = self.node.grants.current(
            record.replica,
            record.incarnation,
            now_s,
        )
        return granted is None and (lost or stuck)

    def _is_stuck(
        self,
        record: Replica,
        statuses: list[EngineStatus | None],
    ) -> bool:
        """Tell whether hosts are there, but one does not serve any more.

        An engine that missed another host does not recover by itself.
        """
        key = f'{record.replica}/ready'
        unready = any(status and not status.ready for status in statuses)
        if record.state is not ReplicaState.SERVING or not unready:
            self._missing_since_s.pop(key, None)
            return False
        now_s = self.node.clock.now_s()
        since_s = self._missing_since_s.setdefault(key, now_s)
        return now_s - since_s >= ENGINE_STUCK_S

    def note_unreachable(self, host: str) -> None:
        """Leave a host out of plans for a while; the list lags."""
        now_s = self.node.clock.now_s()
        self._unreachable_until_s[host] = now_s + _UNREACHABLE_S
