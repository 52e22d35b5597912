"""Starts a controller: ``python3 run.py --config FILE``.

The platform restarts an ended process within a fraction of a second, and half of the start-up time was spent
compiling. The platform's build step therefore compiles the sources to ``target/pycache``
(``deploy/service.toml``). A file that has changed since then is compiled again.
"""

import importlib
import sys
from pathlib import Path

TARGET = Path(__file__).resolve().parent / "target"
# All modules that the sources import from the standard library and from other packages. Their compiled files are
# beside their sources, so they have to be imported before ``sys.pycache_prefix`` is set
# (tests/test_startup_imports.py).
PRELOADED_MODULES = (
    "asyncio", "base64", "click", "collections", "contextlib", "dataclasses", "enum", "functools", "heapq",
    "importlib.metadata", "itertools", "logging", "math", "msgspec", "pathlib", "random", "re", "secrets", "socket",
    "sortedcontainers", "tomllib", "tornado.httpserver", "tornado.tcpserver", "urllib.parse", "uvloop", "zlib",
)  # fmt: skip

sys.path.insert(0, str(TARGET / "deps"))
for name in PRELOADED_MODULES:
    importlib.import_module(name)
sys.pycache_prefix = str(TARGET / "pycache")

import gingerspar.controller  # noqa: E402, F401  (``serve`` imports it after the prefix is reset)
from gingerspar.cli import serve  # noqa: E402

sys.pycache_prefix = None

if __name__ == "__main__":
    serve()
