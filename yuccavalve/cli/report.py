"""Commands that report error budget burn, of live daemons or of a trace."""

from collections import Counter
from pathlib import Path
from typing import Annotated, Any

import attrs
import cattrs
import typer

from yuccavalve.cli.client import OperatorClient
from yuccavalve.cli.const import ENV_ADDRESS, ENV_KEY_FILE, EXIT_USAGE
from yuccavalve.cli.output import print_json
from yuccavalve.observability.burn import (
    Objective,
    Sample,
    burn_rows,
    report_html,
    report_json,
    report_text,
)
from yuccavalve.replicas import ReplicaPlanner
from yuccavalve.replicas.replay import Replay
from yuccavalve.replicas.traces import read_trace

__all__ = ('reports',)

_SETTLE_S = 7200.0

reports = typer.Typer(help='Reports.')


@attrs.define
class _ReportInputs:
    objectives: dict[tuple[str, str], Objective] = attrs.field(factory=dict)
    samples: list[Sample] = attrs.field(factory=list)
    downtime_by_cause_s: Counter[str] = attrs.field(factory=Counter)
    stranded_host_s: float = 0


@reports.callback()
def group() -> None:
    """Reports."""


@reports.command('burn')
def burn(
    address: Annotated[str, typer.Option(envvar=ENV_ADDRESS)] = '',
    key_file: Annotated[
        Path | None,
        typer.Option(envvar=ENV_KEY_FILE),
    ] = None,
    trace: Annotated[
        Path | None,
        typer.Option(help='Replay a trace instead of asking daemons.'),
    ] = None,
    html: Annotated[Path | None, typer.Option(help='Write a page.')] = None,
    as_json: Annotated[bool, typer.Option('--json')] = False,
) -> None:
    """Report error budgets, burn, group downtime and stranded hosts."""
    if trace:
        inputs = _from_trace(trace)
    elif address and key_file:
        inputs = _from_daemons(address, key_file)
    else:
        typer.echo('expected --address and --key-file, or --trace', err=True)
        raise typer.Exit(EXIT_USAGE)
    # Daemons send sample times relative to their own present, since monotonic
    # clocks of different hosts can't be compared; so the present is zero.
    rows = burn_rows(inputs.objectives.values(), inputs.samples, 0)
    figures = (
        rows,
        inputs.downtime_by_cause_s,
        inputs.stranded_host_s,
    )
    if html is not None:
        html.write_text(report_html(*figures))
    if as_json:
        print_json(report_json(*figures))
    else:
        typer.echo(report_text(*figures))


def _from_trace(path: Path) -> _ReportInputs:
    head, events = read_trace(path)
    figures = Replay(head, events, ReplicaPlanner()).run(_SETTLE_S)
    return _ReportInputs(
        downtime_by_cause_s=Counter(figures.downtime_by_cause),
        stranded_host_s=figures.stranded_host_s,
    )


def _from_daemons(address: str, key_file: Path) -> _ReportInputs:
    inputs = _ReportInputs()
    status = OperatorClient(address, key_file).call('status', {})
    for member in status['members']:
        if member['alive']:
            client = OperatorClient(member['caller_address'], key_file)
            _add_daemon(inputs, client.call('burn', {}))
    return inputs


def _add_daemon(inputs: _ReportInputs, document: dict[str, Any]) -> None:
    for fields in document['objectives']:
        objective = cattrs.structure(fields, Objective)
        key = (objective.service, objective.request_class)
        inputs.objectives[key] = objective
    inputs.samples.extend(
        cattrs.structure(document['samples'], list[Sample]),
    )
    inputs.downtime_by_cause_s.update(document['downtime_by_cause_s'])
    inputs.stranded_host_s += document['stranded_host_s']
