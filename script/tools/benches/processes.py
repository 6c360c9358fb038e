"""What the host's process table tells of a process."""

import os
from pathlib import Path

__all__ = ('memory_mb', 'process_cpu_s')

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KB_PER_MB = 1024


def process_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the memory that a process holds."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / _KB_PER_MB
    return 0
