"""Start and run a daemon, and stop it gracefully."""

import asyncio
import gc
import signal
import socket
from random import Random

import attrs
from absl import logging

from yuccavalve.daemon.application import RequestServer
from yuccavalve.daemon.duty_loop import DutyLoop
from yuccavalve.daemon.electorate_duty import ElectorateDuty
from yuccavalve.daemon.node import Node, build_node
from yuccavalve.daemon.peer_loop import PeerLoop
from yuccavalve.daemon.permit_loop import PermitLoop
from yuccavalve.daemon.planner_duty import PlannerDuty
from yuccavalve.daemon.quarantine_loop import QuarantineLoop
from yuccavalve.daemon.store_loop import StoreLoop
from yuccavalve.daemon.verify_loop import VerifyLoop
from yuccavalve.exceptions import StoreUnavailableError
from yuccavalve.membership.const import DUTY_ELECTORATE, DUTY_PLANNER
from yuccavalve.peers import PeerServer
from yuccavalve.peers.state_server import StateServicer
from yuccavalve.serving import HttpServer, bind_socket
from yuccavalve.settings import Settings

__all__ = ('EXIT_BOUND_REACHED', 'run_daemon')

EXIT_OK = 0
EXIT_BOUND_REACHED = 3
EXIT_LOOP_ENDED = 4
_READY_POLL_S = 0.05
_COLLECT_THRESHOLDS = (20000, 20, 100)


def run_daemon(settings: Settings, seed: int | None = None) -> int:
    """Run a daemon until it is signalled and return the exit status.

    Returns
    -------
    int
        0 if every request in flight completed, 3 if the stop bound or a
        second signal cancelled some, 4 if a background loop ended.
    """
    return asyncio.run(_async_run(settings, Random(seed)))


async def _async_run(settings: Settings, random: Random) -> int:
    listener = bind_socket(settings.daemon.caller_address)
    host, port = listener.getsockname()[:2]
    advertised = settings.daemon.advertised_caller_address
    node = build_node(settings, advertised or f'{host}:{port}', random)
    daemon = _Daemon(node, HttpServer)
    await daemon.async_start(listener)
    try:
        return await daemon.async_run_until_stopped()
    finally:
        await daemon.async_close()


