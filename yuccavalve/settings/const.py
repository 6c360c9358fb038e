"""Limits and unit suffixes of the settings file."""

from typing import Final

MIN_PORT: Final = 0
MAX_PORT: Final = 65535
UNIT_SUFFIXES: Final = ('_s', '_ms', '_bytes', '_tokens')
