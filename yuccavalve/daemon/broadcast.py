"""Send other daemons what can't wait for their next pull."""

import asyncio
from typing import Any

from yuccavalve.configuration import Configuration, Evidence
from yuccavalve.daemon.node import Node
from yuccavalve.peers import PeerUnreachableError
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.configurations import pack_configuration
from yuccavalve.replicas import Replica

__all__ = ('async_push_configuration', 'async_revoke')

_MAX_CONCURRENT_CALLS = 32


async def async_push_configuration(
    node: Node,
    configuration: Configuration,
) -> None:
    """Push a version to every live member and record who adopted it."""
    node.adoption.adopt(configuration)
    request = peer_pb2.AdoptRequest(
        configuration=pack_configuration(configuration),
    )
    await _async_broadcast(node, 'Adopt', request)


async def async_revoke(node: Node, replica: Replica, *, broken: bool) -> None:
    """Revoke a replica's grants at all live members."""
    changed = node.grants.revoke(
        replica.replica,
        replica.incarnation,
        broken=broken,
    )
    if not changed:
        return
    revocation = peer_pb2.Revocation(
        replica=replica.replica,
        incarnation=replica.incarnation,
        broken=broken,
    )
    request = peer_pb2.RevokeRequest(revocation=revocation)
    await _async_broadcast(node, 'Revoke', request)


async def _async_broadcast(node: Node, method: str, request: Any) -> None:
    call_slots = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)
    others = node.roster.live(node.clock.now_s())[1:]

    async def async_send(address: str) -> None:  # noqa: WPS430
        async with call_slots:
            sent_at_s = node.clock.now_s()
            try:
                reply = await node.peers.async_call(address, method, request)
            except PeerUnreachableError:
                return
            if method == 'Adopt' and reply.votes:
                node.adoption.observe_voters(
                    [Evidence(reply.name, reply.version, sent_at_s)],
                )

    await asyncio.gather(
        *(async_send(member.peer_address) for member in others),
    )
