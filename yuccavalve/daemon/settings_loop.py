"""Reload the settings file while the daemon runs."""

import asyncio
from collections.abc import Callable
from pathlib import Path

import attrs
from absl import logging

from yuccavalve.daemon.gateway_node import GatewayNode
from yuccavalve.exceptions import SettingsInvalidError
from yuccavalve.settings import GatewaySettings
from yuccavalve.timing import async_wait

__all__ = ('SettingsLoop',)

# The file may change without a signal; no setting has to apply sooner.
_POLL_PERIOD_S = 2.0
_RELOADABLE_SECTIONS = ('bounds',)


@attrs.define
class SettingsLoop:
    """Reloads the settings file after a signal or when it has changed.

    Changed bounds apply at once. Other sections need a restart, which is
    logged; until then the daemon keeps their old values.

    Attributes
    ----------
    path
        The settings file; None if the daemon has none.
    reload_requested
        Set when a signal requests a reload.
    """

    node: GatewayNode
    path: Path | None
    load: Callable[[Path], GatewaySettings]
    reload_requested: asyncio.Event = attrs.field(factory=asyncio.Event)
    _last_modified_ns: int = attrs.field(init=False)

    @_last_modified_ns.default
    def _initial_modified_ns(self) -> int:
        return self._modified_ns()

    async def async_run(self) -> None:
        """Watch the file until cancelled."""
        while True:
            reload_requested = await async_wait(
                self.reload_requested, _POLL_PERIOD_S
            )
            self.apply_changes(reload_requested=reload_requested)

    def apply_changes(self, *, reload_requested: bool = False) -> None:
        """Reload the file if it has changed or a reload was requested."""
        self.reload_requested.clear()
        modified_ns = self._modified_ns()
        if reload_requested or modified_ns != self._last_modified_ns:
            self._last_modified_ns = modified_ns
            self._reload()

    def _modified_ns(self) -> int:
        if self.path is None:
            return 0
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            logging.warning('event=settings_unseen cause=%r', str(error))
            return 0

    def _reload(self) -> None:
        if self.path is None:
            logging.warning('event=reload_asked changed=0')
            return
        try:
            settings = self.load(self.path)
        except SettingsInvalidError as error:
            logging.error(
                'event=settings_refused result=%d cause=%r',
                int(error.code),
                str(error),
            )
            return
        changed = [
            field.name
            for field in attrs.fields(GatewaySettings)
            if getattr(settings, field.name)
            != getattr(self.node.settings, field.name)
        ]
        logging.warning(
            'event=settings_reloaded changed=%s',
            ','.join(changed) or 'nothing',
        )
        need_restart = [
            name for name in changed if name not in _RELOADABLE_SECTIONS
        ]
        if need_restart:
            logging.warning(
                'event=settings_need_restart sections=%s',
                ','.join(need_restart),
            )
        self.node.apply_bounds(settings.bounds)
