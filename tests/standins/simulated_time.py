"""Event loop and clock with simulated time, which runs minutes of cluster time in seconds.

All parts run in one process and communicate over loopback, as in the other tests. Only the clock is
simulated: when no socket has data to read, it advances to the next timer.
"""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from gingerspar.transport.clock import Clock

START_TIME = datetime(2026, 1, 1, tzinfo=UTC)
DELIVERY_S = 0.0002  # real time within which data sent over loopback arrives


class _Selector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        time.sleep(DELIVERY_S)
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("deadlock: no timer is set and no socket has data to read")
        if not ready:
            self.now += timeout or 0.0
        return ready


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only to the next timer."""

    def __init__(self) -> None:
        self._simulated = _Selector()
        super().__init__(self._simulated)

    def time(self) -> float:
        return self._simulated.now


class SimulatedClock(Clock):
    """The time of the running event loop, counted from ``START_TIME``."""

    def now(self) -> timedelta:
        return timedelta(seconds=asyncio.get_running_loop().time())

    def utc_now(self) -> datetime:
        return START_TIME + self.now()


def run_simulated(scenario: Coroutine[Any, Any, None], time_limit: timedelta = timedelta(minutes=10)) -> None:
    """Runs a scenario to its end; raises TimeoutError after ``time_limit`` of simulated time."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(asyncio.wait_for(scenario, time_limit.total_seconds()))
