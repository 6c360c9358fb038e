"""Processor time and memory of a process, read from ``/proc``."""

import os
from pathlib import Path

__all__ = ('memory_mb', 'process_cpu_s')

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KB_PER_MB = 1024


def process_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / _KB_PER_MB
    return 0
