"""The platform's build step installs the packages once for each kind of processor and list of requirements."""

import os
import subprocess
import tomllib
from pathlib import Path

import pytest

SERVICE_FILE = Path(__file__).parent.parent / "deploy/service.toml"
# Stands for python3 on the path: notes each installation, and puts a package there.
PYTHON = """#!/bin/sh
case "$*" in *"pip install"*) echo installed >> calls; mkdir -p target/deps; echo code > target/deps/package.so;; esac
"""


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    (tmp_path / "requirements.txt").write_text("package==1\n")
    os.utime(tmp_path / "requirements.txt", (1, 1))
    python = tmp_path / "bin/python3"
    python.parent.mkdir()
    python.write_text(PYTHON)
    python.chmod(0o755)
    return tmp_path


def _build(checkout: Path) -> int:
    """Runs the build step; returns the number of installations so far."""
    command = tomllib.loads(SERVICE_FILE.read_text())["build"]
    path = f"{checkout / 'bin'}:{os.environ['PATH']}"
    subprocess.run(command, shell=True, cwd=checkout, env={**os.environ, "PATH": path}, check=True)
    return len((checkout / "calls").read_text().split())


def test_packages_are_installed_once(checkout: Path) -> None:
    assert [_build(checkout), _build(checkout)] == [1, 1]
    (checkout / "requirements.txt").write_text("package==2\n")
    os.utime(checkout / "requirements.txt")
    os.utime(checkout / "target/deps" / os.uname().machine, (1, 1))
    assert _build(checkout) == 2


def test_packages_of_another_processor_are_replaced(checkout: Path) -> None:
    """Packages carried over from a machine of another kind could not be imported, and no build replaced them."""
    _build(checkout)
    deps = checkout / "target/deps"
    (deps / os.uname().machine).rename(deps / "another-processor")
    (deps / "package-of-another-processor.so").write_text("code")
    assert _build(checkout) == 2
    assert sorted(path.name for path in deps.iterdir()) == sorted(["package.so", os.uname().machine])
