"""Logs what this process holds and how long its event loop has stood still."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.leader.load_monitor import LoadMonitor
from gingerspar.storage.view import WatchedView
from gingerspar.transport.process_memory import format_memory, resident_mb

log = logging.getLogger(__name__)

REPORT_INTERVAL = timedelta(seconds=30)
HIGH_MEMORY_SHARE = 0.8  # of the limit; above it, the line is logged as an error


class ProcessReport:
    """Logs one line every ``REPORT_INTERVAL``; its parts tell what the memory and the time follow.

    ``limit_mb`` is the memory above which the platform ends the process; 0: no limit. ``dispatcher`` returns the
    dispatcher while this node leads.
    """

    def __init__(
        self,
        view: WatchedView,
        load_monitor: LoadMonitor,
        limit_mb: float,
        dispatcher: Callable[[], Dispatcher | None],
    ) -> None:
        self._view = view
        self._load_monitor = load_monitor
        self._limit_mb = limit_mb
        self._dispatcher = dispatcher

    async def run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL.total_seconds())
            self.log()

    def log(self) -> None:
        """Logs the line, as an error if most of the allowed memory is in use."""
        memory_mb = resident_mb()
        is_high = memory_mb is not None and 0 < self._limit_mb * HIGH_MEMORY_SHARE < memory_mb
        log.log(logging.ERROR if is_high else logging.INFO, "%s", self.line(memory_mb))

    def line(self, memory_mb: float | None) -> str:
        """The text of the line; the longest delay counts from the previous one."""
        unfinished_tasks = sum(entry.record.spec.tasks - len(entry.finished) for entry in self._view.jobs.values())
        delay_ms = self._load_monitor.take_max_lateness().total_seconds() * 1000
        memory = format_memory(memory_mb, self._limit_mb)
        text = (
            f"process: memory {memory}, event loop delayed by up to {delay_ms:.0f} ms; "
            f"{len(self._view.jobs)} unfinished jobs with {unfinished_tasks} unfinished tasks, "
            f"{len(self._view.final)} ended jobs"
        )
        dispatcher = self._dispatcher()
        if dispatcher is None:
            return text
        placed_tasks = sum(len(machine.live) for machine in dispatcher.pool)
        return f"{text}; leads {len(dispatcher.machines)} machines with {placed_tasks} tasks"
