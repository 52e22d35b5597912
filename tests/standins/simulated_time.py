"""Time that passes only when nothing is left to do, so that minutes of a cluster take seconds.

All parts run in one process and speak over loopback, as in the other tests; only the clock is
simulated: whenever no socket has anything to read, it jumps to the next timer.
"""

import asyncio
import selectors
import time
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from gingerspar.transport.clock import Clock

BEGAN = datetime(2026, 1, 1, tzinfo=UTC)
DELIVERY = 0.0002  # seconds of real time after which what was sent over loopback has surely arrived


class _Selector(selectors.DefaultSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or (timeout is not None and timeout <= 0):
            return ready
        time.sleep(DELIVERY)
        ready = super().select(0)
        if not ready and timeout is None:
            raise RuntimeError("everything waits, and for nothing")
        if not ready:
            self.now += timeout or 0.0
        return ready


class SimulatedLoop(asyncio.SelectorEventLoop):
    """A loop on whose clock nothing but its timers takes time."""

    def __init__(self) -> None:
        self._simulated = _Selector()
        super().__init__(self._simulated)

    def time(self) -> float:
        return self._simulated.now


class SimulatedClock(Clock):
    """The running loop's clock."""

    def now(self) -> timedelta:
        return timedelta(seconds=asyncio.get_running_loop().time())

    def today(self) -> datetime:
        return BEGAN + self.now()


def play(scene: Coroutine[Any, Any, None], most: timedelta = timedelta(minutes=10)) -> None:
    """Runs a scene to its end, ``most`` of simulated time at the longest."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        runner.run(asyncio.wait_for(scene, most.total_seconds()))
