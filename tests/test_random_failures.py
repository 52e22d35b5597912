"""Random combinations of failures in simulated time: no scheduling rule is violated and all jobs end.

Each seed gives one scenario of two minutes. `python -m tests.test_random_failures FIRST LAST` runs the scenarios of the
seeds from FIRST up to, but not including, LAST. `more` after them adds the second set of failures, `odd` jobs with
odd amounts, `log` prints what the controllers log.
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

JOB_COUNT = 20
MORE_JOB_COUNT = 32  # with `more`: enough for the teams to reach their limits
SUBMITTED_WITHIN_S = 40.0  # all jobs are submitted in this time
ODD_SHARE = 0.5  # of the jobs, in scenarios with odd jobs
JOBS_END_WITHIN_S = 240.0  # after the last failure has ended, all jobs have to end in this time


async def run_scenario(seed: int, *, more: bool = False, odd_share: float = 0.0) -> tuple[list[str], list[str]]:
    """Runs the scenario of a seed; returns its descriptions and the violations.

    ``more``: with the second set of failures, and with teams at their limits. ``odd_share``: share of the jobs with
    amounts from the whole range of the protocol. The same seed gives the same scenario only while the order of the
    random draws stays as it is.
    """
    random = Random(seed)
    zones = random.choice([("a",), ("a", "b"), ("a", "b", "c")])
    cancel_s = random.choice([5.5, 8.0, 12.0, 30.0])
    limits = {"red": 36.0, "blue": 36.0} if more else {"red": 40.0, "blue": 24.0}
    cluster = Cluster(cancel_s=cancel_s, clock=SimulatedClock(), zones=zones, limits=limits)
    if random.random() < 0.6:  # controllers keep idle machines, so other machines have free capacity at once
        cluster.cloud.startup_s, cluster.idle_return_s = 15.0, 60.0
    cluster.start()
    users = Users(cluster, random, odd_share)
    failures = RandomFailures(cluster, users, random, more=more)
    watches = [asyncio.ensure_future(users.query_unknown_jobs()), asyncio.ensure_future(users.watch_waiting())]
    try:
        users.start(MORE_JOB_COUNT if more else JOB_COUNT, SUBMITTED_WITHIN_S, cancel_share=0.3)
        await failures.run()
        users.failures_ended_at = users.now()
        end = users.failures_ended_at + JOBS_END_WITHIN_S
        # A lifecycle may add others to the list, so the list is read again after each wait.
        while users.now() < end and not all(lifecycle.done() for lifecycle in users.lifecycles):
            await asyncio.wait(list(users.lifecycles), timeout=end - users.now())
        for lifecycle in users.lifecycles:
            if lifecycle.done() and not lifecycle.cancelled():
                lifecycle.result()
            lifecycle.cancel()
        not_ended = sorted(users.accepted - users.final_status.keys())
        violations = cluster.violations + [f"not ended: {name}" for name in not_ended]
        descriptions = [
            f"zones {len(zones)}, cancel_s {cancel_s:g}",
            *failures.descriptions,
            f"no answer for {users.longest_silence_s:.1f} s",
        ]
        descriptions.append(f"starts after a confirmed cancellation: {len(cluster.cloud.starts_after_cancel)}")
        return descriptions, violations
    finally:
        for watch in watches:
            watch.cancel()
        await cluster.stop()


@pytest.mark.parametrize("seed", range(1, 9))
def test_random_failures(seed: int) -> None:
    async def scenario() -> None:
        descriptions, violations = await run_scenario(seed)
        assert not violations, descriptions

    run_simulated(scenario())


@pytest.mark.parametrize("seed", range(1, 7))
def test_more_random_failures(seed: int) -> None:
    async def scenario() -> None:
        descriptions, violations = await run_scenario(seed, more=True)
        assert not violations, descriptions

    run_simulated(scenario())


@pytest.mark.parametrize("seed", range(1, 5))
def test_random_failures_with_odd_jobs(seed: int) -> None:
    """The jobs of the other scenarios are like those that users send, so that none found the fault of review/3."""

    async def scenario() -> None:
        descriptions, violations = await run_scenario(seed, odd_share=ODD_SHARE)
        assert not violations, descriptions

    run_simulated(scenario())


def main(first: int, last: int, *, more: bool, odd_share: float) -> None:
    """Runs the scenarios of the seeds from ``first`` to ``last - 1`` and prints one line for each."""
    for seed in range(first, last):

        async def scenario(seed: int = seed) -> None:
            descriptions, violations = await run_scenario(seed, more=more, odd_share=odd_share)
            print(
                seed, "; ".join(descriptions), "BROKEN " + "; ".join(violations[:6]) if violations else "", flush=True
            )

        run_simulated(scenario())


if __name__ == "__main__":
    if "log" in sys.argv[3:]:
        logging.basicConfig(level=logging.DEBUG, format="%(name)s %(message)s")
    main(
        int(sys.argv[1]),
        int(sys.argv[2]),
        more="more" in sys.argv[3:],
        odd_share=ODD_SHARE if "odd" in sys.argv[3:] else 0.0,
    )
