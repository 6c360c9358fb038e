"""Answers peers' calls with the updates of a gateway daemon."""

import math
from collections.abc import Awaitable, Callable
from typing import Any

from yuccavalve.fleet.view import FleetView
from yuccavalve.observability import UnreadableInputs
from yuccavalve.peers.engine_news import build_engine_news
from yuccavalve.peers.generated import peer_pb2, peer_pb2_grpc
from yuccavalve.peers.limit_news import answer_permits
from yuccavalve.peers.messages import age_ms, pack_document
from yuccavalve.peers.sharing import ShareState
from yuccavalve.ratelimit import PermitGrantor

__all__ = ('ShareServicer',)


class ShareServicer(peer_pb2_grpc.PeerServicer):
    """Serves updates, engines and routes to gateway daemons."""

    def __init__(
        self,
        share_state: ShareState,
        view: FleetView,
        on_urgent: Callable[[], None],
        on_update: Callable[[], None],
        grantor: PermitGrantor,
        on_order: Callable[[Any], Awaitable[str]],
        unreadable: UnreadableInputs | None = None,
    ) -> None:
        """Initialize the servicer.

        ``on_urgent`` is called after an update that other daemons have to
        receive without delay, ``on_update`` after each update. ``on_order``
        passes an order on to an engine and returns its outcome.
        """
        self._share_state = share_state
        self._view = view
        self._on_urgent = on_urgent
        self._on_update = on_update
        self._grantor = grantor
        self._on_order = on_order
        self._unreadable = unreadable or UnreadableInputs()
        self._packed_version = 0
        self._packed = b''

    async def Share(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Apply an update and return that of this daemon."""
        now_s = self._share_state.clock.now_s()
        if self._share_state.apply_message(request, now_s):
            self._on_urgent()
        self._on_update()
        reply = self._share_state.reply(request)
        confirmed_age_s = now_s - self._share_state.routing.confirmed_at_s
        if math.isfinite(confirmed_age_s):
            reply.routing_age_ms = age_ms(confirmed_age_s)
        if request.HasField('engines_known') and self._view.version:
            reply.engines.CopyFrom(
                build_engine_news(
                    self._view,
                    self._share_state.roster.local_member.member,
                    request.engines_known,
                    now_s,
                    self._unreadable,
                ),
            )
        return reply

    async def Permits(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Grant permits for requests if this daemon plans."""
        now_s = self._share_state.clock.now_s()
        return answer_permits(self._grantor, request, now_s)

    async def Order(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Pass an order on to an engine that the planner does not reach."""
        return peer_pb2.OrderReply(outcome=await self._on_order(request))

    async def Routes(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Return the routes in force at this daemon."""
        routing = self._share_state.routing
        if routing.version != self._packed_version:
            self._packed = pack_document(routing.document)
            self._packed_version = routing.version
        return peer_pb2.RoutesReply(document=self._packed)
