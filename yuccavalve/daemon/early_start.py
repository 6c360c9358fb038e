"""What a daemon does before it imports the rest of its modules.

After all daemons have lost power, callers find nobody, and a connection that is
refused is a failed attempt. The imports take most of the start on half a core.
A daemon without a running neighbor therefore listens first: connections wait
in the queue of its socket until it serves. With a running neighbor it doesn't,
since callers that are refused at once reach that one sooner.
"""

import random
import socket
from collections.abc import Sequence
from typing import Final, NamedTuple

from yuccavalve.sockets import BACKLOG, any_listens, bind_socket

__all__ = ('NOTHING_DONE', 'EarlyStart', 'start_early')

# Neighbors that are tried. If half of the daemons run, all of these are down in
# one of a thousand starts.
_SAMPLE: Final = 10
# A daemon in another zone accepts within some milliseconds, also under load,
# since its system accepts for it.
_CONNECT_TIMEOUT_S: Final = 0.06


class EarlyStart(NamedTuple):
    """What was found and done before the imports.

    Attributes
    ----------
    listener
        Listening socket for callers; None if the daemon binds it later.
    others_are_down
        Whether no other daemon was reached although their addresses are known.
    stop_signals_at_s
        Times since the host booted at which signals to stop came during the
        imports.
    """

    listener: socket.socket | None = None
    others_are_down: bool = False
    stop_signals_at_s: Sequence[float] = ()


NOTHING_DONE: Final = EarlyStart()


def start_early(
    caller_address: str, peer_addresses: Sequence[str] | None
) -> EarlyStart:
    """Listen for callers at once unless a neighbor runs or may run.

    Parameters
    ----------
    caller_address
        Where this daemon accepts callers; empty if it doesn't.
    peer_addresses
        Where the other daemons accept their peers, which they do only after
        their imports; None if that is not known.
    """
    if peer_addresses is None:
        return NOTHING_DONE
    count = min(_SAMPLE, len(peer_addresses))
    sampled = random.Random().sample(list(peer_addresses), count)
    if any_listens(sampled, _CONNECT_TIMEOUT_S):
        return NOTHING_DONE
    if not caller_address:
        return EarlyStart(others_are_down=True)
    listener = bind_socket(caller_address)
    listener.listen(BACKLOG)
    return EarlyStart(listener, others_are_down=True)