def _reduce_full_collections() -> None:
    """Make full garbage collections rare, since they pause all streams."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_COLLECT_THRESHOLDS)


class _Daemon:
    def __init__(self, node: Node, server_class: type[HttpServer]) -> None:
        self._node = node
        self._requests = RequestServer(node)
        self._server_class = server_class
        self._duties = (
            DutyLoop(node, DUTY_PLANNER, PlannerDuty(node)),
            DutyLoop(node, DUTY_ELECTORATE, ElectorateDuty(node)),
        )
        node.grantor.term = self._planner_term
        node.grantor.holder_address = self._planner_address
        self._store_loop = StoreLoop(node)
        self._peer_server = PeerServer(
            StateServicer(node.peer_state, node.grantor),
            node.keys.peer,
        )
        self._http: HttpServer | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._ready_task: asyncio.Task[None] | None = None
        self._signals: asyncio.Queue[int] = asyncio.Queue()

    async def async_start(self, listener: socket.socket) -> None:
        node = self._node
        daemon = node.settings.daemon
        bound = await self._peer_server.async_start(daemon.peer_address)
        node.roster.local_member = attrs.evolve(
            node.local_member,
            peer_address=daemon.advertised_peer_address or bound,
        )
        self._watch_signals()
        self._http = self._server_class(
            self._requests.application,
            listener,
        )
        await self._http.async_start()
        loops = [
            self._store_loop.async_run(),
            PeerLoop(node).async_run(),
            VerifyLoop(node).async_run(),
            *(duty.async_run() for duty in self._duties),
            self._quarantine_loop().async_run(),
            self._permit_loop().async_run(),
            *self._requests.background_loops(),
        ]
        self._tasks = [asyncio.create_task(loop) for loop in loops]
        self._ready_task = asyncio.create_task(self._async_write_ready_file())
        _reduce_full_collections()

    def _quarantine_loop(self) -> QuarantineLoop:
        node = self._node
        planner = self._duties[0].lease
        return QuarantineLoop(
            node.quarantine,
            node.platform.table,
            node.clock,
            node.random,
            lambda: planner.is_held(node.clock.now_s()),
        )

    def _permit_loop(self) -> PermitLoop:
        node = self._node
        return PermitLoop(
            node.limiter,
            node.grantor,
            node.peers,
            node.clock,
            node.random,
            node.local_member.member,
            node.planner_addresses,
        )

    def _planner_address(self) -> str:
        holder, _ = self._duties[0].lease.holder()
        member = self._node.roster.get(holder)
        return '' if member is None else member.peer_address

    def _planner_term(self) -> int | None:
        lease = self._duties[0].lease
        if not lease.is_held(self._node.clock.now_s()):
            return None
        condition = lease.term_condition
        return None if condition is None else condition.version or 0

    async def async_run_until_stopped(self) -> int:
        signalled = asyncio.create_task(self._signals.get())
        await asyncio.wait(
            (signalled, *self._tasks),
            return_when=asyncio.FIRST_COMPLETED,
        )
        if signalled.done():
            return await self._async_stop()
        signalled.cancel()
        for task in self._tasks:
            if task.done():
                logging.error('background loop %s ended, stopping', task)
        await self._async_stop()
        return EXIT_LOOP_ENDED

    async def async_close(self) -> None:
        tasks = self._tasks.copy()
        if self._ready_task is not None:
            tasks.append(self._ready_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._peer_server.async_stop()
        if self._http is not None:
            await self._http.async_stop()
        await self._node.peers.async_close()

    def _watch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._signals.put_nowait, number)

    async def _async_write_ready_file(self) -> None:
        """Write the ready file once new requests can be admitted."""
        node = self._node
        path = node.settings.daemon.ready_file
        while not node.adoption.is_fresh(node.clock.now_s()):
            await asyncio.sleep(_READY_POLL_S)
        if path is not None:
            partial = path.with_suffix('.partial')
            partial.write_text(node.local_member.caller_address)
            partial.rename(path)

    async def _async_stop(self) -> int:
        """Stop gracefully and return the exit status.

        Mark this daemon as leaving and wait until entry answers that name
        it have expired. Then refuse new requests, wait for those in flight
        and remove the member row. A second signal ends both waits. Requests
        whose deadline is after the end of both waits are refused before they
        are passed on.
        """
        node = self._node
        stop = node.settings.stop
        logging.info('stopping=%s', node.local_member.member)
        node.mark_leaving()
        self._requests.admission.refuse_leaving(node.may_cut)
        await self._async_register_leaving()
        await asyncio.gather(*(duty.async_release() for duty in self._duties))
        second = asyncio.create_task(self._signals.get())
        await asyncio.wait((second,), timeout=stop.entry_lifetime_s)
        node.refusing = True
        idle = asyncio.create_task(
            self._requests.pipeline.running.async_wait_idle()
        )
        await asyncio.wait(
            (second, idle),
            timeout=stop.drain_bound_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        status = EXIT_OK
        if not idle.done():
            self._requests.pipeline.running.cancel_all()
            status = EXIT_BOUND_REACHED
        await idle
        second.cancel()
        await self._async_unregister()
        return status

    async def _async_register_leaving(self) -> None:
        try:
            await self._node.registry.async_write(self._node.local_member)
        except StoreUnavailableError as error:
            logging.info('leaving not registered: %s', error)

    async def _async_unregister(self) -> None:
        try:
            await self._node.registry.async_remove(
                self._node.local_member.member
            )
        except StoreUnavailableError as error:
            logging.info('member row not removed: %s', error)
