"""Run one benchmark and write its results as JSON."""

import argparse
import asyncio
import importlib
import json
import platform
import sys
from pathlib import Path

_BENCHES = {
    'spread': 'spread of updates among 380 daemons, logical clock',
    'slopes': 'memory per stream, CPU time per request, planning time',
    'relay': 'processor time per token, compared with a splice',
    'load': 'routing, fairness and retries, compared with baselines',
    'choices': 'late requests by choice of an engine, at old loads',
    'daemons': 'fairness across daemons, compared with other rules',
    'shares': 'fairness across four daemon processes',
    'membership': 'control cost and fault handling of 8 to 64 daemons',
    'start': 'cost of a gateway daemon at readiness and without requests',
    'slow_callers': 'peak memory while callers read large answers slowly',
    'planning': 'downtime and stranded hosts, against greedy first fit',
}


def main() -> int:
    """Run the named benchmark."""
    parser = argparse.ArgumentParser(prog='script/bench')
    parser.add_argument('name', nargs='?')
    parser.add_argument('--list', action='store_true')
    parser.add_argument('--plots', action='store_true')
    parser.add_argument('--json', type=Path)
    parser.add_argument('--seed', type=int, default=1)
    arguments = parser.parse_args()
    if arguments.plots:
        importlib.import_module('script.tools.plots').write_plots()
        return 0
    if arguments.list or arguments.name not in _BENCHES:
        for name, text in _BENCHES.items():
            print(f'{name:12} {text}')
        return int(not arguments.list)
    module = importlib.import_module(
        f'script.tools.benches.{arguments.name}',
    )
    run = getattr(module, f'async_{arguments.name}')
    figures = asyncio.run(run(arguments.seed))
    document = {
        'bench': arguments.name,
        'seed': arguments.seed,
        'python': platform.python_version(),
        **figures,
    }
    text = json.dumps(document, indent=2)
    if arguments.json:
        arguments.json.write_text(text + '\n')
    print(text)
    return 0


if __name__ == '__main__':
    sys.exit(main())
