"""Store rows of replicas and hosts; each change is one transaction."""

from collections.abc import Mapping
from typing import Any

import attrs
import cattrs

from yuccavalve.configuration.models import Group
from yuccavalve.exceptions import TransactionConflictError
from yuccavalve.ports import Condition, Row, TableStore, Transaction, Write
from yuccavalve.replicas.const import (
    FENCE_KEY,
    HOST_PREFIX,
    REPLICA_PREFIX,
)
from yuccavalve.replicas.lifecycle import ReplicaEvent, next_state
from yuccavalve.replicas.models import (
    PlanHost,
    Replica,
    ReplicaHost,
    ReplicaState,
)

__all__ = ('ReplicaStore', 'decode_replica', 'encode_replica')

_CONVERTER = cattrs.Converter()


def encode_replica(replica: Replica) -> dict[str, Any]:
    """Return a record in plain JSON types."""
    return _CONVERTER.unstructure(replica)


def decode_replica(plain: Mapping[str, Any]) -> Replica:
    """Return the record that ``encode_replica`` has encoded."""
    return _CONVERTER.structure(plain, Replica)


@attrs.frozen
class ReplicaStore:
    """Stored replicas, changed under the term of the planner's lease.

    Every transaction is conditional on the term's row, so a former lease
    holder can change nothing once another has taken over.
    """

    table: TableStore

    async def async_list(self) -> list[Replica]:
        """Return the replicas that hold hosts."""
        rows = await self.table.async_scan(REPLICA_PREFIX)
        return [decode_replica(row.fields) for row in rows]

    async def async_claim(
        self,
        term: Condition,
        group: Group,
        hosts: tuple[PlanHost, ...],
    ) -> Replica | None:
        """Claim hosts for a new replica.

        Return None if a host is taken, or if the term or a row that was read
        has changed.

        Raises
        ------
        StoreUnavailableError
            With ``may_have_applied`` if the claim may have succeeded; the
            next listing shows whether it has.
        """
        host_keys = [HOST_PREFIX + host.host for host in hosts]
        rows = await self.table.async_read([FENCE_KEY, *host_keys])
        if any(rows[key].fields['replica'] for key in host_keys if key in rows):
            return None
        replica = _new_replica(rows.get(FENCE_KEY), group, hosts)
        transaction = Transaction(
            (
                term,
                *(
                    _unchanged_condition(rows, key)
                    for key in (FENCE_KEY, *host_keys)
                ),
            ),
            (
                Write(FENCE_KEY, {'incarnation': replica.incarnation}),
                *(_host_write(key, replica.replica) for key in host_keys),
                _replica_write(replica),
            ),
        )
        try:
            await self.table.async_transact(transaction)
        except TransactionConflictError:
            return None
        return replica

    async def async_advance(
        self,
        term: Condition,
        replica: Replica,
        event: ReplicaEvent,
    ) -> Replica | None:
        """Move a replica to its next state.

        Return None if the event is not allowed in its state, or if the stored
        state or the term has changed. A release removes the replica's row and
        frees its hosts.
        """
        state = next_state(replica.state, event)
        if state is None:
            return None
        key = REPLICA_PREFIX + replica.replica
        rows = await self.table.async_read([key])
        if key not in rows or rows[key].fields['state'] != replica.state:
            return None
        successor = attrs.evolve(replica, state=state)
        transaction = Transaction(
            (term, Condition(key, rows[key].version)),
            tuple(_advance_writes(successor)),
        )
        try:
            await self.table.async_transact(transaction)
        except TransactionConflictError:
            return None
        return successor


def _new_replica(
    fence: Row | None,
    group: Group,
    hosts: tuple[PlanHost, ...],
) -> Replica:
    incarnation = 1 if fence is None else fence.fields['incarnation'] + 1
    return Replica(
        replica=f'{group.name}-{incarnation}',
        group=group.name,
        model=group.model,
        incarnation=incarnation,
        slots=group.slots,
        state=ReplicaState.FORMING,
        hosts=tuple(
            ReplicaHost(host.host, host.address, host.fabric_domain)
            for host in hosts
        ),
    )


def _advance_writes(successor: Replica) -> list[Write]:
    if successor.state is not ReplicaState.RELEASED:
        return [_replica_write(successor)]
    freed = [
        _host_write(HOST_PREFIX + host.host, '') for host in successor.hosts
    ]
    return [Write(REPLICA_PREFIX + successor.replica, None), *freed]


def _unchanged_condition(rows: dict[str, Row], key: str) -> Condition:
    row = rows.get(key)
    return Condition(key, None if row is None else row.version)


def _host_write(key: str, replica: str) -> Write:
    return Write(key, {'replica': replica})


def _replica_write(replica: Replica) -> Write:
    key = REPLICA_PREFIX + replica.replica
    return Write(key, encode_replica(replica))
