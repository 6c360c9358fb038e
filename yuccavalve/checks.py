"""Bounds of what entries in the store and other daemons may say.

Other writers and faulty daemons may say anything. Whatever passes these checks
can be sent to other daemons, logged, and put into the head of a request.
"""

import re
from typing import Final

__all__ = (
    'MAX_UINT32',
    'MAX_UINT64',
    'check_address',
    'check_id',
    'check_name',
    'check_number',
)

MAX_UINT32: Final = 0xFFFFFFFF
MAX_UINT64: Final = 0xFFFFFFFFFFFFFFFF
# The store's bound on its keys.
_MAX_NAME_BYTES = 200
_MAX_HOST_CHARACTERS = 253
_MAX_PORT = 65535
_MAX_SHOWN = 60
_ID = re.compile('[!-~]+')
_ADDRESS = re.compile(
    r'(?P<host>\w[\w-]{0,62}(?:\.\w[\w-]{0,62})*|\[[0-9A-Fa-f:.]+\])'
    r':(?P<port>\d{1,5})',
    re.ASCII,
)


def check_name(name: str, field: str) -> None:
    """Raise ``ValueError`` unless a text can be sent and logged as a name."""
    if not name or not name.isprintable():
        raise ValueError(f'{field}: found {name[:_MAX_SHOWN]!r}')
    if len(name.encode()) > _MAX_NAME_BYTES:
        raise ValueError(f'{field}: too long, {name[:_MAX_SHOWN]!r}')


def check_id(name: str, field: str) -> None:
    """Raise ``ValueError`` unless a text can stand in the head of a request."""
    check_name(name, field)
    if not _ID.fullmatch(name):
        raise ValueError(f'{field}: found {name[:_MAX_SHOWN]!r}')


def check_address(address: str, field: str) -> None:
    """Raise ``ValueError`` unless a text is a host and a port."""
    found = _ADDRESS.fullmatch(address)
    is_valid = (
        found is not None
        and len(found['host']) <= _MAX_HOST_CHARACTERS
        and 0 < int(found['port']) <= _MAX_PORT
    )
    if not is_valid:
        raise ValueError(f'{field}: found {address[:_MAX_SHOWN]!r}')


def check_number(
    number: float, field: str, highest: float, lowest: float = 0
) -> None:
    """Raise ``ValueError`` unless a number is within bounds."""
    if not lowest <= number <= highest:
        shown = f'{number}' if abs(number) < MAX_UINT64 else 'too large'
        raise ValueError(f'{field}: expected {lowest} to {highest}, is {shown}')
