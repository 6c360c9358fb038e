"""Serve operator calls: read and change the configuration, show status."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import cattrs
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from yuccavalve.access import bearer_key, keys_equal
from yuccavalve.configuration import Configuration, Electorate, Voter
from yuccavalve.configuration.codec import encode_document
from yuccavalve.configuration.commit import Change
from yuccavalve.configuration.edits import Edit, apply_edit
from yuccavalve.const import CONFIG_MAX_LAG_S
from yuccavalve.daemon.broadcast import async_push_configuration
from yuccavalve.daemon.node import Node
from yuccavalve.exceptions import (
    ConfigurationInvalidError,
    RevisionConflictError,
    StoreUnavailableError,
)
from yuccavalve.operators.status import burn_document, status_document
from yuccavalve.results import ResultCode, http_status

__all__ = ('OperatorEndpoints',)

_ACCEPT_POLL_S = 0.1
_RETRY_AFTER_S = 5

_Endpoint = Callable[[Any], Awaitable[Response]]


class OperatorEndpoints:
    """Operator routes, each of which requires the operator key."""

    def __init__(self, node: Node) -> None:
        """Serve from a daemon's state."""
        self._node = node

    def routes(self) -> list[Route]:
        """Return the routes."""
        endpoints: dict[str, _Endpoint] = {
            'configuration': self._async_configuration,
            'changes': self._async_change,
            'status': self._async_status,
            'retire': self._async_retire,
            'burn': self._async_burn,
        }
        return [
            Route(
                f'/operator/v1/{name}',
                self._guard(endpoint),
                methods=['POST'],
            )
            for name, endpoint in endpoints.items()
        ]

    def _guard(self, endpoint: _Endpoint) -> Callable[[Request], Any]:
        async def async_guarded(request: Request) -> Response:  # noqa: WPS430
            key = bearer_key(request.headers.get('authorization', ''))
            if not keys_equal(key, self._node.keys.operator):
                return _error(ResultCode.UNAUTHENTICATED, 'operator key')
            try:
                return await endpoint(await request.json())
            except ConfigurationInvalidError as error:
                return _error(ResultCode.CONFIGURATION_INVALID, str(error))
            except (ValueError, TypeError, KeyError) as error:
                return _error(ResultCode.BODY_INVALID, repr(error))
            except StoreUnavailableError as error:
                code = ResultCode.STORE_UNAVAILABLE
                if error.may_have_applied:
                    code = ResultCode.CHANGE_UNKNOWN
                return _error(code, str(error))

        return async_guarded

    async def _async_configuration(self, body: Any) -> Response:
        configuration = self._node.adoption.configuration
        return JSONResponse(
            {
                'version': configuration.version,
                'revision': configuration.revision,
                'author': configuration.author,
                'summary': configuration.summary,
                'document': encode_document(configuration.document),
            },
        )

    async def _async_status(self, body: Any) -> Response:
        return JSONResponse(status_document(self._node))

    async def _async_burn(self, body: Any) -> Response:
        return JSONResponse(burn_document(self._node))

    async def _async_change(self, body: Any) -> Response:
        edit = cattrs.structure(body['edit'], Edit)
        change = Change(
            change_id=str(body['change_id']),
            author=str(body.get('author', '')),
            summary=edit.summary,
            edit=lambda document: apply_edit(document, edit),
            against_revision=body.get('against_revision'),
        )
        try:
            committed = await self._node.configurations.async_commit(change)
        except RevisionConflictError as error:
            return _error(
                ResultCode.REVISION_CONFLICT,
                str(error),
                {'revision': error.revision, 'author': error.author},
            )
        return await self._async_wait_accepted(committed)

    async def _async_retire(self, body: Any) -> Response:
        """Remove a voter that an operator declares dead."""
        name = str(body['name'])
        node = self._node
        base = await node.configurations.async_load(
            (await node.configurations.async_head()).version,
        )
        electorate = Electorate(
            _without_voter(base.electorate.voters, name),
            _without_voter(base.electorate.previous, name),
        )
        committed = await node.configurations.async_commit_electorate(
            base,
            electorate,
            str(body['change_id']),
        )
        if committed is None:
            return _error(ResultCode.REVISION_CONFLICT, 'the head moved')
        return await self._async_wait_accepted(committed)

    async def _async_wait_accepted(self, committed: Configuration) -> Response:
        """Push a commit to the peers and wait until it is accepted."""
        node = self._node
        await async_push_configuration(node, committed)
        until_s = node.clock.now_s() + CONFIG_MAX_LAG_S
        while not node.adoption.is_accepted(
            committed.version, node.clock.now_s()
        ):
            if node.clock.now_s() > until_s:
                return _error(
                    ResultCode.CHANGE_NOT_ACCEPTED,
                    'committed; some voters have not adopted it yet',
                    {'version': committed.version},
                )
            await asyncio.sleep(_ACCEPT_POLL_S)
        return JSONResponse(
            {
                'accepted': True,
                'version': committed.version,
                'revision': committed.revision,
            },
        )


def _without_voter(voters: tuple[Voter, ...], name: str) -> tuple[Voter, ...]:
    return tuple(voter for voter in voters if voter.name != name)


def _error(
    code: ResultCode,
    message: str,
    details: dict[str, Any] | None = None,
) -> Response:
    error = {
        'code': int(code),
        'name': code.name,
        'message': message,
        **(details or {}),
    }
    headers = {}
    if code is ResultCode.STORE_UNAVAILABLE:
        headers['retry-after'] = str(_RETRY_AFTER_S)
    return JSONResponse({'error': error}, http_status(code), headers)
