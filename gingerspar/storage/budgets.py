"""Rate budgets: token buckets whose waiters are served in order of urgency."""

import asyncio
from datetime import timedelta
from enum import IntEnum

from sortedcontainers import SortedList

from gingerspar.transport.clock import Clock

# Minimum duration over which consumption is averaged before the measured demand is updated.
DEMAND_INTERVAL = timedelta(seconds=0.5)
# Users' requests, and the more urgent ones, may overdraw the budget by what it gains in this time; less urgent requests
# then wait longer. Without this, while the whole limit was in use, each submission waited until the units that claims
# and results had acquired were refilled (kerlann-fonts-ops visitors).
USER_OVERDRAFT = timedelta(seconds=0.5)


class Urgency(IntEnum):
    """The order in which waiters are served; the lowest value first."""

    SESSION = 0  # the node's session and the term: no other write is possible without them
    USER = 1  # submissions and cancellations
    CLAIM = 2
    RESULT = 3
    BACKGROUND = 4  # sweeps and roster clean-up


class Budget:
    """A token bucket that gains ``rate`` units per second and holds at most ``burst`` units."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = clock.now()
        self._blocked_until = self._refilled_at
        self._last_ticket = 0
        self._waiting: SortedList[tuple[int, int]] = SortedList()
        self._waiting_units = 0.0  # sum over all waiters
        self._acquired = 0.0
        self._measured_at = clock.now()
        self._demand = 0.0

    @property
    def rate(self) -> float:
        return self._rate

    @property
    def burst(self) -> float:
        return self._burst

    def set_rate(self, rate: float, burst: float) -> None:
        """Changes rate (units per second) and capacity; units above the new ``burst`` are discarded."""
        self._refill()
        self._rate, self._burst = rate, burst
        self._level = min(self._level, burst)

    def demand(self) -> float:
        """Units per second requested recently, plus all units still waiting.

        Nodes use it to divide a limit that they share.
        """
        now = self._clock.now()
        elapsed_s = (now - self._measured_at).total_seconds()
        if elapsed_s >= DEMAND_INTERVAL.total_seconds():
            self._demand = 0.5 * self._demand + 0.5 * self._acquired / elapsed_s
            self._acquired, self._measured_at = 0.0, now
        return self._demand + self._waiting_units

    def _refill(self) -> None:
        now = self._clock.now()
        self._level = min(self._burst, self._level + (now - self._refilled_at).total_seconds() * self._rate)
        self._refilled_at = now

    async def acquire(self, units: float, urgency: Urgency) -> None:
        """Returns once ``units`` are available and no more urgent or earlier waiter is left."""
        self._last_ticket += 1
        ticket = (int(urgency), self._last_ticket)
        self._waiting.add(ticket)
        self._waiting_units += units
        try:
            while True:
                self._refill()
                # ``set_rate`` may have reduced the burst below ``units``: the level then becomes negative.
                required = min(units, self._burst)
                if urgency <= Urgency.USER:
                    required -= self._rate * USER_OVERDRAFT.total_seconds()
                if self._waiting[0] == ticket and self._level >= required and self._refilled_at >= self._blocked_until:
                    self._level -= units
                    self._acquired += units
                    return
                missing = max(required - self._level, 0.02 * self._rate)
                await asyncio.sleep(min(missing / self._rate, 0.25))
        finally:
            self._waiting.remove(ticket)
            self._waiting_units -= units

    def block(self, pause: timedelta) -> None:
        """Grants nothing for ``pause``, because the remote service reported too many requests."""
        self._refill()
        self._level = min(self._level, -pause.total_seconds() * self._rate)
        self._blocked_until = self._refilled_at + pause  # also for requests that may overdraw the level
