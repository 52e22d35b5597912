"""Many accepted jobs with as many tasks as the protocol allows: the controllers' memory."""

import asyncio
from pathlib import Path

from review.common2.deployment import DOLMEN, MENHIR, Deployment, Node, job, run

LARGE_JOBS = 24
LARGE_PIECES = 100_000  # PROTOCOL: "number of tasks, at most 100,000"
SMALL_PIECES = 100  # without the disruption
RESTART_S = 6.0  # BRIEF: "back about 6 s after an end"
WATCH_S = 60.0


async def case() -> int:
    # As in BRIEF, Annex B: 186 MB for each controller, and the limits of the team.
    deployment = Deployment(Path(__file__).parent, teams={"red": (520.0, 1744.0, 40.0, 88.0)}, types=[MENHIR, DOLMEN])
    deployment.cloud.default_capacity = 4
    deployment.cloud.run_s = lambda piece: 20.0
    over: list[str] = []

    async def restart(node: Node) -> None:
        await asyncio.sleep(RESTART_S)
        node.start()

    async def watch_memory(node: Node) -> None:
        """As the platform does (DEPLOY): a process over its limit is killed and started again."""
        while True:
            await asyncio.sleep(0.05)
            memory_mb = node.resident_mb()
            node.peak_mb = max(node.peak_mb, memory_mb)
            if node.running and memory_mb > deployment.memory_mb:
                over.append(node.name)
                deployment.log("MEMORY", node.name, f"{memory_mb:.0f} MB, limit {deployment.memory_mb:.0f}: ends")
                node.kill()
                await restart(node)
            elif not node.running:
                over.append(node.name)
                deployment.log("ENDED", node.name, "by itself")
                await restart(node)

    watchers: list[asyncio.Task[None]] = []
    try:
        await deployment.start()
        watchers = [asyncio.ensure_future(watch_memory(node)) for node in deployment.nodes.values()]
        pieces = LARGE_PIECES if deployment.trouble else SMALL_PIECES
        accepted = 0
        for number in range(1, LARGE_JOBS + 1):
            spec = job(number, Jobclass="specimen-flood", Pieces=pieces, GuessS=20.0)
            accepted += await deployment.submit(spec)
        small = job(900, Jobclass="single", Urgency="urgent")
        await deployment.submit(small)
        watched_from = deployment.now()
        while deployment.now() - watched_from < WATCH_S:
            await asyncio.sleep(5.0)
            await deployment.status(small["Ref"])
            deployment.log("state", "-", f"leader {deployment.leader()} term {deployment.state.value('gs/term')}")
        for node in deployment.nodes.values():
            deployment.log("memory", node.name, f"peak {node.peak_mb:.0f} MB")
        started = sum(deployment.cloud.starts.values())
        text = f"accepted {accepted}, ends for memory {len(over)}, starts of tasks {started}"
        deployment.log("RESULT", "BROKEN" if over else "held", text)
        print(text)
        return 1 if over else 0
    finally:
        for watcher in watchers:
            watcher.cancel()
        deployment.close()


run(case)
