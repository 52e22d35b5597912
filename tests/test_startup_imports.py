"""Which modules are looked up under the directory of compiled sources when a process starts (run.py)."""

import subprocess
import sys
from pathlib import Path

RUN = Path(__file__).parent.parent / "run.py"


def test_only_the_sources_are_imported_under_the_pycache_prefix() -> None:
    """Any other module would be compiled at each start. A module that the sources newly import belongs into run.py's
    ``PRELOADED_MODULES``.
    """
    command = [sys.executable, "-X", "importtime", str(RUN), "--help"]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    names = [line.rpartition("|")[2].strip() for line in result.stderr.splitlines() if "|" in line]
    imported = names[names.index("gingerspar") : names.index("gingerspar.cli") + 1]
    assert "gingerspar.controller" in imported
    assert [name for name in imported if not name.startswith("gingerspar")] == []
