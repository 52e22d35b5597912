"""Which machines are returned to the cloud."""

from datetime import timedelta

from gingerspar.coordination.cluster.pool import Offer
from gingerspar.coordination.machines import fleet
from tests.tracing import Player

OFFER: Offer = ("big", "a", False)
WINDOW = timedelta(seconds=7)
MAX_IDLE = timedelta(seconds=120)


def _at(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def test_minimum_idle_count_over_the_window_is_surplus() -> None:
    idle_history = fleet.IdleHistory()
    assert idle_history.min_idle(OFFER, 2, _at(0), WINDOW) == 0  # the history is shorter than the window
    assert idle_history.min_idle(OFFER, 1, _at(4), WINDOW) == 0
    assert idle_history.min_idle(OFFER, 3, _at(8), WINDOW) == 1
    idle_history.machines_returned(OFFER, 1)
    assert idle_history.min_idle(OFFER, 2, _at(9), WINDOW) == 0


def test_idle_history_restarts_once_no_machine_is_idle() -> None:
    idle_history = fleet.IdleHistory()
    idle_history.min_idle(OFFER, 2, _at(0), WINDOW)
    idle_history.reset_others([])
    assert idle_history.min_idle(OFFER, 2, _at(8), WINDOW) == 0


def test_machines_idle_in_turn_are_returned() -> None:
    """Machines that are idle in turn are surplus although none of them is idle for long.

    vatuloa-grep-grown steady: over a hundred machines were idle, each of them used now and then.
    """
    player = Player()
    for line in (
        "machine m1",
        "machine m2",
        "at 1 report m1 seq=2",
        "at 1 report m2 seq=2",
        "job wk-1 array tasks=1 cpus=16 estimate=3",
        "at 2 report m1 seq=3",
    ):
        player.play(line)
    idle_history = fleet.IdleHistory()
    for second in range(2, 11):
        player.play(f"at {second} report m2 seq={second + 2}")
        assert fleet.plan_returns(player.dispatcher.cluster_state, idle_history, player.now, MAX_IDLE) == []
    player.play("at 13 report m1 seq=4 tasks=wk-1/0@1:ended:done")
    returns = fleet.plan_returns(player.dispatcher.cluster_state, idle_history, player.now, MAX_IDLE)
    assert [machine.name for machine in returns] == ["m2"]
    player.play("at 14 report m1 seq=5")
    assert (
        fleet.plan_returns(player.dispatcher.cluster_state, idle_history, player.now, MAX_IDLE) == []
    )  # m1's own idle time counts
