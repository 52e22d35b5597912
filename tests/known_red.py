"""Pytest plugin for tests that fail because of a fault that is not fixed yet.

KNOWN-RED.txt lists them, one line for each, `TEST | CAUSE | ISSUE`, at most three. Listed tests are run and expected to
fail; the run prints them. A listed test that passes or does not exist fails the run. An empty file is an error: without
known failures there is no file.
"""

from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"
MAX_TESTS = 3


def read(path: Path) -> dict[str, str]:
    """Returns cause and issue by test; raises ``UsageError`` if the file is malformed, empty or too long."""
    if not path.exists():
        return {}
    lines = [line.strip() for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    causes: dict[str, str] = {}
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts) or parts[0] in causes:
            raise pytest.UsageError(f"{FILE_NAME}: expected TEST | CAUSE | ISSUE, each test once: {line!r}")
        causes[parts[0]] = f"{parts[1]} ({parts[2]})"
    if not causes:
        raise pytest.UsageError(f"{FILE_NAME}: the list is empty, delete the file")
    if len(causes) > MAX_TESTS:
        raise pytest.UsageError(f"{FILE_NAME}: {len(causes)} tests, at most {MAX_TESTS} are allowed")
    return causes


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks listed tests as expected to fail.

    Raises ``UsageError`` if a listed test is not collected, unless the command line selects tests.
    """
    known = read(config.rootpath / FILE_NAME)
    by_id = {item.nodeid: item for item in items}
    for test, cause in known.items():
        if test in by_id:
            by_id[test].add_marker(pytest.mark.xfail(reason=cause, strict=True))
        elif config.args_source is not pytest.Config.ArgsSource.ARGS:
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Prints the listed tests."""
    for test, cause in read(config.rootpath / FILE_NAME).items():
        terminalreporter.write_line(f"KNOWN RED {test}: {cause}")
