"""What a process that starts again has to do before it can answer."""

import subprocess
import sys
from pathlib import Path

RUN = Path(__file__).parent.parent / "run.py"


def test_only_the_sources_are_looked_for_among_the_compiled_sources() -> None:
    """Any other module would be compiled at each start: one that is new in the sources belongs into run.py's list."""
    call = [sys.executable, "-X", "importtime", str(RUN), "--help"]
    ran = subprocess.run(call, capture_output=True, text=True, check=True)
    names = [line.rpartition("|")[2].strip() for line in ran.stderr.splitlines() if "|" in line]
    between = names[names.index("gingerspar") : names.index("gingerspar.cli") + 1]
    assert "gingerspar.controller" in between
    assert [name for name in between if not name.startswith("gingerspar")] == []
