"""Troubles that were drawn meet, by simulated time; whatever they are, no rule is broken and all jobs end.

Each seed is one day of two minutes. `python -m tests.test_random_failures 100 200` plays more of them, with
`more` behind it those with the troubles of "More meetings to hunt", with `log` what the controllers log.
"""

import asyncio
import logging
import sys
from random import Random

import pytest

from tests.standins.cluster import Cluster
from tests.standins.failures import RandomFailures
from tests.standins.simulated_time import SimulatedClock, run_simulated
from tests.standins.users import Users

JOBS = 20
MORE_JOBS = 32  # teams are at their limits
SUBMITTED_WITHIN = 40.0  # seconds
ALL_OVER = 240.0  # after the end of all troubles every job is


async def day(seed: int, *, more: bool = False) -> tuple[list[str], list[str]]:
    """What was drawn, and what was broken.

    ``more``: with the troubles of "More meetings to hunt", and with teams at their limit.
    """
    random = Random(seed)
    zones = random.choice([("a",), ("a", "b"), ("a", "b", "c")])
    cancel_s = random.choice([5.5, 8.0, 12.0, 30.0])
    limits = {"red": 36.0, "blue": 36.0} if more else {"red": 40.0, "blue": 24.0}
    cluster = Cluster(cancel_s=cancel_s, clock=SimulatedClock(), zones=zones, limits=limits)
    if random.random() < 0.6:  # machines are kept when nothing runs on them: there is room elsewhere at once
        cluster.cloud.startup_s, cluster.idle_return_s = 15.0, 60.0
    cluster.start()
    users = Users(cluster, random)
    troubles = RandomFailures(cluster, users, random, more=more)
    watches = [asyncio.ensure_future(users.query_unknown_jobs()), asyncio.ensure_future(users.watch_waiting())]
    try:
        users.start(MORE_JOBS if more else JOBS, SUBMITTED_WITHIN, cancel_share=0.3)
        await troubles.run()
        users.failures_ended_at = users.now()
        end = users.failures_ended_at + ALL_OVER
        while users.now() < end and not all(life.done() for life in users.lifecycles):  # more may begin as others end
            await asyncio.wait(list(users.lifecycles), timeout=end - users.now())
        for life in users.lifecycles:
            if life.done() and not life.cancelled():
                life.result()
            life.cancel()
        missing = sorted(users.accepted - users.final_status.keys())
        broken = cluster.violations + [f"not over: {name}" for name in missing]
        drawn = [
            f"zones {len(zones)}, cancel_s {cancel_s:g}",
            *troubles.descriptions,
            f"no answer for {users.longest_silence_s:.1f} s",
        ]
        drawn.append(f"starts after a confirmed cancellation: {len(cluster.cloud.starts_after_cancel)}")
        return drawn, broken
    finally:
        for watch in watches:
            watch.cancel()
        await cluster.stop()


@pytest.mark.parametrize("seed", range(1, 9))
def test_drawn_meetings(seed: int) -> None:
    async def scene() -> None:
        drawn, broken = await day(seed)
        assert not broken, drawn

    run_simulated(scene())


@pytest.mark.parametrize("seed", range(1, 7))
def test_more_drawn_meetings(seed: int) -> None:
    async def scene() -> None:
        drawn, broken = await day(seed, more=True)
        assert not broken, drawn

    run_simulated(scene())


def main(first: int, last: int, *, more: bool) -> None:
    for seed in range(first, last):

        async def scene(seed: int = seed) -> None:
            drawn, broken = await day(seed, more=more)
            print(seed, "; ".join(drawn), "BROKEN " + "; ".join(broken[:6]) if broken else "", flush=True)

        run_simulated(scene())


if __name__ == "__main__":
    if "log" in sys.argv[3:]:
        logging.basicConfig(level=logging.DEBUG, format="%(name)s %(message)s")
    main(int(sys.argv[1]), int(sys.argv[2]), more="more" in sys.argv[3:])
