"""The line that tells what a controller holds and how long its event loop has stood still."""

import logging
from datetime import timedelta
from typing import Any

import pytest

from gingerspar.coordination.leader.load_monitor import LoadMonitor
from gingerspar.coordination.leader.process_report import ProcessReport
from gingerspar.protocol.messages import JobStatus, parse_job
from gingerspar.storage import records
from gingerspar.storage.view import WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.process_memory import resident_mb
from tests.standins.cluster import job


def _report(limit_mb: float) -> ProcessReport:
    """The report of a follower that has an unfinished job of 100 tasks and whose timer was once 40 ms late."""
    client: Any = None
    view = WatchedView(client, Clock(), rps=100, nodes=3)
    record = records.JobRecord(parse_job(job(1, Pieces=100)), JobStatus.RUNNING, finished="Aw==")
    view.apply(records.job_key("wk-000001"), bytes(records.pack(record)), 1)
    load_monitor = LoadMonitor(Clock())
    for late_ms in (3, 40, 1):
        load_monitor.record_lateness(timedelta(milliseconds=late_ms), timedelta(0))
    return ProcessReport(view, load_monitor, limit_mb, lambda: None)


def test_line_tells_memory_delay_jobs_and_tasks() -> None:
    report = _report(186.0)
    counts = "1 unfinished jobs with 98 unfinished tasks, 0 ended jobs"
    assert report.line(61.2) == f"process: memory 61 MB of 186 MB, event loop delayed by up to 40 ms; {counts}"
    assert "delayed by up to 0 ms" in report.line(61.2)  # the longest delay counts from the previous line


def test_memory_near_the_limit_is_an_error(caplog: pytest.LogCaptureFixture) -> None:
    memory_mb = resident_mb()
    assert memory_mb is not None
    caplog.set_level(logging.INFO)
    _report(memory_mb * 2).log()
    _report(memory_mb * 1.1).log()
    assert [record.levelno for record in caplog.records] == [logging.INFO, logging.ERROR]


def test_resident_memory_grows_with_what_is_held() -> None:
    before = resident_mb()
    held = bytearray(b"x" * (32 * 2**20))
    after = resident_mb()
    assert before is not None and after is not None
    assert after - before > len(held) / 2**20 / 2
