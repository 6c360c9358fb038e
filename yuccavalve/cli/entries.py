"""Commands that edit groups, services, presets and workspaces."""

import time
from pathlib import Path
from typing import Annotated, Any

import attrs
import typer

from yuccavalve.access import key_digest, read_key
from yuccavalve.cli.client import OperatorClient
from yuccavalve.cli.const import (
    ENV_ADDRESS,
    ENV_KEY_FILE,
    EXIT_NOT_ACCEPTED,
)
from yuccavalve.cli.output import print_json, print_rows
from yuccavalve.configuration.edits import SECTIONS, Edit
from yuccavalve.const import CONFIG_MAX_LAG_S

__all__ = (
    'Address',
    'AsJson',
    'KeyFile',
    'groups',
    'presets',
    'services',
    'workspaces',
)

Address = Annotated[
    str,
    typer.Option(envvar=ENV_ADDRESS, help='IP number and port of a daemon.'),
]
KeyFile = Annotated[
    Path,
    typer.Option(envvar=ENV_KEY_FILE, help='File with the operator key.'),
]
AsJson = Annotated[bool, typer.Option('--json', help='Print JSON.')]
Against = Annotated[
    int | None,
    typer.Option(help='Revision that the edit is made against.'),
]
Name = Annotated[str, typer.Argument(help='Name of the entry.')]

_WAIT_POLL_S = 0.2

groups = typer.Typer(help='Groups of hosts that form replicas.')
services = typer.Typer(help='Services that callers name.')
presets = typer.Typer(help='Presets, and the one in force.')
workspaces = typer.Typer(help='Workspaces and their shares.')


def _fetch_config(client: OperatorClient) -> dict[str, Any]:
    return client.call('configuration', {})


def _commit_edit(
    client: OperatorClient,
    edit: Edit,
    against: int | None,
) -> None:
    if against is None:
        against = _fetch_config(client)['revision']
    answer = client.change(edit, against)
    typer.echo(f'accepted: revision {answer["revision"]}')


def _add_common_commands(application: typer.Typer, section: str) -> None:
    columns = [field.name for field in attrs.fields(SECTIONS[section])]

    @application.command('list')
    def list_entries(  # noqa: WPS430
        address: Address,
        key_file: KeyFile,
        as_json: AsJson = False,
    ) -> None:
        """List the entries."""
        document = _fetch_config(OperatorClient(address, key_file))['document']
        rows = [_without_secret(row) for row in document[section]]
        shown = [name for name in columns if name != 'key_digest']
        print_rows(rows, shown, as_json=as_json)

    @application.command('show')
    def show_entry(  # noqa: WPS430
        name: Name,
        address: Address,
        key_file: KeyFile,
    ) -> None:
        """Show one entry as JSON."""
        document = _fetch_config(OperatorClient(address, key_file))['document']
        for row in document[section]:
            if row['name'] == name:
                print_json(_without_secret(row))
                return
        typer.echo(f'4104 NAME_UNKNOWN: {section}.{name}', err=True)
        raise typer.Exit(1)

    @application.command('remove')
    def remove_entry(  # noqa: WPS430
        name: Name,
        address: Address,
        key_file: KeyFile,
        against: Against = None,
    ) -> None:
        """Remove an entry."""
        edit = Edit(section, name)
        _commit_edit(OperatorClient(address, key_file), edit, against)


def _without_secret(row: dict[str, Any]) -> dict[str, Any]:
    return {name: row[name] for name in row if name != 'key_digest'}


def _updated_entry(
    client: OperatorClient,
    section: str,
    name: str,
    changes: dict[str, Any],
) -> dict[str, Any]:
    """Return an entry with those changes applied that are not None."""
    for row in _fetch_config(client)['document'][section]:
        if row['name'] == name:
            changed = {
                key: new for key, new in changes.items() if new is not None
            }
            return {**row, **changed}
    typer.echo(f'4104 NAME_UNKNOWN: {section}.{name}', err=True)
    raise typer.Exit(1)


@groups.command('create')
def create_group(
    name: Name,
    model: Annotated[str, typer.Option(help='Model to load.')],
    hosts_per_replica: Annotated[int, typer.Option(help='Hosts a replica.')],
    address: Address,
    key_file: KeyFile,
    slots: Annotated[int, typer.Option(help='Requests at once.')] = 32,
    downtime_weight: Annotated[float, typer.Option()] = 1,
    stranded_weight: Annotated[float, typer.Option()] = 1,
    against: Against = None,
) -> None:
    """Create a group."""
    entry = {
        'model': model,
        'hosts_per_replica': hosts_per_replica,
        'slots': slots,
        'downtime_weight': downtime_weight,
        'stranded_weight': stranded_weight,
    }
    edit = Edit('groups', name, entry, must_exist=False)
    _commit_edit(OperatorClient(address, key_file), edit, against)


