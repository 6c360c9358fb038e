"""Data classes of membership."""

import attrs

__all__ = ('Member',)


@attrs.frozen
class Member:
    """One daemon process.

    Attributes
    ----------
    member
        Id of the process; a restarted daemon is a new member.
    name
        Name of the daemon in its settings.
    processor_millicores
        Speed of its processor, in thousandths of a core.
    relay_address
        Where it takes requests of daemons that reach no engine; empty if it
        takes none.
    """

    member: str
    name: str
    region: str
    availability_zone: str
    caller_address: str
    peer_address: str
    leaving: bool = False
    processor_millicores: int = 1000
    relay_address: str = ''
