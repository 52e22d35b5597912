"""Starts a controller: ``python3 run.py --config FILE``."""

import sys
from pathlib import Path

# The platform's build step puts the pinned libraries here.
sys.path.insert(0, str(Path(__file__).resolve().parent / "target" / "deps"))

from gingerspar.cli import serve

if __name__ == "__main__":
    serve()