@groups.command('edit')
def edit_group(
    name: Name,
    address: Address,
    key_file: KeyFile,
    model: Annotated[str | None, typer.Option()] = None,
    hosts_per_replica: Annotated[int | None, typer.Option()] = None,
    slots: Annotated[int | None, typer.Option()] = None,
    downtime_weight: Annotated[float | None, typer.Option()] = None,
    stranded_weight: Annotated[float | None, typer.Option()] = None,
    against: Against = None,
) -> None:
    """Edit a group's fields."""
    client = OperatorClient(address, key_file)
    changes = {
        'model': model,
        'hosts_per_replica': hosts_per_replica,
        'slots': slots,
        'downtime_weight': downtime_weight,
        'stranded_weight': stranded_weight,
    }
    entry = _updated_entry(client, 'groups', name, changes)
    _commit_edit(client, Edit('groups', name, entry, must_exist=True), against)


@services.command('create')
def create_service(
    name: Name,
    address: Address,
    key_file: KeyFile,
    group: Annotated[str, typer.Option(help='Group of a model.')] = '',
    backend: Annotated[
        list[str] | None,
        typer.Option(help='Address of a plain service; may be repeated.'),
    ] = None,
    against: Against = None,
) -> None:
    """Create a model service, or a plain one with --backend."""
    entry = _service_entry(group, backend)
    edit = Edit('services', name, entry, must_exist=False)
    _commit_edit(OperatorClient(address, key_file), edit, against)


@services.command('edit')
def edit_service(
    name: Name,
    address: Address,
    key_file: KeyFile,
    group: Annotated[str, typer.Option(help='Group of a model.')] = '',
    backend: Annotated[list[str] | None, typer.Option()] = None,
    against: Against = None,
) -> None:
    """Replace what is behind a service."""
    entry = _service_entry(group, backend)
    edit = Edit('services', name, entry, must_exist=True)
    _commit_edit(OperatorClient(address, key_file), edit, against)


def _service_entry(group: str, backend: list[str] | None) -> dict[str, Any]:
    return {
        'kind': 'plain' if backend else 'model',
        'group': group,
        'addresses': backend or [],
    }


@presets.command('create')
def create_preset(
    name: Name,
    address: Address,
    key_file: KeyFile,
    share: Annotated[
        list[str] | None,
        typer.Option(help='GROUP=REPLICAS; may be repeated.'),
    ] = None,
    against: Against = None,
) -> None:
    """Create a preset."""
    entry = {'shares': _parse_shares(share)}
    edit = Edit('presets', name, entry, must_exist=False)
    _commit_edit(OperatorClient(address, key_file), edit, against)


@presets.command('edit')
def edit_preset(
    name: Name,
    address: Address,
    key_file: KeyFile,
    share: Annotated[list[str] | None, typer.Option()] = None,
    against: Against = None,
) -> None:
    """Replace a preset's shares."""
    entry = {'shares': _parse_shares(share)}
    edit = Edit('presets', name, entry, must_exist=True)
    _commit_edit(OperatorClient(address, key_file), edit, against)


def _parse_shares(options: list[str] | None) -> list[dict[str, Any]]:
    shares = []
    for option in options or []:
        group, _, replicas = option.partition('=')
        if not replicas.isdigit():
            raise typer.BadParameter(f'{option}: expected GROUP=REPLICAS')
        shares.append({'group': group, 'replicas': int(replicas)})
    return shares


@presets.command('use')
def use_preset(
    name: Name,
    address: Address,
    key_file: KeyFile,
    wait: Annotated[
        bool,
        typer.Option('--wait', help='Fail unless it is in force everywhere.'),
    ] = False,
    against: Against = None,
) -> None:
    """Put a preset in force."""
    client = OperatorClient(address, key_file)
    edit = Edit('preset_in_force', name)
    _commit_edit(client, edit, against)
    if wait:
        _wait_until_in_force(client)


def _wait_until_in_force(client: OperatorClient) -> None:
    until_s = time.monotonic() + CONFIG_MAX_LAG_S
    while True:
        status = client.call('status', {})
        lagging = _lagging_members(status)
        if not lagging:
            typer.echo(f'in force everywhere: version {status["version"]}')
            return
        if time.monotonic() > until_s:
            typer.echo(f'not yet in force at: {", ".join(lagging)}', err=True)
            raise typer.Exit(EXIT_NOT_ACCEPTED)
        time.sleep(_WAIT_POLL_S)


def _lagging_members(status: dict[str, Any]) -> list[str]:
    return [
        member['name']
        for member in status['members']
        if member['alive'] and (member['version'] or 0) < status['version']
    ]


@workspaces.command('create')
def create_workspace(
    name: Name,
    workspace_key_file: Annotated[Path, typer.Option(help='Its key.')],
    address: Address,
    key_file: KeyFile,
    weight: Annotated[float, typer.Option(help='Relative share.')] = 1,
    max_in_flight_tokens: Annotated[int, typer.Option()] = 0,
    against: Against = None,
) -> None:
    """Create a workspace; only a digest of its key is kept."""
    entry = {
        'key_digest': key_digest(read_key(workspace_key_file)),
        'weight': weight,
        'max_in_flight_tokens': max_in_flight_tokens,
    }
    edit = Edit('workspaces', name, entry, must_exist=False)
    _commit_edit(OperatorClient(address, key_file), edit, against)


_add_common_commands(groups, 'groups')
_add_common_commands(services, 'services')
_add_common_commands(presets, 'presets')
_add_common_commands(workspaces, 'workspaces')
