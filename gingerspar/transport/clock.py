"""Monotonic and wall-clock time, as the standard library's time types."""

import time
from datetime import UTC, datetime, timedelta


class Clock:
    """The clock of this process. Simulated clocks override its methods."""

    def now(self) -> timedelta:
        """Monotonic time; only differences are meaningful."""
        return timedelta(seconds=time.monotonic())

    def utc_now(self) -> datetime:
        """Wall-clock date and time in UTC; the nodes' clocks differ by at most the bound in the settings."""
        return datetime.now(UTC)
