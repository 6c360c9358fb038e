"""Keys: read from files, compared in constant time, never printed."""

import hashlib
import hmac
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol, TypeVar

from yuccavalve.exceptions import SettingsInvalidError
from yuccavalve.results import ResultCode

__all__ = (
    'bearer_key',
    'find_workspace',
    'key_digest',
    'keys_equal',
    'read_key',
)

_SCHEME = 'Bearer '


class KeyHolder(Protocol):
    """Has the digest of its key."""

    @property
    def key_digest(self) -> str:
        """Return the hexadecimal SHA-256 of the key."""


_Holder = TypeVar('_Holder', bound=KeyHolder)


def read_key(path: Path) -> str:
    """Return the key in a file, without surrounding white space."""
    try:
        key = path.read_text().strip()
    except OSError as error:
        raise SettingsInvalidError(
            ResultCode.SETTINGS_UNREADABLE,
            f'{path}: {error.strerror}',
        ) from error
    if not key:
        raise SettingsInvalidError(
            ResultCode.SETTINGS_UNREADABLE,
            f'{path}: expected a key, found nothing',
        )
    return key


def key_digest(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def keys_equal(given: str, expected: str) -> bool:
    """Compare two keys in constant time."""
    return hmac.compare_digest(given.encode(), expected.encode())


def bearer_key(authorization: str) -> str:
    """Return the key of an Authorization header, or an empty string."""
    if not authorization.startswith(_SCHEME):
        return ''
    return authorization.removeprefix(_SCHEME)


def find_workspace(
    key: str,
    workspaces: Iterable[_Holder],
) -> _Holder | None:
    """Return the workspace that a key belongs to.

    Every workspace is compared, so that the time taken reveals nothing.
    """
    digest = key_digest(key)
    found = None
    for workspace in workspaces:
        if keys_equal(digest, workspace.key_digest):
            found = workspace
    return found
