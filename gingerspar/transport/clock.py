"""The steady clock, as the standard library's time types."""

import time
from datetime import UTC, datetime, timedelta


class Clock:
    """Durations from the steady clock, dates from the wall clock."""

    def now(self) -> timedelta:
        """Steady time; only differences have a meaning."""
        return timedelta(seconds=time.monotonic())

    def today(self) -> datetime:
        """Time of day; nodes differ by the bound that the settings give."""
        return datetime.now(UTC)
