"""Run the tests; count failures listed in ``KNOWN-RED.txt`` as skipped."""

import asyncio
import sys
import threading
import time
import unittest
from collections.abc import Iterator
from pathlib import Path

_ROOT = Path(__file__).resolve().parents[2]
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'
_SLOW_S = 10.0
# Time after which a test that has not ended prints where it waits.
_STUCK_S = 300.0


def known_red() -> dict[str, str]:
    """Return the rest of each ``KNOWN-RED.txt`` entry by test id."""
    if not _KNOWN_RED.exists():
        return {}
    entries = {}
    for line in _KNOWN_RED.read_text().splitlines():
        if line.strip() and not line.startswith('#'):
            test_id, _, rest = line.partition(' | ')
            entries[test_id.strip()] = rest
    return entries


def flatten(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield the test cases of a suite."""
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            yield from flatten(entry)
        else:
            yield entry


def print_stacks(case: unittest.TestCase) -> None:
    """Print the stacks of a test's tasks, to show where it waits."""
    print(f'not ended after {_STUCK_S:.0f} s: {case.id()}', flush=True)
    runner = getattr(case, '_asyncioRunner', None)
    if runner is None:
        return
    for task in asyncio.all_tasks(runner.get_loop()):
        task.print_stack(limit=6, file=sys.stdout)
    sys.stdout.flush()


def main() -> int:
    """Run the tests and print a summary line."""
    pattern = sys.argv[1] if len(sys.argv) > 1 else ''
    loader = unittest.TestLoader()
    found = loader.discover(str(_ROOT / 'tests'), top_level_dir=str(_ROOT))
    tests = [case for case in flatten(found) if pattern in case.id()]
    red = known_red()
    passed = failed = skipped = 0
    for case in tests:
        began_s = time.monotonic()
        result = unittest.TestResult()
        watch = threading.Timer(_STUCK_S, print_stacks, (case,))
        watch.daemon = True
        watch.start()
        case.run(result)
        watch.cancel()
        took_s = time.monotonic() - began_s
        if result.skipped:
            skipped += 1
            continue
        if result.wasSuccessful():
            passed += 1
            if took_s > _SLOW_S:
                print(f'slow: {case.id()} took {took_s:.1f} s', flush=True)
            continue
        _, text = (result.errors + result.failures)[0]
        if case.id() in red:
            skipped += 1
            print(f'known red: {case.id()} | {red[case.id()]}', flush=True)
            continue
        failed += 1
        print(f'FAILED {case.id()}\n{text}', flush=True)
    print(f'{passed} passed, {failed} failed, {skipped} skipped')
    return int(failed > 0 or not tests)


if __name__ == '__main__':
    sys.exit(main())
