"""Choose one of several engines by loads that are partly old.

Many daemons know each other's requests only as of some tenths of a second ago.
If each took the engine that looked least loaded, all would take the same few
until the next news. Each therefore compares two engines drawn at random, which
spreads requests nearly as well as exact loads would, and however old the loads
are, no engine attracts more than twice its share.

Notes
-----
Mitzenmacher, "The power of two choices in randomized load balancing", 2001, and
"How useful is old information?", 2000.
"""

from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol, TypeVar

import attrs

from yuccavalve.load.const import (
    CHOICE_SAMPLES,
    REMOTE_PENALTY,
    REMOTE_THRESHOLD,
)

__all__ = ('ChoicePolicy', 'LeastLoaded', 'TwoChoices')

_Engine = TypeVar('_Engine')


class ChoicePolicy(Protocol):
    """Chooses an engine by its requests per slot."""

    def choose(
        self,
        local: Sequence[_Engine],
        remote: Sequence[_Engine],
        load: Callable[[_Engine], float],
        random: Random,
    ) -> _Engine:
        """Return an engine of either sequence; one of them is not empty.

        Parameters
        ----------
        local, remote
            Engines in the caller's availability zone and in others.
        load
            Returns an engine's requests per slot.
        random
            Source of the draws.
        """


@attrs.frozen
class LeastLoaded:
    """Takes the least loaded engine; the baseline."""

    remote_penalty: float = REMOTE_PENALTY

    def choose(
        self,
        local: Sequence[_Engine],
        remote: Sequence[_Engine],
        load: Callable[[_Engine], float],
        random: Random,
    ) -> _Engine:
        """Return the engine with the lowest load, a remote one if much lower.

        Equal engines are chosen at random.
        """
        costs = [
            *((load(each), random.random(), each) for each in local),
            *(
                (load(each) + self.remote_penalty, random.random(), each)
                for each in remote
            ),
        ]
        return min(costs, key=lambda cost: cost[:2])[2]


@attrs.frozen
class TwoChoices:
    """Takes the less loaded of two engines drawn at random.

    Attributes
    ----------
    remote_threshold
        Load of the local engine from which engines in other availability
        zones are compared too.
    remote_penalty
        Load that is added to theirs.
    """

    remote_threshold: float = REMOTE_THRESHOLD
    remote_penalty: float = REMOTE_PENALTY

    def choose(
        self,
        local: Sequence[_Engine],
        remote: Sequence[_Engine],
        load: Callable[[_Engine], float],
        random: Random,
    ) -> _Engine:
        """Return the less loaded local engine, or one of another zone."""
        if not local:
            return _best_of_sample(remote, load, random)
        best = _best_of_sample(local, load, random)
        if load(best) <= self.remote_threshold or not remote:
            return best
        other = _best_of_sample(remote, load, random)
        is_much_lower = load(other) + self.remote_penalty < load(best)
        return other if is_much_lower else best


def _best_of_sample(
    engines: Sequence[_Engine],
    load: Callable[[_Engine], float],
    random: Random,
) -> _Engine:
    sample = random.sample(engines, min(CHOICE_SAMPLES, len(engines)))
    return min(sample, key=load)
