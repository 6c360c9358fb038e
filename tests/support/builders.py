"""Build test data with default values."""

from yuccavalve.configuration import (
    Configuration,
    Document,
    Electorate,
    Group,
    GroupShare,
    Preset,
    Service,
    Voter,
)
from yuccavalve.membership import Member
from yuccavalve.replicas import (
    PlanHost,
    PlanInput,
    Replica,
    ReplicaHost,
    ReplicaState,
)

__all__ = (
    'configuration',
    'document',
    'group',
    'hosts',
    'member',
    'plan_input',
    'replica',
    'voters',
)


def group(name: str = 'pool', **fields: object) -> Group:
    """Return a group with two hosts per replica."""
    defaults = {'model': 'm', 'hosts_per_replica': 2, 'slots': 4}
    return Group(name, **{**defaults, **fields})


def document(replicas: int = 1) -> Document:
    """Return a document with one group, one service and one preset."""
    return Document(
        groups=(group(),),
        services=(Service('pool', 'model', 'pool'),),
        presets=(Preset('ordinary', (GroupShare('pool', replicas),)),),
        preset_in_force='ordinary',
    )


def voters(*names: str, region: str = 'r1') -> tuple[Voter, ...]:
    """Return voters that are all in one region."""
    return tuple(Voter(name, region) for name in names)


def configuration(
    version: int,
    electorate: Electorate | None = None,
) -> Configuration:
    """Return a configuration version with an electorate."""
    return Configuration(
        version=version,
        revision=version,
        change_id=f'change-{version}',
        author='test',
        summary='',
        electorate=electorate or Electorate(),
    )


def member(name: str, region: str = 'r1', boot: str = 'boot') -> Member:
    """Return a member with invented addresses."""
    return Member(
        f'{name}-{boot}',
        name,
        region,
        f'{region}-a',
        f'127.0.0.1:{1000 + len(name)}',
        f'127.0.0.1:{2000 + len(name)}',
    )


def hosts(domain: str, *names: str) -> dict[str, PlanHost]:
    """Return live hosts of one fabric domain by name."""
    return {name: PlanHost(name, f'a-{name}', domain) for name in names}


def replica(
    name: str,
    *host_names: str,
    state: ReplicaState = ReplicaState.SERVING,
    domain: str = 'd1',
    incarnation: int = 1,
    group_name: str = 'pool',
) -> Replica:
    """Return a replica on hosts of one fabric domain."""
    return Replica(
        replica=name,
        group=group_name,
        model='m',
        incarnation=incarnation,
        slots=4,
        state=state,
        hosts=tuple(
            ReplicaHost(host, f'a-{host}', domain) for host in host_names
        ),
    )


def plan_input(
    host_map: dict[str, PlanHost],
    *replicas: Replica,
    wanted: int = 1,
    max_loading: int = 4,
) -> PlanInput:
    """Return a planner input with a single group."""
    return PlanInput(
        hosts=host_map,
        replicas=replicas,
        groups=(group(),),
        wanted={'pool': wanted},
        max_loading=max_loading,
    )
