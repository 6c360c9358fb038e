"""Operator calls from the command line to a daemon."""

import asyncio
import getpass
import uuid
from pathlib import Path
from types import MappingProxyType
from typing import Any, NoReturn

import attrs
import typer

from yuccavalve.access import read_key
from yuccavalve.adapters.http import CallFailedError, HttpJsonClient, Reply
from yuccavalve.cli.const import (
    CALL_TIMEOUT_S,
    EXIT_CONFLICT,
    EXIT_FAILED,
    EXIT_NOT_ACCEPTED,
    EXIT_UNKNOWN_OUTCOME,
    EXIT_UNREACHABLE,
)
from yuccavalve.configuration.edits import Edit
from yuccavalve.results import ResultCode

__all__ = ('OperatorClient',)

_OK = 200
_EXIT_BY_CODE = MappingProxyType(
    {
        ResultCode.REVISION_CONFLICT: EXIT_CONFLICT,
        ResultCode.CHANGE_NOT_ACCEPTED: EXIT_NOT_ACCEPTED,
        ResultCode.CHANGE_UNKNOWN: EXIT_UNKNOWN_OUTCOME,
    },
)


@attrs.frozen
class OperatorClient:
    """Client of one daemon's operator endpoints."""

    address: str
    key_file: Path

    def call(self, name: str, body: dict[str, Any]) -> Any:
        """Return the body of the answer.

        Raises
        ------
        typer.Exit
            With the error's exit code. A change that was sent but not
            answered may have been applied, so it has a code of its own.
        """
        try:
            reply = asyncio.run(self._async_call(name, body))
        except CallFailedError as error:
            typer.echo(f'{self.address}: {error}', err=True)
            unknown = name in {'changes', 'retire'} and error.sent
            code = EXIT_UNKNOWN_OUTCOME if unknown else EXIT_UNREACHABLE
            raise typer.Exit(code) from error
        if reply.status != _OK:
            _exit_with_error(reply)
        return reply.body

    def change(self, edit: Edit, against: int | None) -> Any:
        """Commit an edit against a revision of the configuration."""
        return self.call(
            'changes',
            {
                'change_id': uuid.uuid4().hex,
                'author': getpass.getuser(),
                'against_revision': against,
                'edit': attrs.asdict(edit),
            },
        )

    async def _async_call(self, name: str, body: dict[str, Any]) -> Reply:
        http_caller = HttpJsonClient(CALL_TIMEOUT_S, read_key(self.key_file))
        return await http_caller.async_post(
            self.address,
            f'/operator/v1/{name}',
            body,
        )


def _exit_with_error(reply: Reply) -> NoReturn:
    error = reply.body.get('error', {})
    typer.echo(
        f'{error.get("code")} {error.get("name")}: {error.get("message")}',
        err=True,
    )
    raise typer.Exit(_EXIT_BY_CODE.get(error.get('code'), EXIT_FAILED))
