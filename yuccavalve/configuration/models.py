"""Data classes of the configuration."""

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
    """A group of replicas that serve one model.

    Attributes
    ----------
    hosts_per_replica
        Number of hosts in one replica.
    slots
        Number of requests that one replica runs concurrently.
    """

    name: str
    model: str
    hosts_per_replica: int
    slots: int = 32
    downtime_weight: float = 1
    stranded_weight: float = 1


@attrs.frozen
class Service:
    """A service that callers address by name: a model or a plain service.

    Attributes
    ----------
    kind
        ``model`` or ``plain``.
    group
        Group that serves a model service.
    addresses
        Backend servers of a plain service.
    good_share, first_byte_ms, between_events_ms
        The objective: the share of requests that must meet the limits on
        the time to the first byte and between events.
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
    """Number of replicas that a preset assigns to a group."""

    group: str
    replicas: int


@attrs.frozen
class Preset:
    """A named set of replica counts, one for each group."""

    name: str
    shares: tuple[GroupShare, ...] = ()


@attrs.frozen
class Workspace:
    """A workspace with its key digest and limits.

    Attributes
    ----------
    key_digest
        Hexadecimal SHA-256 of the workspace key.
    weight
        Relative fair share of slots under contention.
    max_in_flight_tokens
        Limit per daemon; zero means no limit.
    """

    name: str
    key_digest: str
    weight: float = 1
    max_in_flight_tokens: int = 0


@attrs.frozen
class Document:
    """The part of a configuration that operators edit."""

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
        """Return the backend server addresses of all plain services."""
        return {
            address
            for service in self.services
            for address in service.addresses
        }

    def wanted_replicas(self) -> dict[str, int]:
        """Return the replica count of each group under the preset in force."""
        preset = self.preset(self.preset_in_force)
        if preset is None:
            return {}
        return {share.group: share.replicas for share in preset.shares}


@attrs.frozen
class Voter:
    """A daemon whose adoption counts towards acceptance of a change.

    The name is the one in the daemon's settings, so it survives a restart. A
    restarted daemon votes again only after it has read the head itself: its
    version is then at least what its earlier process had adopted.
    """

    name: str
    region: str


@attrs.frozen
class Electorate:
    """The daemons whose majorities accept a change.

    Attributes
    ----------
    voters
        The current voters.
    previous
        The voters before the last electorate change. Their majorities are
        required as well until that change is accepted.
    """

    voters: tuple[Voter, ...] = ()
    previous: tuple[Voter, ...] = ()

    def names(self) -> list[str]:
        """Return the sorted names of all current and previous voters."""
        return sorted({voter.name for voter in self.voters + self.previous})

    def voter_sets(self) -> tuple[tuple[Voter, ...], ...]:
        """Return the voter sets of which each must give its majorities."""
        return tuple(
            voters for voters in (self.voters, self.previous) if voters
        )


@attrs.frozen
class Configuration:
    """One immutable version of the configuration.

    Attributes
    ----------
    version
        Number that grows with each commit, by an operator or of a new
        electorate.
    revision
        Number that grows with each operator edit only. An edit names the
        revision that it is based on.
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
