"""The memory that this process holds."""

import os
from pathlib import Path

_STATM = Path("/proc/self/statm")  # sizes in pages; the second one is the resident memory
BYTES_PER_MB = 2**20


def resident_mb() -> float | None:
    """Resident memory of this process in units of 2^20 bytes; None where the system does not tell."""
    try:
        pages = int(_STATM.read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
    except (OSError, ValueError, IndexError):
        return None


def format_memory(memory_mb: float | None, limit_mb: float = 0.0) -> str:
    """The memory held in MB, and its limit; ``limit_mb`` 0: there is none."""
    held = "unknown" if memory_mb is None else f"{memory_mb:.0f} MB"
    return f"{held} of {limit_mb:.0f} MB" if limit_mb else held
