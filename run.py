"""Starts a controller: ``python3 run.py --config FILE``.

A process that ends is back within a fraction of a second, and half of what starting took was
compiling. The platform's build step compiles the sources to ``target/pycache`` (``deploy/service.toml``);
a file that has changed since is compiled anew.
"""

import importlib
import sys
from pathlib import Path

TARGET = Path(__file__).resolve().parent / "target"
# All that the sources import from elsewhere: it has its compiled files beside it, and has to be there
# before Python is told to look for compiled files in another place (tests/test_startup_imports.py).
OTHERS = (
    "asyncio", "base64", "click", "collections", "contextlib", "dataclasses", "enum", "functools", "heapq",
    "importlib.metadata", "itertools", "logging", "math", "msgspec", "pathlib", "random", "re", "secrets", "socket",
    "sortedcontainers", "tomllib", "tornado.httpserver", "tornado.tcpserver", "urllib.parse", "uvloop", "zlib",
)  # fmt: skip

sys.path.insert(0, str(TARGET / "deps"))
for name in OTHERS:
    importlib.import_module(name)
sys.pycache_prefix = str(TARGET / "pycache")

import gingerspar.controller  # noqa: E402, F401  (``serve`` would import it later, by the usual place)
from gingerspar.cli import serve  # noqa: E402

sys.pycache_prefix = None

if __name__ == "__main__":
    serve()
