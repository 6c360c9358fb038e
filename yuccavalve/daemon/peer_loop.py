"""Pull digests from peers and fetch the data missing locally."""

import asyncio

import attrs
from absl import logging

from yuccavalve.const import (
    GOSSIP_FANOUT,
    GOSSIP_FANOUT_NEW,
    GOSSIP_PERIOD_S,
)
from yuccavalve.daemon.node import Node
from yuccavalve.peers import PeerUnreachableError
from yuccavalve.peers.generated import peer_pb2
from yuccavalve.peers.configurations import unpack_configuration
from yuccavalve.timing import jittered

__all__ = ('PeerLoop',)


@attrs.frozen
class PeerLoop:
    """Runs anti-entropy rounds with random peers."""

    node: Node
    _introduce_to: set[str] = attrs.field(factory=set)

    async def async_run(self) -> None:
        """Pull from peers until cancelled."""
        while True:
            try:
                await self._async_round()
            except Exception:
                logging.exception('round of pulls from peers failed')
            await asyncio.sleep(jittered(self.node.random, GOSSIP_PERIOD_S))

    async def _async_round(self) -> None:
        await asyncio.gather(
            *(
                self._async_pull(name, address)
                for name, address in self._targets()
            ),
        )
        await self.node.peers.async_close_idle()

    def _targets(self) -> list[tuple[str, str]]:
        """Return names and addresses to pull from; seeds have no name."""
        node = self.node
        state = node.peer_state
        count = GOSSIP_FANOUT_NEW if state.is_new() else GOSSIP_FANOUT
        peers = state.view.draw(node.random, node.clock.now_s(), count)
        if peers:
            return [(peer.member, peer.peer_address) for peer in peers]
        seeds = node.settings.daemon.peer_seeds
        addresses = node.random.sample(seeds, min(GOSSIP_FANOUT, len(seeds)))
        local_address = node.local_member.peer_address
        return [
            ('', address) for address in addresses if address != local_address
        ]

    async def _async_pull(self, name: str, address: str) -> None:
        try:
            await self._async_exchange(address)
        except PeerUnreachableError as error:
            self.node.peer_state.view.drop(name)
            logging.info('peer=%s not reached: %s', address, error)
        except Exception:
            logging.exception('peer=%s pull failed', address)

    async def _async_exchange(self, address: str) -> None:
        """Pull a digest and fetch the data that is missing locally."""
        node = self.node
        state = node.peer_state
        sent_at_s = node.clock.now_s()
        reply = await node.peers.async_pull(
            address,
            state.request(introduce=address in self._introduce_to),
        )
        follow_up = state.apply_reply(reply, sent_at_s)
        self._introduce_to.discard(address)
        if follow_up.introduction:
            self._introduce_to.add(address)
        if follow_up.configuration:
            await self._async_fetch_configuration(address)
            state.apply_reply(reply, sent_at_s)
        if follow_up.replicas or follow_up.members:
            description = await node.peers.async_call(
                address,
                'Describe',
                state.describe_request(),
            )
            state.apply_description(description)

    async def _async_fetch_configuration(self, address: str) -> None:
        reply = await self.node.peers.async_call(
            address,
            'Adopt',
            peer_pb2.AdoptRequest(want=True),
        )
        self.node.adoption.adopt(unpack_configuration(reply.configuration))
