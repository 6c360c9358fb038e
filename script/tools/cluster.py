"""Start the stand-ins and daemons as separate processes on loopback."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import attrs

from yuccavalve.adapters.http import CallFailedError, HttpJsonClient

__all__ = ('Cluster', 'DaemonOptions', 'Process')

_READY_TIMEOUT_S = 30.0
_POLL_S = 0.02
_CALL_TIMEOUT_S = 20.0
_PLATFORM_KEY = 'platform-key'
_OPERATOR_KEY = 'operator-key'
_PEER_KEY = 'peer-key'


@attrs.define(eq=False)
class Process:
    """A process that the cluster has started."""

    name: str
    popen: subprocess.Popen[bytes]
    address: str = ''

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.popen.kill()
        self.popen.wait()

    def pause(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.popen.send_signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop with SIGTERM."""
        self.popen.send_signal(signal.SIGTERM)

    async def async_wait(self, timeout_s: float) -> int:
        """Wait until the process exits; return its exit status."""
        until_s = time.monotonic() + timeout_s
        while self.popen.poll() is None:
            if time.monotonic() > until_s:
                raise TimeoutError(
                    f'{self.name} has not exited within {timeout_s} s',
                )
            await asyncio.sleep(_POLL_S)
        return self.popen.returncode


@attrs.frozen
class DaemonOptions:
    """Daemon settings that tests vary."""

    region: str = 'region-1'
    availability_zone: str = 'region-1-a'
    entry_lifetime_s: float = 1
    drain_bound_s: float = 30
    stream_idle_s: float = 3
    caller_stall_s: float = 5
    max_queued: int = 512
    merge_delay_ms: int = 60
    table_address: str = ''
    peer_address: str = '127.0.0.1:0'
    advertised_peer_address: str = ''


