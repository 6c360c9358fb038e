"""HTTP adapters of the ports."""

from yuccavalve.adapters.engine import HttpEngine
from yuccavalve.adapters.http import HttpJsonClient
from yuccavalve.adapters.platform import HttpHostList, HttpObjectStore
from yuccavalve.adapters.table import HttpTableStore

__all__ = (
    'HttpJsonClient',
    'HttpEngine',
    'HttpHostList',
    'HttpObjectStore',
    'HttpTableStore',
)
