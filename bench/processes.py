"""Processor time and memory of a process, read from ``/proc``."""

import os
from pathlib import Path

__all__ = ["cpu_time_s", "resident_bytes"]

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def cpu_time_s(pid: int) -> float:
    """Return the processor time that a process has used, user and system, in seconds."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii", errors="replace")
    fields = text.rpartition(")")[2].split()
    user, system = int(fields[11]), int(fields[12])
    return (user + system) / TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    text = Path(f"/proc/{pid}/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * PAGE_BYTES
