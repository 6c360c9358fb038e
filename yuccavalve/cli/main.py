"""Commands of the ``yuccavalve`` command line."""

import uuid
from pathlib import Path
from typing import Annotated

import typer

from yuccavalve.cli.client import OperatorClient
from yuccavalve.cli.const import EXIT_USAGE
from yuccavalve.cli.entries import (
    Address,
    AsJson,
    KeyFile,
    groups,
    presets,
    services,
    workspaces,
)
from yuccavalve.cli.output import print_json, print_rows
from yuccavalve.cli.report import reports
from yuccavalve.cli.standins import standins
from yuccavalve.exceptions import SettingsInvalidError
from yuccavalve.settings import Settings, load_settings

__all__ = ('application', 'main')

_SettingsFile = Annotated[Path, typer.Argument(help='Settings in TOML.')]

application = typer.Typer(
    help='Serving system for models whose replicas span several hosts.',
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
config = typer.Typer(help='Settings files.')
members = typer.Typer(help='Daemons and their votes.')
application.add_typer(config, name='config')
application.add_typer(groups, name='group')
application.add_typer(services, name='service')
application.add_typer(presets, name='preset')
application.add_typer(workspaces, name='workspace')
application.add_typer(members, name='member')
application.add_typer(standins, name='standin')
application.add_typer(reports, name='report')


def main() -> None:
    """Run the command line."""
    application()


@application.command('serve')
def serve(
    settings_file: _SettingsFile,
    verbose: Annotated[bool, typer.Option(help='Log each request.')] = False,
    seed: Annotated[int | None, typer.Option(help='For tests.')] = None,
) -> None:
    """Run a daemon."""
    from yuccavalve.daemon.runner import run_daemon  # noqa: PLC0415, WPS433
    from yuccavalve.observability import setup_logs  # noqa: PLC0415, WPS433

    settings = _load_or_exit(settings_file)
    setup_logs(settings.daemon.name, verbose=verbose)
    raise typer.Exit(run_daemon(settings, seed))


@config.command('check')
def check(settings_file: _SettingsFile) -> None:
    """Check a settings file without opening anything."""
    _load_or_exit(settings_file)
    typer.echo(f'{settings_file}: good')


@application.command('status')
def status(
    address: Address, key_file: KeyFile, as_json: AsJson = False
) -> None:
    """Show daemons, replicas and versions in force."""
    document = OperatorClient(address, key_file).call('status', {})
    if as_json:
        print_json(document)
        return
    accepted = 'accepted' if document['accepted'] else 'not accepted yet'
    typer.echo(
        f'version {document["version"]} ({accepted}), '
        f'revision {document["revision"]}, '
        f'preset {document["preset_in_force"] or "-"}\n',
    )
    print_rows(
        document['members'],
        (
            'name',
            'region',
            'availability_zone',
            'caller_address',
            'alive',
            'leaving',
            'version',
        ),
        as_json=False,
    )
    typer.echo('')
    print_rows(
        document['replicas'],
        ('replica', 'state', 'granted', 'load', 'split', 'hosts'),
        as_json=False,
    )


@application.command('explain')
def explain(
    request_id: Annotated[str, typer.Argument(help='Id of a request.')],
    log_files: Annotated[list[Path], typer.Argument(help='Logs of daemons.')],
) -> None:
    """Tell the story of one request from the logs of several daemons."""
    from yuccavalve.observability import (  # noqa: PLC0415, WPS433
        explain as logs,
    )

    lines = [
        line
        for path in log_files
        for line in logs.read_lines(path.read_text().splitlines())
    ]
    timeline = logs.request_timeline(lines, request_id)
    for line in timeline:
        typer.echo(line.text())
    if not timeline:
        typer.echo(f'no log line of request {request_id} found', err=True)
        raise typer.Exit(EXIT_USAGE)


@members.command('retire')
def retire(
    name: Annotated[str, typer.Argument(help='A daemon that is dead.')],
    address: Address,
    key_file: KeyFile,
) -> None:
    """Declare a daemon dead, so that changes no longer wait for its vote."""

    client = OperatorClient(address, key_file)
    body = {'name': name, 'change_id': uuid.uuid4().hex}
    answer = client.call('retire', body)
    typer.echo(f'accepted: version {answer["version"]}')


def _load_or_exit(path: Path) -> Settings:
    try:
        return load_settings(path)
    except SettingsInvalidError as error:
        typer.echo(f'{int(error.code)} {error.code.name}: {error}', err=True)
        raise typer.Exit(EXIT_USAGE) from error
