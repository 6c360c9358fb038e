"""Bounds of what a process holds for its callers."""

from yuccavalve.memory.held import ALWAYS_BYTES, HeldBytes
from yuccavalve.memory.received import (
    ORDINARY_BYTES,
    ReceivedBytes,
    Sender,
    new_received_bytes,
)

__all__ = (
    'ALWAYS_BYTES',
    'ORDINARY_BYTES',
    'HeldBytes',
    'ReceivedBytes',
    'Sender',
    'new_received_bytes',
)
