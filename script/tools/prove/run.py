"""Run the model checks on fixed seeds, or on new seeds for some minutes."""

import argparse
import asyncio
import sys
import time
from functools import partial
from random import Random
from typing import Any

from script.tools.prove.claims import ClaimsModel
from script.tools.prove.configuration import ConfigurationModel
from script.tools.prove.grants import GrantsModel
from script.tools.prove.ledger import LedgerModel
from script.tools.prove.mutants import run_mutants
from script.tools.prove.returns import ReturnsModel

_MODELS: dict[str, tuple[Any, int]] = {
    'configuration': (ConfigurationModel, 800),
    'claims': (ClaimsModel, 3000),
    'ledger': (LedgerModel, 800),
    'grants': (GrantsModel, 800),
    'returns': (ReturnsModel, 800),
    'unstated returns': (partial(ReturnsModel, states_era=False), 800),
}
_SEED_COUNT = 25
_MAX_TRACE_LINES = 40


def run_once(name: str, seed: int, steps: int) -> Any:
    """Run one model on one seed and return it."""
    model = _MODELS[name][0](Random(seed))
    asyncio.run(model.async_run(steps))
    return model


def shrink(name: str, seed: int, steps: int) -> int:
    """Return the fewest steps after which the model has a violation."""
    low, high = 1, steps
    while low < high:
        middle = (low + high) // 2
        if run_once(name, seed, middle).violations:
            high = middle
        else:
            low = middle + 1
    return high


def report(name: str, seed: int, steps: int) -> None:
    """Print a violation and the end of its shortest trace."""
    fewest = shrink(name, seed, steps)
    model = run_once(name, seed, fewest)
    print(f'FOUND {name} seed {seed} steps {fewest}: {model.violations[:1]}')
    for line in model.trace[-_MAX_TRACE_LINES:]:
        print(f'  {line}')


def prove() -> int:
    """Run every model on the fixed seeds; return how many failed."""
    failed = 0
    for name, (_, steps) in _MODELS.items():
        began_s = time.monotonic()
        found = [
            seed
            for seed in range(_SEED_COUNT)
            if run_once(name, seed, steps).violations
        ]
        verdict = f'FAILED at seeds {found}' if found else 'holds'
        took_s = time.monotonic() - began_s
        print(
            f'{name:14} seeds 0-{_SEED_COUNT - 1}, {steps} steps: '
            f'{verdict}, {took_s:.1f} s',
        )
        failed += bool(found)
        for seed in found[:1]:
            report(name, seed, steps)
    return failed


def search(minutes: float, seed: int) -> int:
    """Run every model on new seeds until the time is up.

    Returns the number of runs with a violation.
    """
    until_s = time.monotonic() + minutes * 60
    runs = dict.fromkeys(_MODELS, 0)
    found = 0
    while time.monotonic() < until_s:
        for name, (_, steps) in _MODELS.items():
            runs[name] += 1
            if run_once(name, seed, steps).violations:
                found += 1
                report(name, seed, steps)
        seed += 1
    print(f'searched {minutes} min: runs {runs}, found {found}')
    return found


def main() -> int:
    """Run the model checks, the search or the mutants."""
    parser = argparse.ArgumentParser(prog='script/prove')
    parser.add_argument('--search', type=float, metavar='MINUTES')
    parser.add_argument('--seed', type=int, default=1000)
    parser.add_argument('--mutants', nargs='?', const='', metavar='TEST')
    arguments = parser.parse_args()
    if arguments.mutants is not None:
        return int(run_mutants(arguments.mutants) > 0)
    if arguments.search:
        return int(search(arguments.search, arguments.seed) > 0)
    return int(prove() > 0)


if __name__ == '__main__':
    sys.exit(main())
