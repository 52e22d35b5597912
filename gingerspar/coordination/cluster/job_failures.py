"""Counts and logs errors that were raised while jobs were evaluated, so that one job never stops the others."""

import logging
from datetime import timedelta

from gingerspar.transport.retry_pauses import RetryPauses

log = logging.getLogger(__name__)

FIRST_PAUSE = timedelta(seconds=1)
MAX_PAUSE = timedelta(minutes=1)


class JobFailures:
    """Jobs whose evaluation raised an error; each is skipped for a while, longer with each failure."""

    def __init__(self) -> None:
        self._pauses = RetryPauses(FIRST_PAUSE, MAX_PAUSE)

    def is_paused(self, job: str, now: timedelta) -> bool:
        return self._pauses.is_paused(job, now)

    def add(self, job: str, step: str, now: timedelta) -> None:
        """Counts and logs the error that is being handled. ``step`` tells what was done for the job."""
        pause = self._pauses.add_failure(job, now)
        log.exception(
            "%s of %s failed, %d times lately, %d failures of all jobs; skipped for %d s",
            step, job, self._pauses.failures_of(job), self._pauses.failure_count, pause.total_seconds(),
        )  # fmt: skip
