"""Whether a machine hears what it is told.

Its reports may arrive though neither answers nor commands reach it. Such a worker gives each
controller up after 4 s and goes round all of them; its lease runs out again and again, and to each
it looks alive. What is sent to it is lost, so it gets no work until it shows that it hears.
"""

import logging
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

log = logging.getLogger(__name__)

GIVEN_UP = timedelta(seconds=4.5)  # a worker waits 4 s for an answer, and 1 s more before it goes on
UNHEARD = 3  # answers in a row that it shows not to have heard: then it is given back
TOKEN_RETRY_LIMIT = timedelta(seconds=10)  # so long a worker is answered that doesn't show the token it was told of


class DeliveryState(Enum):
    CONFIRMED = "confirmed"
    SUSPECT = "suspect"  # it did not hear the last answer: no new work until it hears one
    FAILED = "failed"


@dataclass(slots=True)
class AnswerDelivery:
    """One machine's, judged at each report by what has become of the answer to the one before."""

    machine: str
    state: DeliveryState = DeliveryState.CONFIRMED
    lost_answers: int = 0  # answers in a row

    @property
    def is_confirmed(self) -> bool:
        return self.state is DeliveryState.CONFIRMED

    def answer_received(self) -> None:
        """It shows that an answer has reached it."""
        self.lost_answers = 0
        self._move(DeliveryState.CONFIRMED)

    def answer_lost(self) -> None:
        """It shows that the last answer has not."""
        self.lost_answers += 1
        self._move(DeliveryState.FAILED if self.lost_answers >= UNHEARD else DeliveryState.SUSPECT)

    def _move(self, state: DeliveryState) -> None:
        """The only place where the state changes."""
        if state is self.state:
            return
        log.info(
            "machine %s: %s -> %s, %d answers unheard", self.machine, self.state.value, state.value, self.lost_answers
        )
        self.state = state


def tried_other_controllers(span: timedelta, ticks: int, nodes: int, report: timedelta) -> bool:
    """Whether a worker that reports again after ``span`` has been to the other controllers meanwhile.

    ``ticks``: by how much its number has grown; one that goes round sends a report to each of
    ``nodes`` controllers. ``report``: the usual time between two reports. Both have to speak for it:
    a controller that stood still sees late reports, and commands sent directly use up ticks too.
    """
    return span > max(GIVEN_UP, report * 1.25 + timedelta(seconds=1)) and ticks >= nodes
