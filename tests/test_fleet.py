"""Which machines are given back."""

from datetime import timedelta

from gingerspar.coordination.cluster.pool import Offer
from gingerspar.coordination.machines import fleet
from tests.tracing import Player

OFFER: Offer = ("big", "a", False)
SPAN = timedelta(seconds=7)
LONG = timedelta(seconds=120)


def _at(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def test_what_was_never_in_use_at_once_is_spare() -> None:
    idle_history = fleet.IdleHistory()
    assert idle_history.min_idle(OFFER, 2, _at(0), SPAN) == 0  # not seen for long enough
    assert idle_history.min_idle(OFFER, 1, _at(4), SPAN) == 0
    assert idle_history.min_idle(OFFER, 3, _at(8), SPAN) == 1
    idle_history.machines_returned(OFFER, 1)
    assert idle_history.min_idle(OFFER, 2, _at(9), SPAN) == 0


def test_once_all_were_in_use_counting_begins_anew() -> None:
    idle_history = fleet.IdleHistory()
    idle_history.min_idle(OFFER, 2, _at(0), SPAN)
    idle_history.reset_others([])
    assert idle_history.min_idle(OFFER, 2, _at(8), SPAN) == 0


def test_machines_that_take_turns_are_not_all_kept() -> None:
    """vatuloa-grep-grown steady: over a hundred idle machines, each of them used now and then."""
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
        assert fleet.plan_returns(player.dispatcher.cluster_state, idle_history, player.now, LONG) == []
    player.play("at 13 report m1 seq=4 tasks=wk-1/0@1:ended:done")
    back = fleet.plan_returns(player.dispatcher.cluster_state, idle_history, player.now, LONG)
    assert [machine.name for machine in back] == ["m2"]
    player.play("at 14 report m1 seq=5")
    assert (
        fleet.plan_returns(player.dispatcher.cluster_state, idle_history, player.now, LONG) == []
    )  # m1 has its own time
