"""Memory and time of a controller follow what its machines run, not how many tasks users have submitted."""

import subprocess
import sys

import pytest

from gingerspar.controller import PEER_CONTACT_LOST_AFTER

SMALLEST_MEMORY_MB = 138  # of any deployment; the platform ends a process that exceeds it
MACHINES = 525  # of that deployment, half as many again as its site file has
LARGE_ARRAYS = 400  # of 100,000 tasks each


def _measure(*options: str) -> tuple[float, float]:
    """Most memory held after any step, in MB, and processor seconds of the longest part of any step."""
    command = [sys.executable, "-m", "bench.job_cost", "--child", "--machines", str(MACHINES), *options]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    rows = [line.split()[-3:] for line in output.splitlines()[1:]]
    assert len(rows) == 13, output
    return max(float(held) for held, _, _ in rows), max(float(longest) for _, _, longest in rows)


@pytest.mark.parametrize("done", [0, 7], ids=["none done", "scattered tasks done"])
@pytest.mark.parametrize("value_kb", [32, 8], ids=["bitmaps in records", "bitmaps in chunks"])
def test_large_arrays_are_no_load_while_they_wait(done: int, value_kb: int) -> None:
    """Each unfinished task was an entry: 24 arrays took every new leader over its memory limit, for good (review/5)."""
    options = ["--arrays", str(LARGE_ARRAYS), "--done", str(done), "--value-kb", str(value_kb)]
    held_mb, longest_s = _measure(*options)
    assert held_mb < SMALLEST_MEMORY_MB
    assert longest_s < PEER_CONTACT_LOST_AFTER.total_seconds()  # or its peers would take it for failed
