"""Malformed reports are refused with a clear status and change nothing.

The text of a test under ``@given``, with its name and docstring, is the seed of its generated cases (Hypothesis hashes
the source without comments): changing any of it changes these cases.
"""

import asyncio
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.leader.leader_runtime import LeaderRuntime
from gingerspar.coordination.leader.load_monitor import LoadMonitor
from gingerspar.protocol import messages
from gingerspar.protocol.messages import MachineType, Malformed, Report
from gingerspar.protocol.settings import OperatorSettings, WorkerFacts
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer

JUNK = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=12),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)
TASK = st.fixed_dictionaries(
    {},
    optional={
        "Piece": st.one_of(st.sampled_from(["wk-000001/0", "wk-000001/9", "wk-1", "/", "wk-000001/-1", ""]), JUNK),
        "Try": st.one_of(st.integers(0, 3), JUNK),
        "Status": st.one_of(st.sampled_from(["running", "ended", "fetching", "gone"]), JUNK),
        "Cause": st.one_of(st.sampled_from(["done", "error", "bored"]), JUNK),
    },
)
VALID = {
    "Host": "n-000001",
    "Endpoint": "10.0.0.9:1",
    "Build": "big",
    "Hall": "a",
    "Stint": 1,
    "Tick": 1,
    "Baton": 1,
    "Loaners": False,
    "WarningS": None,
    "Pieces": [],
}
OTHER_VALUES = {
    "Endpoint": st.sampled_from(["10.0.0.9:1", ""]),
    "Build": st.sampled_from(["big", "other"]),
    "Hall": st.sampled_from(["a", "z"]),
    "Loaners": st.booleans(),
    "Host": st.sampled_from(["n-000001", "n-000002", ""]),
    "Stint": st.integers(0, 2),
    "Tick": st.integers(0, 50),
    "Baton": st.integers(0, 2),
    "WarningS": st.sampled_from([20.0, 1e300, -1.0]),
    "Pieces": st.lists(TASK, min_size=1, max_size=3),
}


@st.composite
def _reports(draw: st.DrawFn) -> dict[str, Any]:
    """Draws a valid report in which a few fields have other values, invalid ones, or are missing."""
    report: dict[str, Any] = {**VALID, "Tick": draw(st.integers(1, 99))}
    for name in draw(st.lists(st.sampled_from(sorted(VALID)), max_size=3, unique=True)):
        if draw(st.integers(0, 19)) == 0:
            del report[name]
        else:
            report[name] = draw(OTHER_VALUES[name] if draw(st.integers(0, 7)) else JUNK)
    return report


def _post() -> LeaderRuntime:
    dispatcher = Dispatcher(1, timedelta(0), WorkerFacts(report_s=2.5, lease_s=18, cancel_s=43), [])
    dispatcher.set_types([MachineType("big", 16, 64, zones=("a",), price=1.0, boot_s=20)])
    view: Any = SimpleNamespace(on_job=[], final={}, roster={}, age=lambda: timedelta(0), final_spec=lambda job: None)
    rest: Any = SimpleNamespace()
    return LeaderRuntime(
        "n1", dispatcher, rest, view, rest, rest, Clock(), timedelta(seconds=3), OperatorSettings(),
        lambda: True, lambda node, jobs: None, lambda node, job, attempt: None,
        lambda: Answer(421, b"{}"), lambda: None, LoadMonitor(Clock()), Random(1),
    )  # fmt: skip


async def _status(runtime: LeaderRuntime, body: bytes) -> int:
    try:
        report = messages.decode(Report, body)
    except Malformed:
        return 400
    answer = runtime.handle_report(report)
    if isinstance(answer, Answer):
        return answer.status
    runtime.dispatcher.tick(timedelta(seconds=5), timedelta(seconds=5))
    for hold in list(runtime._holds.values()):
        runtime._release(hold)  # sends the held answer, as when its time is up
    return (await answer).status


# Faults that this test found: a report whose task list can't be read added a machine and was answered with 503; a spot
# notice of 1e300 s caused an internal error.
@settings(max_examples=250, derandomize=True, deadline=None)
@given(st.lists(_reports(), min_size=1, max_size=4))
def test_whatever_comes_is_answered(reports: list[dict[str, Any]]) -> None:
    """Found here: a task list that can't be read made a machine of nothing, and the answer 503;
    a notice of 1e300 s ended in an error inside."""
    asyncio.run(_answer_all(reports))


async def _answer_all(reports: list[dict[str, Any]]) -> None:
    runtime = _post()
    for report in reports:
        known = set(runtime.dispatcher.machines)
        status = await _status(runtime, msgspec.json.encode(report) if _encodable(report) else b"{")
        assert status in (200, 400, 421, 503)
        if status == 400:
            assert set(runtime.dispatcher.machines) == known
        runtime.dispatcher.tick(timedelta(seconds=1), timedelta(seconds=1))
        runtime.dispatcher.place_tasks(timedelta(seconds=1))


@settings(max_examples=100, derandomize=True, deadline=None)
@given(st.binary(max_size=60))
def test_bytes_that_are_no_report(body: bytes) -> None:
    assert asyncio.run(_status(_post(), body)) in (200, 400, 503)


def _encodable(report: dict[str, Any]) -> bool:
    try:
        msgspec.json.encode(report)
    except (OverflowError, UnicodeEncodeError):
        return False
    return True
