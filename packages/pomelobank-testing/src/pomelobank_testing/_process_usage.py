"""Processor time and memory of a process, from `/proc`."""

from pathlib import Path

_NS_PER_US = 1000
_KIB = 1024


def processor_us(pid: int) -> int:
    """Returns the processor time that a process has used, in microseconds."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total // _NS_PER_US


def resident_bytes(pid: int) -> int:
    """Returns the resident memory of a process in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * _KIB
    raise ValueError(f"/proc/{pid}/status contains no VmRSS line")
