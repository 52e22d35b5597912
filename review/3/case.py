"""One job whose estimate is far too low stops the placement of all work, and the completion of what runs."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from common.platform_standins import NODES, make_job, run_case

ESTIMATE_S = 2e-7  # of a task that takes 2 s; without the disruption it is 2 s
MAX_WAIT_S = 91.0  # "no job is left waiting for 90 s while a machine that fits has room"


async def case(platform, trouble):
    platform.run_s = lambda job: max(job["GuessS"], 2.0)  # what tasks take does not depend on the estimate here
    await platform.start()
    if not await platform.wait_until_healthy():
        return None
    before = make_job(1, Pieces=8, GuessS=15.0)  # runs while the disruption comes
    if not await platform.submit_until_accepted(before):
        return None
    end = time.monotonic() + 12
    while time.monotonic() < end and len(platform.started_pieces.get(before["Ref"], ())) < 8:
        await asyncio.sleep(0.1)
    guessed = make_job(2, Pieces=1, Shape="gang", SamePlace=True, Urgency="urgent", Jobclass="hotfix-rebuild",
                       GuessS=ESTIMATE_S if trouble else 2.0)  # fmt: skip
    answer = await platform.submit("hearth-1", guessed)  # 201, or 400 if its estimate counts as invalid
    if answer not in (200, 201, 400, 422):
        return None
    later = make_job(3, Pieces=4, GuessS=2.0)
    if not await platform.submit_until_accepted(later):
        return None
    # Only the jobs of the other users are judged.
    end = time.monotonic() + MAX_WAIT_S
    waiting = {job["Ref"] for job in (before, later)}
    while waiting and time.monotonic() < end:
        await asyncio.sleep(3)
        for job in sorted(waiting):
            status, answer = await platform.status(NODES[int(time.monotonic()) % 3], job)
            if status == 200 and answer["Status"] == "done":
                waiting.discard(job)
    empty = [
        worker.name
        for worker in platform.workers.values()
        if worker.up and all(task["Status"] == "ended" for task in worker.tasks.values())
    ]
    platform.record(f"machines that are up and have no task: {len(empty)}; the team's limit is 1744 processors")
    if waiting and not empty:
        return None
    for job in sorted(waiting):
        started, done = len(platform.started_pieces.get(job, ())), len(platform.done_pieces.get(job, ()))
        platform.record(f"{job}: not done; {started} of its tasks have started and {done} have ended as done")
    return not waiting


if __name__ == "__main__":
    run_case(case)
