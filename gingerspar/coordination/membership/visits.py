"""Which workers have reported to this node lately."""

from collections import deque
from datetime import timedelta

RECENT = timedelta(seconds=3)  # a worker's report counts as recent for so long


class Visits:
    """Reports, with the token that the worker had seen."""

    def __init__(self) -> None:
        self._visits: deque[tuple[timedelta, str, int]] = deque()

    def add(self, machine: str, token: int, now: timedelta) -> None:
        self._visits.append((now, machine, token))

    def workers(self, now: timedelta) -> int:
        while self._visits and now - self._visits[0][0] > RECENT:
            self._visits.popleft()
        return len({machine for _, machine, _ in self._visits})

    def deserters(self, term: int) -> int:
        """Workers that have come here although the holder of this term had them."""
        return len({machine for _, machine, token in self._visits if token >= term})