class Cluster:
    """Processes of one run, stopped together."""

    def __init__(self) -> None:
        """Create a temporary directory for settings, keys and logs."""
        self._directory = tempfile.TemporaryDirectory(prefix='yuccavalve-')
        self.path = Path(self._directory.name)
        self.processes: dict[str, Process] = {}
        self.platform_key = self._write_key('platform', _PLATFORM_KEY)
        self.operator_key = self._write_key('operator', _OPERATOR_KEY)
        self.peer_key = self._write_key('peer', _PEER_KEY)
        self._caller = HttpJsonClient(_CALL_TIMEOUT_S, _PLATFORM_KEY)
        self._operator = HttpJsonClient(_CALL_TIMEOUT_S, _OPERATOR_KEY)

    async def async_close(self) -> None:
        """Kill the processes that still run and remove the directory."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.resume()
                process.kill()
        self._directory.cleanup()

    async def async_start_platform(self, lag_s: float = 5) -> Process:
        """Start the platform stand-in."""
        return await self._async_start(
            'platform',
            'standin',
            'platform',
            '--key-file',
            str(self.platform_key),
            '--lag-s',
            str(lag_s),
        )

    async def async_start_engine(
        self,
        host: str,
        domain: str,
        *options: str,
    ) -> Process:
        """Start the engine stand-in of a host."""
        return await self._async_start(
            host,
            'standin',
            'engine',
            '--host',
            host,
            '--fabric-domain',
            domain,
            '--platform-address',
            self.processes['platform'].address,
            '--key-file',
            str(self.platform_key),
            *options,
        )

    async def async_start_plain(self, name: str) -> Process:
        """Start a backend server of a plain service."""
        return await self._async_start(
            name,
            'standin',
            'plain',
            '--name',
            name,
        )

    async def async_start_daemon(
        self,
        name: str,
        options: DaemonOptions | None = None,
        seeds: Sequence[str] = (),
        *,
        wait: bool = True,
    ) -> Process:
        """Start a daemon; wait until it is ready unless told otherwise."""
        settings = self.write_settings(name, options or DaemonOptions(), seeds)
        return await self._async_start(
            name,
            'serve',
            str(settings),
            '--verbose',
            wait=wait,
        )

    def write_settings(
        self,
        name: str,
        options: DaemonOptions,
        seeds: Sequence[str] = (),
    ) -> Path:
        """Write a daemon's settings file and return its path."""
        platform = options.table_address
        if not platform:
            platform = self.processes['platform'].address
        path = self.path / f'{name}.toml'
        quoted = ', '.join(f'"{seed}"' for seed in seeds)
        path.write_text(
            f"""
[daemon]
name = "{name}"
region = "{options.region}"
availability_zone = "{options.availability_zone}"
caller_address = "127.0.0.1:0"
peer_address = "{options.peer_address}"
advertised_peer_address = "{options.advertised_peer_address}"
peer_seeds = [{quoted}]
ready_file = "{self.path / name}.ready"

[platform]
table_address = "{platform}"
object_address = "{self.processes['platform'].address}"
host_list_address = "{self.processes['platform'].address}"

[access]
operator_key_file = "{self.operator_key}"
peer_key_file = "{self.peer_key}"
platform_key_file = "{self.platform_key}"

[limits]
stream_idle_s = {options.stream_idle_s}
caller_stall_s = {options.caller_stall_s}
max_queued = {options.max_queued}
merge_delay_ms = {options.merge_delay_ms}

[stop]
entry_lifetime_s = {options.entry_lifetime_s}
drain_bound_s = {options.drain_bound_s}
""",
        )
        return path

    async def async_call_admin(self, name: str, path: str, body: Any) -> Any:
        """Call an admin path of a stand-in; return the body of the reply."""
        address = self.processes[name].address
        reply = await self._caller.async_post(address, path, body)
        return reply.body

    async def async_call_operator(self, name: str, call: str, body: Any) -> Any:
        """Send an operator call to a daemon and return the reply."""
        address = self.processes[name].address
        reply = await self._operator.async_post(
            address,
            f'/operator/v1/{call}',
            body,
        )
        return reply

    async def async_status(self, name: str) -> Any:
        """Return a daemon's status document."""
        return (await self.async_call_operator(name, 'status', {})).body

    async def async_edit(
        self,
        name: str,
        section: str,
        entry_name: str,
        entry: dict[str, Any] | None = None,
    ) -> Any:
        """Commit an edit through a daemon and return the reply."""
        edit = {'section': section, 'name': entry_name, 'entry': entry}
        change_id = f'{section}-{entry_name}-{time.monotonic_ns()}'
        return await self.async_call_operator(
            name,
            'changes',
            {'change_id': change_id, 'author': 'test', 'edit': edit},
        )

    async def async_wait_status(
        self,
        name: str,
        condition: Any,
        timeout_s: float = 30,
    ) -> Any:
        """Wait until a daemon's status meets a condition; return the status."""
        until_s = time.monotonic() + timeout_s
        status: Any = None
        while time.monotonic() < until_s:
            with contextlib.suppress(CallFailedError):
                status = await self.async_status(name)
                if condition(status):
                    return status
            await asyncio.sleep(0.05)
        raise TimeoutError(
            f'{name}: condition not met within {timeout_s} s: {status}',
        )

    def log(self, name: str) -> str:
        """Return the log of a process."""
        return (self.path / f'{name}.log').read_text()

    async def _async_start(
        self,
        name: str,
        *arguments: str,
        wait: bool = True,
    ) -> Process:
        ready = self.path / f'{name}.ready'
        ready.unlink(missing_ok=True)
        command = [sys.executable, '-m', 'yuccavalve', *arguments]
        if arguments[0] == 'standin':
            command.extend(('--ready-file', str(ready)))
        with (self.path / f'{name}.log').open('ab') as log:
            popen = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                env={**os.environ, 'PYTHONUNBUFFERED': '1'},
            )
        process = Process(name, popen)
        self.processes[name] = process
        if wait:
            await self.async_wait_ready(name)
        return process

    async def async_wait_ready(self, name: str) -> None:
        """Wait until a process has written its ready file."""
        ready = self.path / f'{name}.ready'
        process = self.processes[name]
        until_s = time.monotonic() + _READY_TIMEOUT_S
        while not ready.exists():
            if process.popen.poll() is not None or time.monotonic() > until_s:
                raise RuntimeError(
                    f'{name} exited or was not ready within '
                    f'{_READY_TIMEOUT_S} s:\n{self.log(name)}',
                )
            await asyncio.sleep(_POLL_S)
        process.address = ready.read_text()

    def _write_key(self, name: str, key: str) -> Path:
        path = self.path / f'{name}.key'
        path.write_text(key)
        return path
