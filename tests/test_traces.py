"""Runs the traces: events go in, and the decisions of the dispatcher are checked, on a simulated clock.

Each file in ``tests/traces`` is one case. A line is an event or, after ``>``, an expectation that must hold at that
moment. ``#`` starts a comment. ``docs/traces.md`` lists the words of the trace language.
"""

from datetime import timedelta
from pathlib import Path

import pytest

from tests.tracing import Player

TRACES = sorted((Path(__file__).parent / "traces").glob("*.trace"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace(path: Path) -> None:
    player = Player()
    expectations = 0
    for number, raw in enumerate(path.read_text().splitlines(), 1):
        line = raw.split("#")[0].strip()
        if not line:
            continue
        try:
            expectations += player.play(line)
        except Exception as error:
            raise AssertionError(f"{path.name}:{number}: {raw.strip()}: {error}") from error
    assert expectations, f"{path.name} expects nothing"
    assert player.now >= timedelta(0)
