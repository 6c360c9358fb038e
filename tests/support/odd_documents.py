"""Documents in which one field holds something of another type."""

import copy
from collections.abc import Iterator
from typing import Any, Final

__all__ = ('odd_documents',)

_ODD: Final = (None, 0, -1, 1.5, '', 'x', [], {}, True, [None], 1 << 80)


def odd_documents(document: Any) -> Iterator[Any]:
    """Yield copies of a document, each with one field replaced."""
    for path in _paths(document, ()):
        for odd in _ODD:
            changed = copy.deepcopy(document)
            parent = changed
            for step in path[:-1]:
                parent = parent[step]
            parent[path[-1]] = odd
            yield changed


def _paths(document: Any, path: tuple[Any, ...]) -> Iterator[tuple[Any, ...]]:
    steps: list[tuple[Any, Any]] = []
    if isinstance(document, dict):
        steps = list(document.items())
    elif isinstance(document, list):
        steps = list(enumerate(document))
    for step, nested in steps:
        yield (*path, step)
        yield from _paths(nested, (*path, step))
