"""Commands that run stand-ins of outside systems for tests."""

from pathlib import Path
from typing import Annotated

import typer

from yuccavalve.access import read_key
from yuccavalve.standin import (
    EngineStandin,
    EngineStandinOptions,
    PlainStandin,
    PlatformStandin,
    run_standin,
)
from yuccavalve.standin.const import HOST_LIST_LAG_S

__all__ = ('standins',)

_ANY_PORT_ADDRESS = '127.0.0.1:0'
_Listen = Annotated[str, typer.Option(help='IP number and port.')]
_Ready = Annotated[Path | None, typer.Option(help='Written once ready.')]

standins = typer.Typer(help='Stand-ins of outside systems, for tests.')


@standins.command('platform')
def run_platform(
    key_file: Annotated[Path, typer.Option(help='Platform key.')],
    listen: _Listen = _ANY_PORT_ADDRESS,
    ready_file: _Ready = None,
    lag_s: Annotated[float, typer.Option()] = HOST_LIST_LAG_S,
) -> None:
    """Run table service, object store and host list."""
    standin = PlatformStandin(read_key(key_file), lag_s)
    run_standin(standin, listen, ready_file)


@standins.command('engine')
def run_engine(
    host: Annotated[str, typer.Option()],
    fabric_domain: Annotated[str, typer.Option()],
    platform_address: Annotated[str, typer.Option()],
    key_file: Annotated[Path, typer.Option(help='Platform key.')],
    availability_zone: Annotated[str, typer.Option()] = 'zone-1',
    listen: _Listen = _ANY_PORT_ADDRESS,
    ready_file: _Ready = None,
    load_s: Annotated[float, typer.Option()] = 0.5,
    token_s: Annotated[float, typer.Option()] = 0.01,
    fenced: Annotated[bool, typer.Option()] = True,
) -> None:
    """Run the engine of one host."""
    options = EngineStandinOptions(
        host=host,
        fabric_domain=fabric_domain,
        availability_zone=availability_zone,
        fenced=fenced,
        load_s=load_s,
        token_s=token_s,
        platform_address=platform_address,
        platform_key=read_key(key_file),
    )
    run_standin(EngineStandin(options), listen, ready_file)


@standins.command('plain')
def run_plain(
    name: Annotated[str, typer.Option()],
    listen: _Listen = _ANY_PORT_ADDRESS,
    ready_file: _Ready = None,
) -> None:
    """Run a plain service."""
    run_standin(PlainStandin(name), listen, ready_file)
