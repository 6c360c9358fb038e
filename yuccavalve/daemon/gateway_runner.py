"""Start, run and stop a gateway daemon."""

import asyncio
import gc
import signal
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import attrs
from absl import logging

from yuccavalve.daemon.early_start import NOTHING_DONE, EarlyStart
from yuccavalve.daemon.formation_duty import FormationDuty
from yuccavalve.daemon.gateway_loops import EngineLoop, RoutingLoop, StallLoop
from yuccavalve.daemon.gateway_metrics import metrics_application
from yuccavalve.daemon.gateway_node import (
    GatewayNode,
    GatewayPorts,
    build_gateway_node,
)
from yuccavalve.daemon.gateway_peers import MemberLoop, ShareLoop
from yuccavalve.daemon.lease_loop import LeaseLoop
from yuccavalve.daemon.loop_guard import async_run_guarded
from yuccavalve.daemon.partition_loop import PartitionLoop
from yuccavalve.daemon.order_passing import PassedOrders
from yuccavalve.daemon.permit_loop import PermitLoop
from yuccavalve.daemon.quarantine_loop import QuarantineLoop
from yuccavalve.daemon.settings_loop import SettingsLoop
from yuccavalve.exceptions import (
    StoreUnavailableError,
    TransactionConflictError,
)
from yuccavalve.gateway.const import (
    KEEP_ALIVE_S,
    STOP_CANCEL_MARGIN_S,
    STOP_CLOSE_MARGIN_S,
    STOP_LISTEN_FRACTION,
    STOP_MAX_MARGIN_FRACTION,
)
from yuccavalve.observability.logs import LogRateLimiter
from yuccavalve.peers import PeerServer, ShareServicer
from yuccavalve.relay.entry import RelayEntry
from yuccavalve.serving import HttpServer, bind_socket
from yuccavalve.settings import GatewaySettings, load_gateway_settings

__all__ = ('GatewayDaemon', 'run_gateway')

_EXIT_OK = 0
_EXIT_LOOP_ENDED = 4
_PEER_KEY = ''
_COLLECT_THRESHOLDS = (20000, 20, 100)
_CANCEL_WAIT_S = 0.2
# Least time for the answers to requests that were accepted last.
_MIN_DRAIN_S = 0.3


def run_gateway(
    settings: GatewaySettings,
    ports: GatewayPorts,
    settings_file: Path | None = None,
    log_rate_limiter: LogRateLimiter | None = None,
    early_start: EarlyStart = NOTHING_DONE,
) -> int:
    """Run a gateway daemon until it is signalled; return the exit status.

    Parameters
    ----------
    settings
        Initial settings.
    ports
        Ports to the external systems.
    settings_file
        File from which changed settings are reloaded.
    log_rate_limiter
        Counts the log lines that were left out.
    early_start
        What was done before the imports.
    """
    node = build_gateway_node(settings, ports, Random())
    node.log_rate_limiter = log_rate_limiter or node.log_rate_limiter
    node.startup.others_are_down = early_start.others_are_down
    if early_start.others_are_down:
        logging.warning(
            'event=started_without_neighbors listens_early=%s',
            early_start.listener is not None,
        )
    daemon = GatewayDaemon(node, settings_file, early_start)
    return asyncio.run(daemon.async_run())


def _reduce_collections() -> None:
    """Make garbage collections rare, since they pause all streams.

    A process that has imported its modules without collections skips this one
    too: it takes as long as a tenth of the start, and finds hardly anything.
    """
    if gc.isenabled():
        gc.collect()
    gc.freeze()
    gc.enable()
    gc.set_threshold(*_COLLECT_THRESHOLDS)


