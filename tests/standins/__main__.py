"""Runs the stand-ins and three controllers until interrupted: ``python -m tests.standins``."""

import asyncio
import logging

from tests.standins.cluster import Cluster


async def main() -> None:
    cluster = Cluster(run_seconds=5.0)
    cluster.start()
    print("controllers:", *cluster.http.values())
    await asyncio.Event().wait()


logging.basicConfig(level=logging.INFO, format="%(levelname)s %(name)s %(message)s")
asyncio.run(main())
