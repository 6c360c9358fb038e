"""Break one rule at a time and check that its session fails.

Each mutant is a copy of the tree with one piece of text replaced. A session
that passes on its mutant doesn't test the rule; it is printed as ``PASSED``.
"""

import concurrent.futures
import os
import re
import shutil
import subprocess
import sys
import tempfile
import tomllib
from pathlib import Path

import attrs

__all__ = ('Mutant', 'find_stale_mutants', 'load_mutants', 'run_mutants')

_ROOT = Path(__file__).parents[3]
_MUTANTS_FILE = Path(__file__).with_suffix('.toml')
_COPIED_PATHS = (
    'yuccavalve',
    'platform',
    'deploy',
    'tests',
    'script',
    'setup.cfg',
    'KNOWN-RED.txt',
)
_MAX_PARALLEL = 3
_TIMEOUT_S = 240
_MAX_REASON_CHARACTERS = 90
_FAILED = re.compile('[1-9][0-9]* failed')
_ERROR = re.compile(r'^[\w.]*Error\b.*$', re.MULTILINE)


@attrs.frozen
class Mutant:
    """A replacement of source text that breaks one rule.

    Attributes
    ----------
    test
        Name of the session that has to fail on the mutant.
    path
        File, relative to the ``yuccavalve`` package.
    kept, changed
        Text that occurs once in the file, and its replacement.
    """

    test: str
    path: str
    kept: str
    changed: str


def load_mutants() -> list[Mutant]:
    """Load the mutants from ``mutants.toml``."""
    document = tomllib.loads(_MUTANTS_FILE.read_text())
    return [Mutant(**entry) for entry in document['mutants']]


def find_stale_mutants(mutants: list[Mutant]) -> list[str]:
    """Return a line for each mutant whose kept text does not occur once."""
    counts = [(each, _source(_ROOT, each).count(each.kept)) for each in mutants]
    return [
        f'{each.path}: kept text of {each.test} occurs {count} times'
        for each, count in counts
        if count != 1
    ]


def run_mutants(pattern: str = '') -> int:
    """Run the mutants whose test name contains a pattern.

    Returns how many were not caught by their test.
    """
    chosen = [each for each in load_mutants() if pattern in each.test]
    stale = find_stale_mutants(chosen)
    if stale:
        raise ValueError('; '.join(stale))
    with concurrent.futures.ThreadPoolExecutor(_MAX_PARALLEL) as executor:
        verdicts = list(executor.map(_run, chosen))
    print(
        f'{verdicts.count(True)} of {len(verdicts)} mutants failed as expected'
    )
    return verdicts.count(False)


def _run(mutant: Mutant) -> bool:
    with tempfile.TemporaryDirectory(prefix='mutant-') as directory:
        root = Path(directory)
        _copy_tree(root)
        _apply(root, mutant)
        try:
            finished = _run_test(mutant.test, root)
        except subprocess.TimeoutExpired:
            print(f'hung    {mutant.test} ({mutant.path})', flush=True)
            return False
    text = finished.stdout.decode(errors='replace')
    caught = finished.returncode != 0 and _FAILED.search(text) is not None
    verdict = 'failed ' if caught else 'PASSED '
    reason = _last_error(text) if caught else text.strip()[-80:]
    print(f'{verdict} {mutant.test} ({mutant.path}): {reason}', flush=True)
    return caught


def _run_test(test: str, root: Path) -> subprocess.CompletedProcess[bytes]:
    return subprocess.run(
        [sys.executable, '-m', 'script.tools.run_tests', test],
        cwd=root,
        env={**os.environ, 'PYTHONPATH': str(root)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        timeout=_TIMEOUT_S,
        check=False,
    )


def _copy_tree(root: Path) -> None:
    for part in _COPIED_PATHS:
        source = _ROOT / part
        if source.is_dir():
            shutil.copytree(source, root / part)
        else:
            shutil.copy(source, root / part)


def _source(root: Path, mutant: Mutant) -> str:
    return (root / 'yuccavalve' / mutant.path).read_text()


def _apply(root: Path, mutant: Mutant) -> None:
    changed = _source(root, mutant).replace(mutant.kept, mutant.changed)
    (root / 'yuccavalve' / mutant.path).write_text(changed)


def _last_error(text: str) -> str:
    found = _ERROR.findall(text)
    return found[-1][:_MAX_REASON_CHARACTERS] if found else 'no error line'
