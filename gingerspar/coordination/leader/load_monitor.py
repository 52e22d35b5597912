"""Detects that this node's processor is overloaded, and limits background work meanwhile.

A node has a fraction of one slow core. Late timers are the first sign that it falls behind.
Overload is an explicit state, entered and left in one place. While it lasts, placement
decisions and fleet planning get smaller shares of the time, so that reports, reads of the
state service and users' requests keep theirs.
"""

import asyncio
import logging
from datetime import timedelta
from enum import Enum

from gingerspar.transport.clock import Clock

log = logging.getLogger(__name__)

SMOOTHING_FACTOR = 0.2  # weight of the newest sample in the moving average
OVERLOAD_ENTER_LATENESS = timedelta(milliseconds=120)  # smoothed lateness above this is overload
OVERLOAD_LEAVE_LATENESS = timedelta(milliseconds=40)
# Overload ends once the smoothed lateness has stayed at or below OVERLOAD_LEAVE_LATENESS for this time.
OVERLOAD_LEAVE_AFTER = timedelta(seconds=3)
# Limit on the lateness counted for one timer: a process that was paused once is not overloaded.
MAX_COUNTED_LATENESS = timedelta(seconds=0.5)


class LoadState(Enum):
    NORMAL = "normal"
    OVERLOADED = "overloaded"


# Maximum shares of this node's time; the rest is for reports, state reads and users' requests.
DECIDING_SHARE = {LoadState.NORMAL: 0.5, LoadState.OVERLOADED: 0.3}
PLANNING_SHARE = {LoadState.NORMAL: 0.1, LoadState.OVERLOADED: 0.05}


class LoadMonitor:
    """Measures timer lateness and keeps the load state; runs in every node."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.state = LoadState.NORMAL
        self.lateness = timedelta(0)  # moving average
        self._max_lateness = timedelta(0)  # since the last `take_max_lateness`
        self._below_leave_since: timedelta | None = None

    @property
    def overloaded(self) -> bool:
        return self.state is LoadState.OVERLOADED

    def _move(self, state: LoadState) -> None:
        """Sets and logs the load state; no other code changes it."""
        log.info(
            "load: %s -> %s, timers %.0f ms late", self.state.value, state.value, self.lateness.total_seconds() * 1000
        )
        self.state = state

    async def sleep(self, duration: timedelta) -> None:
        """Sleeps for ``duration`` and records how late the timer fired."""
        due = self._clock.now() + duration
        await asyncio.sleep(duration.total_seconds())
        now = self._clock.now()
        self.record_lateness(now - due, now)

    def record_lateness(self, late: timedelta, now: timedelta) -> None:
        """Records that a timer fired ``late`` after its due time; called about ten times a second."""
        self._max_lateness = max(self._max_lateness, late)
        self.lateness += (min(max(late, timedelta(0)), MAX_COUNTED_LATENESS) - self.lateness) * SMOOTHING_FACTOR
        if self.lateness > OVERLOAD_LEAVE_LATENESS:
            self._below_leave_since = None
        elif self._below_leave_since is None:
            self._below_leave_since = now
        if self.state is LoadState.NORMAL and self.lateness > OVERLOAD_ENTER_LATENESS:
            self._move(LoadState.OVERLOADED)
        elif (
            self.overloaded
            and self._below_leave_since is not None
            and now - self._below_leave_since >= OVERLOAD_LEAVE_AFTER
        ):
            self._move(LoadState.NORMAL)

    def take_max_lateness(self) -> timedelta:
        """Returns the largest lateness of a timer since the previous call."""
        lateness, self._max_lateness = self._max_lateness, timedelta(0)
        return lateness

    def pause_for_share(self, spent: timedelta, shares: dict[LoadState, float], min_pause: timedelta) -> timedelta:
        """Returns how long an activity that took ``spent`` must pause to keep to its share, at least ``min_pause``."""
        return max(min_pause, spent * (1 / shares[self.state] - 1))
