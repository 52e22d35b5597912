"""Whether this node's processor keeps up, and what it does less of when it doesn't.

A node has a part of one core, and a slow one at that. Timers that fire late show that it
falls behind before anything else does. Overload is a state with a name, entered and left
in one place; while it lasts, deciding and planning take smaller shares, so that reports,
reads of the state service and users' requests keep theirs.
"""

import asyncio
import logging
from datetime import timedelta
from enum import Enum

from gingerspar.transport.clock import Clock

log = logging.getLogger(__name__)

SMOOTHING = 0.2  # of the newest pulse
ENTER = timedelta(milliseconds=120)  # pulses that late, smoothed, are overload
LEAVE = timedelta(milliseconds=40)
CALM = timedelta(seconds=3)  # they must have been below LEAVE for so long
MAX_COUNTED_LATENESS = timedelta(seconds=0.5)  # of one late pulse: a process that stood still once is not overloaded


class LoadState(Enum):
    NORMAL = "normal"
    OVERLOADED = "overloaded"


# Shares of the time, the rest is for reports, reads and users' requests.
DECIDING_SHARE = {LoadState.NORMAL: 0.5, LoadState.OVERLOADED: 0.3}
PLANNING_SHARE = {LoadState.NORMAL: 0.1, LoadState.OVERLOADED: 0.05}


class LoadMonitor:
    """Runs in every node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.state = LoadState.NORMAL
        self.lateness = timedelta(0)  # smoothed
        self._calm_since: timedelta | None = None

    @property
    def overloaded(self) -> bool:
        return self.state is LoadState.OVERLOADED

    def _move(self, state: LoadState) -> None:
        """The only place where the state changes."""
        log.info(
            "strain: %s -> %s, timers %.0f ms late", self.state.value, state.value, self.lateness.total_seconds() * 1000
        )
        self.state = state

    async def sleep(self, span: timedelta) -> None:
        """Sleeps, and notes how much later than asked the timer fired."""
        due = self._clock.now() + span
        await asyncio.sleep(span.total_seconds())
        now = self._clock.now()
        self.record_lateness(now - due, now)

    def record_lateness(self, late: timedelta, now: timedelta) -> None:
        """A timer fired ``late`` after its time; called some ten times a second."""
        self.lateness += (min(max(late, timedelta(0)), MAX_COUNTED_LATENESS) - self.lateness) * SMOOTHING
        if self.lateness > LEAVE:
            self._calm_since = None
        elif self._calm_since is None:
            self._calm_since = now
        if self.state is LoadState.NORMAL and self.lateness > ENTER:
            self._move(LoadState.OVERLOADED)
        elif self.overloaded and self._calm_since is not None and now - self._calm_since >= CALM:
            self._move(LoadState.NORMAL)

    def pause_after(self, spent: timedelta, shares: dict[LoadState, float], least: timedelta) -> timedelta:
        """How long an activity that took ``spent`` has to rest to keep to its share."""
        return max(least, spent * (1 / shares[self.state] - 1))
