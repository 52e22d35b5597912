"""Delivery of answers to a machine: whether what the leader sends reaches it.

In a one-way network failure a machine's reports arrive, but neither answers nor commands reach it.
Its worker waits 4 s for each controller, then tries the next one, and so on through all of them. Its lease
runs out again and again, while each controller sees a live machine. What is sent to it is lost, so it gets
no work until its reports show that it receives answers.
"""

import logging
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

log = logging.getLogger(__name__)

# Shortest time in which a worker switches controllers: it waits 4 s for an answer, and 1 s more before it goes on.
MIN_CONTROLLER_SWITCH_TIME = timedelta(seconds=4.5)
MAX_LOST_ANSWERS = 3  # consecutive; the machine is then returned to the cloud
# How long a worker is answered that does not return the token sent to it.
TOKEN_RETRY_LIMIT = timedelta(seconds=10)


class DeliveryState(Enum):
    CONFIRMED = "confirmed"
    SUSPECT = "suspect"  # the last answer was lost: no new work until an answer is received
    FAILED = "failed"


@dataclass(slots=True)
class AnswerDelivery:
    """Delivery state of one machine; each of its reports shows what became of the answer to the previous report."""

    machine: str
    state: DeliveryState = DeliveryState.CONFIRMED
    lost_answers: int = 0  # consecutive

    @property
    def is_confirmed(self) -> bool:
        return self.state is DeliveryState.CONFIRMED

    def answer_received(self) -> None:
        """Records that a report shows that an answer has reached the machine."""
        self.lost_answers = 0
        self._move(DeliveryState.CONFIRMED)

    def answer_lost(self) -> None:
        """Records that a report shows that the last answer has not reached the machine."""
        self.lost_answers += 1
        self._move(DeliveryState.FAILED if self.lost_answers >= MAX_LOST_ANSWERS else DeliveryState.SUSPECT)

    def _move(self, state: DeliveryState) -> None:
        """Sets and logs the delivery state; no other code changes it."""
        if state is self.state:
            return
        log.info(
            "machine %s: answer delivery %s -> %s, %d consecutive answers lost",
            self.machine, self.state.value, state.value, self.lost_answers,
        )  # fmt: skip
        self.state = state


def tried_other_controllers(
    since_report: timedelta,
    since_answer: timedelta,
    seq_increase: int,
    node_count: int,
    report_interval: timedelta,
) -> bool:
    """Returns whether a worker has tried the other controllers between two reports received here.

    ``since_report`` is the time since the earlier of the two reports, ``since_answer`` that since the answer to it was
    sent, ``report_interval`` the usual interval, and ``seq_increase`` the growth of the report's sequence number: a
    worker that cycles through them sends a report to each of ``node_count`` controllers. All signs are required: after
    a pause of its process a controller receives reports late, commands sent directly and probes use up sequence
    numbers too, and a worker whose answer was held sends its next report that much later.
    """
    return (
        since_report > MIN_CONTROLLER_SWITCH_TIME
        and since_answer > report_interval * 1.25 + timedelta(seconds=1)
        and seq_increase >= node_count
    )
