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
TOLD_FOR = timedelta(seconds=10)  # so long a worker is answered that doesn't show the token it was told of


class HearingState(Enum):
    HEARING = "hearing"
    DOUBTED = "doubted"  # it did not hear the last answer: no new work until it hears one
    DEAF = "deaf"


@dataclass(slots=True)
class Hearing:
    """One machine's, judged at each report by what has become of the answer to the one before."""

    machine: str
    state: HearingState = HearingState.HEARING
    unheard: int = 0  # answers in a row

    @property
    def hears(self) -> bool:
        return self.state is HearingState.HEARING

    def heard(self) -> None:
        """It shows that an answer has reached it."""
        self.unheard = 0
        self._move(HearingState.HEARING)

    def missed(self) -> None:
        """It shows that the last answer has not."""
        self.unheard += 1
        self._move(HearingState.DEAF if self.unheard >= UNHEARD else HearingState.DOUBTED)

    def _move(self, state: HearingState) -> None:
        """The only place where the state changes."""
        if state is self.state:
            return
        log.info("machine %s: %s -> %s, %d answers unheard", self.machine, self.state.value, state.value, self.unheard)
        self.state = state


def gave_up(span: timedelta, ticks: int, nodes: int, report: timedelta) -> bool:
    """Whether a worker that reports again after ``span`` has been to the other controllers meanwhile.

    ``ticks``: by how much its number has grown; one that goes round sends a report to each of
    ``nodes`` controllers. ``report``: the usual time between two reports. Both have to speak for it:
    a controller that stood still sees late reports, and commands sent directly use up ticks too.
    """
    return span > max(GIVEN_UP, report * 1.25 + timedelta(seconds=1)) and ticks >= nodes
