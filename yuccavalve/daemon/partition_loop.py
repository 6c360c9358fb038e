"""Probe engines after failures, and tell when this daemon reaches none."""

import asyncio

import attrs
from absl import logging

from yuccavalve.daemon.gateway_node import GatewayNode
from yuccavalve.exceptions import BackendLostError, BackendNotReachedError
from yuccavalve.fleet.activity import engine_key
from yuccavalve.gateway.const import CONNECT_TIMEOUT_S
from yuccavalve.ports.fleet import EngineRecord
from yuccavalve.relay import (
    ContactFailure,
    PartitionChange,
    ProbeSchedule,
    target_of,
)
from yuccavalve.relay.const import (
    CHECK_S,
    IDLE_CHECK_S,
    MIN_SILENT_GROUPS,
    SILENT_S,
)
from yuccavalve.timing import async_wait

__all__ = ('PartitionLoop',)

_MS = 1000


@attrs.define
class PartitionLoop:
    """Carries out what the detector of partitions needs and decides.

    Without evidence it only looks for silent streams.
    """

    node: GatewayNode
    schedule: ProbeSchedule = attrs.field(init=False)
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)

    @schedule.default
    def _new_schedule(self) -> ProbeSchedule:
        return ProbeSchedule(self.node.random)

    async def async_run(self) -> None:
        """Check until cancelled; do nothing if partitions don't matter."""
        if not self.node.reach.active:
            await asyncio.Event().wait()
        try:
            while True:
                await self._async_wait()
                self._check()
        finally:
            for task in self._tasks:
                task.cancel()

    async def _async_wait(self) -> None:
        """Wait for the next check, and record a delay of the event loop."""
        node = self.node
        reach = node.reach
        if not reach.is_busy():
            await async_wait(reach.evidence, IDLE_CHECK_S)
            reach.evidence.clear()
            return
        due_s = node.clock.now_s() + CHECK_S
        await asyncio.sleep(CHECK_S)
        now_s = node.clock.now_s()
        node.loop_delay.record(now_s - due_s, now_s)

    def _check(self) -> None:
        node = self.node
        reach = node.reach
        now_s = node.clock.now_s()
        self._record_silent(now_s)
        change = reach.detector.check(now_s, node.loop_delay.blocked_at_s)
        if change is not None:
            self._apply(change, now_s)
        reach.release(now_s)
        if reach.is_busy():
            self._start_probes(now_s)
        if node.relay_sender is not None:
            node.relay_sender.cancel_gone()

    def _record_silent(self, now_s: float) -> None:
        node = self.node
        connected_s = now_s - node.reach.detector.connected_at_s
        if node.reach.partitioned or connected_s < SILENT_S:
            return
        silent = set(node.activity.silent(now_s, SILENT_S))
        if not silent:
            return
        records = [
            record
            for record in node.view.records()
            if engine_key(record) in silent
        ]
        groups = {target_of(record).group for record in records}
        if len(groups) < MIN_SILENT_GROUPS:
            return
        for record in records:
            node.reach.record_failure(
                record, ContactFailure.SILENT, now_s, now_s
            )

    def _apply(self, change: PartitionChange, now_s: float) -> None:
        """Tell others and the log that a partition began or ended."""
        node = self.node
        node.activity.record_partition(change.partitioned)
        node.share_state.record_reach(engines_unreachable=change.partitioned)
        node.urgent_update.set()
        gate = node.gateway.admission
        if change.partitioned and gate is not None:
            gate.refuse_unreachable()
        if change.partitioned:
            logging.warning(
                'event=engines_unreachable neighbors=%d cause=%r',
                len(self._neighbors(now_s)),
                change.cause,
            )
        else:
            logging.warning('event=engines_reachable cause=%r', change.cause)

    def _neighbors(self, now_s: float) -> list[object]:
        sender = self.node.relay_sender
        return [] if sender is None else list(sender.chooser.neighbors(now_s))

    def _start_probes(self, now_s: float) -> None:
        """Begin the probes that are due."""
        node = self.node
        detector = node.reach.detector
        due = self.schedule.due(now_s, partitioned=detector.partitioned)
        for _ in range(due):
            record = self.schedule.choose(
                node.view.records(), detector.failed_groups(), now_s
            )
            if record is None:
                return
            task = asyncio.create_task(self._async_probe(record))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _async_probe(self, record: EngineRecord) -> None:
        node = self.node
        began_at_s = node.clock.now_s()
        failure: ContactFailure | None = None
        try:
            await node.ports.relay.async_probe(
                record.address, CONNECT_TIMEOUT_S
            )
        except BackendNotReachedError as error:
            timed_out = isinstance(error.__cause__, TimeoutError)
            failure = (
                ContactFailure.TIMED_OUT
                if timed_out
                else ContactFailure.REFUSED
            )
        except BackendLostError:
            failure = ContactFailure.RESET
        now_s = node.clock.now_s()
        node.reach.detector.record_probe(
            target_of(record), failure, began_at_s, now_s
        )
        node.reach.evidence.set()
        if failure is not None:
            logging.info(
                'event=reach_probe_failed engine=%s outcome=%s took_ms=%d',
                record.engine,
                failure,
                (now_s - began_at_s) * _MS,
            )
