"""Processor time and memory of a process, read from /proc."""

import os
from dataclasses import dataclass
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Fields after the command name, which is in parentheses, counted from 0.
UTIME_FIELD = 11
STIME_FIELD = 12


@dataclass(frozen=True, slots=True)
class Memory:
    """Memory of a process, in KiB.

    Attributes:
        rss: Resident, with the pages of shared libraries.
        private: Resident and used by this process only.
    """

    rss: int
    private: int


def processor_seconds(pid: int) -> float:
    """Return user and system time of all threads so far; resolution 10 ms."""
    stat = Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])) / TICKS_PER_S


def memory(pid: int) -> Memory:
    """Return the memory of a process."""
    sizes = {}
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, value = line.split()[:2]
        sizes[name.rstrip(":")] = int(value)
    return Memory(sizes["Rss"], sizes["Private_Clean"] + sizes["Private_Dirty"])
