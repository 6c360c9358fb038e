"""Detect from probes and grants that a replica has lost a host."""

import attrs

from yuccavalve.const import (
    ENGINE_UNREADY_TIMEOUT_S,
    GRANT_LIFETIME_S,
    HOST_LOST_AFTER_S,
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
    """Tracks since when hosts have not answered or not been ready."""

    node: Node
    _missing_since_s: dict[str, float] = attrs.field(factory=dict)
    _unreachable_until_s: dict[str, float] = attrs.field(factory=dict)

    def reset(self) -> None:
        """Discard observations made under a lease that is no longer held."""
        self._missing_since_s = {}

    def forget_except(self, replicas: set[str]) -> None:
        """Drop the state of all replicas but the given ones."""
        self._missing_since_s = {
            key: since_s
            for key, since_s in self._missing_since_s.items()
            if key.partition('/')[0] in replicas
        }

    def is_usable(self, host: str, now_s: float) -> bool:
        """Return whether a host may be used in plans."""
        return self._unreachable_until_s.get(host, 0) <= now_s

    def has_recent_grant(self, record: Replica) -> bool:
        """Return whether a serving replica's grant makes a probe needless."""
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
        """Return whether a replica has lost a host or stays unready.

        A replica that was revoked as broken, or a host that restarted or
        left it, is lost at once. Otherwise a verifier's grant overrides
        failed probes of this daemon, which may itself be cut off from the
        hosts.
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
            self.record_unreachable(host.host)
            since_s = self._missing_since_s.setdefault(key, now_s)
            lost = lost or now_s - since_s >= HOST_LOST_AFTER_S
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
        """Return whether a host answers but has been unready for too long.

        An engine that lost contact with another host of its replica does
        not recover by itself.
        """
        key = f'{record.replica}/ready'
        unready = any(status and not status.ready for status in statuses)
        if record.state is not ReplicaState.SERVING or not unready:
            self._missing_since_s.pop(key, None)
            return False
        now_s = self.node.clock.now_s()
        since_s = self._missing_since_s.setdefault(key, now_s)
        return now_s - since_s >= ENGINE_UNREADY_TIMEOUT_S

    def record_unreachable(self, host: str) -> None:
        """Exclude a host from plans for a while, since the host list lags."""
        now_s = self.node.clock.now_s()
        self._unreachable_until_s[host] = now_s + _UNREACHABLE_S
