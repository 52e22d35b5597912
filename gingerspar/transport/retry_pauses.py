"""Pauses of items that failed: each is skipped for a while, so that it does not hold up the others."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(slots=True)
class _Pause:
    """An item's latest pause."""

    until: timedelta
    duration: timedelta
    failures: int = 1


class RetryPauses:
    """Pauses by item; an item's pause doubles with each failure, from ``first`` up to ``longest``.

    The failures of an item are forgotten when it succeeds (``clear``), or has not failed for ``longest`` after the end
    of its pause.
    """

    def __init__(self, first: timedelta, longest: timedelta) -> None:
        self._first = first
        self._longest = longest
        self._pauses: dict[str, _Pause] = {}
        self.failure_count = 0  # of all items, since the start

    def add_failure(self, item: str, now: timedelta) -> timedelta:
        """Starts the item's next pause and returns its duration."""
        self.failure_count += 1
        self._pauses = {name: pause for name, pause in self._pauses.items() if now - pause.until < self._longest}
        pause = self._pauses.get(item)
        if pause is None:
            self._pauses[item] = _Pause(now + self._first, self._first)
            return self._first
        pause.duration = min(pause.duration * 2, self._longest)
        pause.until = now + pause.duration
        pause.failures += 1
        return pause.duration

    def failures_of(self, item: str) -> int:
        """The number of the item's failures that are not forgotten."""
        pause = self._pauses.get(item)
        return pause.failures if pause is not None else 0

    def is_paused(self, item: str, now: timedelta) -> bool:
        if not self._pauses:
            return False
        pause = self._pauses.get(item)
        return pause is not None and now < pause.until

    def clear(self, item: str) -> None:
        """Forgets the item's failures, because it has succeeded."""
        self._pauses.pop(item, None)
