"""Operator edits of a configuration document."""

from types import MappingProxyType
from typing import Any

import attrs

from yuccavalve.configuration.codec import structure_entry
from yuccavalve.configuration.models import (
    Document,
    Group,
    Preset,
    Service,
    Workspace,
)
from yuccavalve.exceptions import ConfigurationInvalidError

__all__ = ('SECTIONS', 'Edit', 'apply_edit')

SECTIONS = MappingProxyType(
    {
        'groups': Group,
        'services': Service,
        'presets': Preset,
        'workspaces': Workspace,
    },
)
_PRESET_IN_FORCE = 'preset_in_force'


@attrs.frozen
class Edit:
    """One edit, as the command line sends it.

    Attributes
    ----------
    section
        ``groups``, ``services``, ``presets``, ``workspaces`` or
        ``preset_in_force``.
    name
        The entry, or the preset to put in force.
    entry
        The new entry; None removes the named one.
    must_exist
        True rejects an edit of an entry that does not exist, False one of an
        entry that exists; None accepts both.
    """

    section: str
    name: str
    entry: dict[str, Any] | None = None
    must_exist: bool | None = None

    @property
    def summary(self) -> str:
        """Return a one-line description for operators."""
        if self.section == _PRESET_IN_FORCE:
            return f'use preset {self.name}'
        verb = 'remove' if self.entry is None else 'put'
        return f'{verb} {self.section}.{self.name}'


def apply_edit(document: Document, edit: Edit) -> Document:
    """Return the document with an edit applied.

    Raises
    ------
    ConfigurationInvalidError
        With the path of the invalid section, entry or field.
    """
    if edit.section == _PRESET_IN_FORCE:
        return attrs.evolve(document, preset_in_force=edit.name)
    entry_type = SECTIONS.get(edit.section)
    if entry_type is None:
        raise ConfigurationInvalidError(
            f'section: found {edit.section!r}, expected one of '
            f'{", ".join([*SECTIONS, _PRESET_IN_FORCE])}',
        )
    entries = {entry.name: entry for entry in getattr(document, edit.section)}
    _check_presence(edit, present=edit.name in entries)
    if edit.entry is None:
        entries.pop(edit.name)
    else:
        entries[edit.name] = structure_entry(
            {**edit.entry, 'name': edit.name},
            entry_type,
        )
    return attrs.evolve(document, **{edit.section: tuple(entries.values())})


def _check_presence(edit: Edit, *, present: bool) -> None:
    path = f'{edit.section}.{edit.name}'
    needed = edit.must_exist or edit.entry is None
    if needed and not present:
        raise ConfigurationInvalidError(f'{path}: does not exist')
    if edit.must_exist is False and present:
        raise ConfigurationInvalidError(f'{path}: exists already')
