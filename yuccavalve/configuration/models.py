"""Data classes of a configuration version."""

import attrs

__all__ = (
    'Configuration',
    'Document',
    'Electorate',
    'Group',
    'GroupShare',
    'Preset',
    'Service',
    'Voter',
    'Workspace',
)


@attrs.frozen
class Group:
    """A group of hosts that forms replicas of one model.

    Attributes
    ----------
    hosts_per_replica
        Hosts that one replica spans.
    slots
        Requests that one replica runs at once.
    """

    name: str
    model: str
    hosts_per_replica: int
    slots: int = 32
    downtime_weight: float = 1
    stranded_weight: float = 1


@attrs.frozen
class Service:
    """What callers name: a model group or a plain service.

    Attributes
    ----------
    kind
        ``model`` or ``plain``.
    group
        The group behind a model service.
    addresses
        The backend servers of a plain service.
    good_share, first_byte_ms, between_events_ms
        The objective: the share of requests to be answered in time.
    """

    name: str
    kind: str
    group: str = ''
    addresses: tuple[str, ...] = ()
    good_share: float = 0.95
    first_byte_ms: float = 1900
    between_events_ms: float = 74


@attrs.frozen
class GroupShare:
    """How many replicas a preset wants of a group."""

    group: str
    replicas: int


@attrs.frozen
class Preset:
    """A named division of hosts among groups."""

    name: str
    shares: tuple[GroupShare, ...] = ()


@attrs.frozen
class Workspace:
    """A tenant with its key's digest and its share.

    Attributes
    ----------
    key_digest
        Hexadecimal SHA-256 of the workspace key.
    weight
        Relative share under contention.
    max_in_flight_tokens
        Bound over one daemon; zero is none.
    """

    name: str
    key_digest: str
    weight: float = 1
    max_in_flight_tokens: int = 0


@attrs.frozen
class Document:
    """What operators edit."""

    groups: tuple[Group, ...] = ()
    services: tuple[Service, ...] = ()
    presets: tuple[Preset, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    preset_in_force: str = ''

    def group(self, name: str) -> Group | None:
        """Return a group by name."""
        return _find_by_name(self.groups, name)

    def service(self, name: str) -> Service | None:
        """Return a service by name."""
        return _find_by_name(self.services, name)

    def preset(self, name: str) -> Preset | None:
        """Return a preset by name."""
        return _find_by_name(self.presets, name)

    def plain_addresses(self) -> set[str]:
        """Return the addresses behind plain services."""
        return {
            address
            for service in self.services
            for address in service.addresses
        }

    def wanted_replicas(self) -> dict[str, int]:
        """Return group name to replica count under the preset in force."""
        preset = self.preset(self.preset_in_force)
        if preset is None:
            return {}
        return {share.group: share.replicas for share in preset.shares}


@attrs.frozen
class Voter:
    """A daemon whose adoption counts, by the name in its settings.

    A restarted daemon votes again once it has read the head itself, which
    is at least what its earlier process had adopted.
    """

    name: str
    region: str


@attrs.frozen
class Electorate:
    """The members whose adoption makes a change accepted.

    Attributes
    ----------
    voters
        The present voters.
    previous
        The voters before the last change, until that change is accepted.
    """

    voters: tuple[Voter, ...] = ()
    previous: tuple[Voter, ...] = ()

    def names(self) -> list[str]:
        """Return the names of all voters, in order."""
        return sorted({voter.name for voter in self.voters + self.previous})

    def voter_sets(self) -> tuple[tuple[Voter, ...], ...]:
        """Return the sets that each need their majorities."""
        return tuple(
            voters for voters in (self.voters, self.previous) if voters
        )


@attrs.frozen
class Configuration:
    """An immutable version.

    Attributes
    ----------
    version
        Grows with each commit, of operators or of the electorate.
    revision
        Grows with each operator's edit; edits are made against it.
    """

    version: int
    revision: int
    change_id: str
    author: str
    summary: str
    document: Document = Document()
    electorate: Electorate = Electorate()


def _find_by_name(entries: tuple, name: str):  # type: ignore[no-untyped-def]
    for entry in entries:
        if entry.name == name:
            return entry
    return None
