"""Rate budgets: a token bucket whose waiters are served by priority."""

import asyncio
from datetime import timedelta
from enum import IntEnum

from sortedcontainers import SortedList

from gingerspar.transport.clock import Clock

DEMAND_SPAN = timedelta(seconds=0.5)
# Of the rate to come, users' writes may use so much ahead, and what is less urgent then waits the longer: with all
# of the limit in use, each submission waited for what claims and results had taken (kerlann-fonts-ops visitors).
AHEAD = timedelta(seconds=0.5)


class Urgency(IntEnum):
    """Who goes first when the budget is short."""

    SESSION = 0  # session and term: without them nothing else can be written
    USER = 1  # submissions and cancellations
    CLAIM = 2
    RESULT = 3
    BACKGROUND = 4  # sweeps, roster clean-up


class Budget:
    """``rate`` units a second, saved up for at most ``burst`` units."""

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at = clock.now()
        self._closed_until = self._at
        self._order = 0
        self._waiting: SortedList[tuple[int, int]] = SortedList()
        self._lacking = 0.0  # units that are waited for
        self._taken = 0.0
        self._measured = clock.now()
        self._demand = 0.0

    @property
    def rate(self) -> float:
        return self._rate

    @property
    def burst(self) -> float:
        return self._burst

    def set_rate(self, rate: float, burst: float) -> None:
        """What is saved up stays, as far as the new burst allows."""
        self._refill()
        self._rate, self._burst = rate, burst
        self._level = min(self._level, burst)

    def demand(self) -> float:
        """Units a second that were asked for lately, with what still waits; for sharing a common limit."""
        now = self._clock.now()
        span = (now - self._measured).total_seconds()
        if span >= DEMAND_SPAN.total_seconds():
            self._demand = 0.5 * self._demand + 0.5 * self._taken / span
            self._taken, self._measured = 0.0, now
        return self._demand + self._lacking

    def _refill(self) -> None:
        now = self._clock.now()
        self._level = min(self._burst, self._level + (now - self._at).total_seconds() * self._rate)
        self._at = now

    async def acquire(self, units: float, urgency: Urgency) -> None:
        """Returns once ``units`` are there and nobody more urgent waits."""
        self._order += 1
        ticket = (int(urgency), self._order)
        self._waiting.add(ticket)
        self._lacking += units
        try:
            while True:
                self._refill()
                # The burst may have become smaller meanwhile: what it can't hold goes into debt.
                enough = min(units, self._burst)
                if urgency <= Urgency.USER:
                    enough -= self._rate * AHEAD.total_seconds()
                if self._waiting[0] == ticket and self._level >= enough and self._at >= self._closed_until:
                    self._level -= units
                    self._taken += units
                    return
                lacking = max(enough - self._level, 0.02 * self._rate)
                await asyncio.sleep(min(lacking / self._rate, 0.25))
        finally:
            self._waiting.remove(ticket)
            self._lacking -= units

    def block(self, pause: timedelta) -> None:
        """The other side says that too much came: nothing for a while."""
        self._refill()
        self._level = min(self._level, -pause.total_seconds() * self._rate)
        self._closed_until = self._at + pause  # for those as well who may use something ahead