class GatewayDaemon:
    """The loops and servers of one gateway daemon."""

    def __init__(
        self,
        node: GatewayNode,
        settings_file: Path | None = None,
        early_start: EarlyStart = NOTHING_DONE,
    ) -> None:
        """Create the loops; no socket is opened yet.

        A socket on which callers wait already is used for them.
        """
        self._node = node
        self._early_start = early_start
        self._settings_loop = SettingsLoop(
            node,
            settings_file,
            load_gateway_settings,
        )
        self._member_loop = MemberLoop(node)
        self._lease_loop = LeaseLoop(node)
        node.grantor.term = self._lease_loop.term
        self._signals: asyncio.Queue[int] = asyncio.Queue()
        self._signalled_at_s: float | None = None
        self._servers: list[HttpServer] = []
        self._peer_server: PeerServer | None = None
        self._relay_entry = RelayEntry(node.gateway, node.random)
        self._passed_orders = PassedOrders(
            node.ports.orders,
            node.clock,
            node.loop_delay,
            lambda: node.reach.doubtful,
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def async_run(self) -> int:
        """Serve until a signal to stop; return the exit status."""
        self._watch_signals()
        logging.warning(
            'event=started daemon=%s member=%s',
            self._node.settings.daemon.name,
            self._node.roster.local_member.member,
        )
        try:
            return await self._async_serve()
        finally:
            await self._async_close()

    async def _async_serve(self) -> int:
        await self._async_listen()
        self._tasks = [
            asyncio.create_task(async_run_guarded(run, self._node.random))
            for run in self._loops()
        ]
        _reduce_collections()
        signalled = asyncio.create_task(self._async_stop_signal())
        await asyncio.wait(
            (signalled, *self._tasks),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if not signalled.done():
            signalled.cancel()
            logging.error('event=loop_ended loops=%s', self._tasks)
            return _EXIT_LOOP_ENDED
        await self._async_stop()
        return _EXIT_OK

    async def _async_close(self) -> None:
        """Cancel the loops and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(
            *(server.async_abort() for server in self._servers)
        )
        if self._peer_server is not None:
            await self._peer_server.async_stop()
        await self._node.peers.async_close()

    def request_stop(self) -> None:
        """Begin a graceful stop, as SIGTERM does."""
        self._record_stop_signal()
        self._signals.put_nowait(signal.SIGTERM)

    def _loops(self) -> list[Callable[[], Awaitable[None]]]:
        node = self._node
        return [
            RoutingLoop(node).async_run,
            EngineLoop(node).async_run,
            self._member_loop.async_run,
            ShareLoop(node).async_run,
            StallLoop(node).async_run,
            PartitionLoop(node).async_run,
            self._quarantine_loop().async_run,
            self._permit_loop().async_run,
            self._lease_loop.async_run,
            self._settings_loop.async_run,
            FormationDuty(node, self._lease_loop).async_run,
        ]

    def _quarantine_loop(self) -> QuarantineLoop:
        node = self._node
        loop = QuarantineLoop(
            node.share_state.quarantine,
            node.ports.table,
            node.clock,
            node.random,
            self._lease_loop.is_held,
            node.record_quarantine_read,
            node.ports.unreadable,
        )
        node.on_era(loop.begin_era)
        return loop

    def _permit_loop(self) -> PermitLoop:
        node = self._node
        return PermitLoop(
            node.limiter,
            node.grantor,
            node.peers,
            node.clock,
            node.random,
            node.roster.local_member.member,
            node.planner_addresses,
        )

    async def _async_listen(self) -> None:
        node = self._node
        listen = node.settings.listen
        # gRPC binds a server to the event loop that runs at its creation.
        servicer = ShareServicer(
            node.share_state,
            node.view,
            node.urgent_update.set,
            node.mark_remote_leaving,
            node.grantor,
            self._passed_orders.async_carry_out,
            node.ports.unreadable,
        )
        self._peer_server = PeerServer(servicer, _PEER_KEY)
        bound = {
            'peer': await self._peer_server.async_start(listen.peer_address),
        }
        entry_application = node.ports.entry_application(node.entry_directory)
        for purpose, address, application in (
            ('caller', listen.caller_address, node.gateway),
            ('ready', listen.ready_address, entry_application),
            ('directory', listen.directory_address, entry_application),
            ('relay', listen.relay_address, self._relay_entry),
            (
                'metrics',
                listen.metrics_address,
                metrics_application(node, self._relay_entry),
            ),
        ):
            if address:
                server = HttpServer(
                    application,
                    self._listener(purpose, address),
                    KEEP_ALIVE_S,
                    node.received,
                )
                await server.async_start()
                self._servers.append(server)
                bound[purpose] = server.address
        self._record_addresses(bound)

    def _listener(self, purpose: str, address: str) -> socket.socket:
        """Return the socket for an address, which may listen already."""
        early_listener = self._early_start.listener
        if purpose == 'caller' and early_listener is not None:
            return early_listener
        return bind_socket(address)

    def _record_addresses(self, bound: dict[str, str]) -> None:
        """Tell other daemons and the log the addresses in use.

        They differ from the settings where these leave the port to the system.
        """
        roster = self._node.roster
        roster.local_member = attrs.evolve(
            roster.local_member,
            peer_address=bound['peer'],
            caller_address=bound.get('caller', ''),
            relay_address=bound.get('relay', ''),
        )
        logging.warning(
            'event=listening %s',
            ' '.join(f'{name}={address}' for name, address in bound.items()),
        )

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, self._signals.put_nowait, number)
            if number != signal.SIGHUP:
                signal.signal(number, self._record_stop_signal)
                signal.siginterrupt(number, False)
        for at_s in self._early_start.stop_signals_at_s[:1]:
            self._signalled_at_s = at_s
            self._signals.put_nowait(signal.SIGTERM)

    def _record_stop_signal(self, *_: object) -> None:
        """Record when the first signal to stop came.

        This runs between bytecodes, the event loop's own handler only once
        what blocks the loop has ended. The loop is woken by its file
        descriptor, whatever handler is set.
        """
        if self._signalled_at_s is None:
            self._signalled_at_s = self._node.clock.now_s()

    async def _async_stop_signal(self) -> None:
        while True:
            number = await self._signals.get()
            if number != signal.SIGHUP:
                return
            self._settings_loop.reload_requested.set()

    async def _async_stop(self) -> None:
        """Direct callers to other daemons and finish requests in flight.

        All times count from the signal, however long the store takes to
        remove this daemon's rows. The grace time may have changed since the
        settings file was last read.
        """
        node = self._node
        self._settings_loop.apply_changes()
        grace_s = node.settings.bounds.grace_s
        signalled_at_s = self._signalled_at_s or node.clock.now_s()
        end_at_s = signalled_at_s + grace_s
        cancel_at_s = end_at_s - min(
            STOP_CANCEL_MARGIN_S, grace_s * STOP_MAX_MARGIN_FRACTION
        )
        logging.warning(
            'event=stopping in_flight=%d', len(node.gateway.running)
        )
        node.gateway.begin_stop(cancel_at_s)
        node.roster.local_member = attrs.evolve(
            node.roster.local_member, leaving=True
        )
        node.urgent_update.set()
        hand_over = asyncio.create_task(self._async_hand_over())
        self._tasks.append(hand_over)
        await asyncio.sleep(
            self._remaining_s(signalled_at_s + grace_s * STOP_LISTEN_FRACTION)
        )
        idle = asyncio.create_task(node.gateway.running.async_wait_idle())
        await asyncio.wait((idle,), timeout=self._remaining_s(cancel_at_s))
        if not idle.done():
            logging.warning(
                'event=stop_bound in_flight=%d', len(node.gateway.running)
            )
            node.gateway.running.cancel_all()
            await asyncio.wait((idle,), timeout=_CANCEL_WAIT_S)
        drain_s = max(
            _MIN_DRAIN_S, self._remaining_s(end_at_s - STOP_CLOSE_MARGIN_S)
        )
        await asyncio.gather(
            *(server.async_drain(drain_s) for server in self._servers)
        )
        logging.warning('event=stopped')

    def _remaining_s(self, until_s: float) -> float:
        """Return the time until a monotonic time, 0 once it has passed."""
        return max(0, until_s - self._node.clock.now_s())

    async def _async_hand_over(self) -> None:
        try:
            await self._lease_loop.async_release()
            await self._member_loop.async_unregister()
        except (StoreUnavailableError, TransactionConflictError) as error:
            logging.warning('event=hand_over_failed cause=%r', str(error))
