"""Print documents as JSON or as aligned tables."""

import json
from collections.abc import Sequence
from typing import Any

import typer

__all__ = ('print_json', 'print_rows')


def print_json(document: Any) -> None:
    """Print a document as JSON."""
    typer.echo(json.dumps(document, indent=2))


def print_rows(
    rows: Sequence[dict[str, Any]],
    columns: Sequence[str],
    *,
    as_json: bool,
) -> None:
    """Print rows as an aligned table, or as JSON."""
    if as_json:
        print_json(list(rows))
        return
    cells = [[_cell(row.get(name)) for name in columns] for row in rows]
    table = [[name.upper() for name in columns], *cells]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        padded = (
            text.ljust(width) for text, width in zip(line, widths, strict=True)
        )
        typer.echo('  '.join(padded).rstrip())


def _cell(entry: Any) -> str:
    if entry is None:
        return '-'
    if isinstance(entry, bool):
        return 'yes' if entry else 'no'
    if isinstance(entry, list):
        return ','.join(_cell(part) for part in entry) or '-'
    if isinstance(entry, dict):
        return ':'.join(str(part) for part in entry.values())
    return str(entry)
