"""Seeded schedules of consecutive and overlapping faults."""

import enum
from random import Random

import attrs

__all__ = (
    'Fault',
    'FaultKind',
    'ScheduleName',
    'calm_schedule',
    'draw',
    'return_schedule',
    'schedule',
)

_FIRST_AT_S = 1.0
_GAP_RANGE_S = (0.1, 1.6)
_DURATION_RANGE_S = (0.3, 3.0)
_BRIEF_RANGE_S = (0.3, 1.2)


class FaultKind(enum.StrEnum):
    """Kinds of faults; all are injected from outside the daemons."""

    DAEMON_KILL = 'daemon_kill'
    DAEMON_PAUSE = 'daemon_pause'
    DAEMON_STOP = 'daemon_stop'
    DAEMON_RELOAD = 'daemon_reload'
    ENGINE_KILL = 'engine_kill'
    ENGINE_SILENT = 'engine_silent'
    ENGINE_DRAIN = 'engine_drain'
    ENGINE_BREAK = 'engine_break'
    ENGINE_LATE_ORDERS = 'engine_late_orders'
    ANSWERS_LOST = 'answers_lost'
    STORE_DOWN = 'store_down'
    STORE_SILENT = 'store_silent'
    STORE_SLOW = 'store_slow'
    STORE_LOSES_ANSWERS = 'store_loses_answers'
    STORE_FORGETS = 'store_forgets'
    LINK_SILENT = 'link_silent'
    LINK_ONE_WAY = 'link_one_way'
    LINK_DELAYED = 'link_delayed'
    LINK_RESET = 'link_reset'
    CONFIG_CHANGE = 'config_change'
    STORE_RETURN = 'store_return'
    ZONE_EVACUATE = 'zone_evacuate'


class ScheduleName(enum.StrEnum):
    """What the faults of a run are drawn from."""

    ANY = 'any'
    CALM = 'calm'
    RETURNS = 'returns'


# The store loses what it has acknowledged in runs of their own.
_ANY_KINDS = tuple(FaultKind)[:-2]
# Faults around a store that returns from copies, several times in a row.
_RETURN_KINDS = (
    FaultKind.STORE_RETURN,
    FaultKind.STORE_RETURN,
    FaultKind.STORE_RETURN,
    FaultKind.CONFIG_CHANGE,
    FaultKind.DAEMON_KILL,
    FaultKind.DAEMON_PAUSE,
    FaultKind.ENGINE_DRAIN,
    FaultKind.ENGINE_KILL,
    FaultKind.ENGINE_LATE_ORDERS,
    FaultKind.STORE_LOSES_ANSWERS,
)
# When the zone is evacuated, as shares of the run.
_EVACUATED_AT = (0.1, 0.6)
# What excuses no lost request: a sound engine may be silent for a second or so.
_CALM_KINDS = (
    FaultKind.CONFIG_CHANGE,
    FaultKind.DAEMON_RELOAD,
    FaultKind.DAEMON_STOP,
    FaultKind.ENGINE_SILENT,
)


@attrs.frozen
class Fault:
    """A scheduled fault.

    Attributes
    ----------
    at_s
        Seconds after the callers start to send requests.
    duration_s
        Duration in seconds; unused for kinds that have none.
    target
        Number that selects the daemon, engine or link.
    """

    at_s: float
    kind: FaultKind
    duration_s: float
    target: int


def schedule(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed, in order."""
    return _draw(Random(seed), length_s, _ANY_KINDS, _DURATION_RANGE_S)


def calm_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return events of a seed that excuse no lost request, in order."""
    return _draw(Random(seed), length_s, _CALM_KINDS, _BRIEF_RANGE_S)


def return_schedule(seed: int, length_s: float) -> list[Fault]:
    """Return returns of the store and an evacuation of a seed, in order."""
    random = Random(seed)
    faults = _draw(random, length_s, _RETURN_KINDS, _BRIEF_RANGE_S)
    at_s = round(length_s * random.uniform(*_EVACUATED_AT), 2)
    target = random.randrange(1000)
    faults.append(Fault(at_s, FaultKind.ZONE_EVACUATE, length_s, target))
    return sorted(faults, key=lambda fault: fault.at_s)


def draw(name: ScheduleName, seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed by the name of the schedule."""
    draws = {
        ScheduleName.ANY: schedule,
        ScheduleName.CALM: calm_schedule,
        ScheduleName.RETURNS: return_schedule,
    }
    return draws[name](seed, length_s)


def _draw(
    random: Random,
    length_s: float,
    kinds: tuple[FaultKind, ...],
    duration_range_s: tuple[float, float],
) -> list[Fault]:
    faults = []
    at_s = _FIRST_AT_S
    while at_s < length_s:
        faults.append(
            Fault(
                round(at_s, 2),
                random.choice(kinds),
                round(random.uniform(*duration_range_s), 2),
                random.randrange(1000),
            ),
        )
        at_s += random.uniform(*_GAP_RANGE_S)
    return faults
