"""Counts errors that may occur again and again, and logs them without flooding the log."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, ParamSpec

P = ParamSpec("P")

LOOP_RESTART_DELAY = timedelta(seconds=1)  # after an error that a background loop did not handle


class ErrorCounts:
    """Counts errors by what failed; logs the first of each, and then each time that its number has doubled."""

    def __init__(self, log: logging.Logger) -> None:
        self._log = log
        self._counts: Counter[str] = Counter()

    def add(self, what: str, *, traceback: bool = True) -> None:
        """Counts the error that is being handled; it is logged with its traceback, or with its text alone."""
        self._counts[what] += 1
        count = self._counts[what]
        if count & (count - 1) == 0:  # a power of two
            self._log.error("%s failed, %d times so far", what, count, exc_info=traceback)

    def run(self, what: str, step: Callable[P, None], *args: P.args, **kwargs: P.kwargs) -> None:
        """Runs a step; an error in it is counted, so that it does not keep other steps from being run."""
        try:
            step(*args, **kwargs)
        except Exception:
            self.add(what)

    async def supervise(self, what: str, loop: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Runs a background loop, and starts it again after an error, which is counted; returns when the loop does."""
        while True:
            try:
                await loop()
                return
            except Exception:
                self.add(what)
                await asyncio.sleep(LOOP_RESTART_DELAY.total_seconds())
