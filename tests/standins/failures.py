"""Troubles that are drawn: which, when, for how long; several of them meet."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from tests.standins.cluster import NAMES, Cluster
from tests.standins.users import Users
from tests.standins.worker import LEASE, Worker

FIRST, LAST, END = 8.0, 45.0, 50.0  # seconds: troubles begin between the first two
LONG = 20.0


class RandomFailures:
    """Carries out what was drawn from one seed and says what that was."""

    def __init__(self, cluster: Cluster, users: Users, random: Random, *, more: bool = False) -> None:
        """``more``: with those of "More meetings to hunt" as well."""
        self.cluster = cluster
        self.users = users
        self.random = random
        self.said: list[str] = []
        self.kinds: list[Callable[[float], Awaitable[None]]] = [
            self.ends, self.all_end, self.refused, self.leader_refused, self.outage, self.slow, self.late_writes,
            self.links_refused, self.alone_with_workers, self.zone_lost, self.workers_cut, self.deaf, self.unordered,
            self.machine_begins_again, self.machines_die, self.late_reports, self.late_answers,
        ]  # fmt: skip

        self.meetings: list[tuple[Callable[[float], Awaitable[None]], Callable[[float], Awaitable[None]]]] = [
            (self.leader_refused, self.outage), (self.leader_refused, self.outage), (self.leader_refused, self.slow),
            (self.zone_lost, self.late_reports), (self.zone_lost, self.late_writes), (self.zone_lost, self.ends),
            (self.alone_with_workers, self.late_reports), (self.alone_with_workers, self.outage),
            (self.workers_cut, self.ends), (self.deaf, self.ends), (self.machine_begins_again, self.ends),
            (self.all_end, self.late_writes), (self.ends, self.late_answers), (self.links_refused, self.leader_refused),
        ]  # fmt: skip

        if more:
            self.kinds += [
                self.hang, self.mute, self.lost_answers, self.kept_reports, self.cancel_now, self.cancel_at_end,
                self.close_looks, self.odd_requests,
            ]  # fmt: skip
            self.meetings = [
                (self.close_looks, self.lost_answers), (self.close_looks, self.ends), (self.close_looks, self.slow),
                (self.close_looks, self.all_end), (self.lost_answers, self.ends),
                (self.lost_answers, self.leader_refused),
                (self.cancel_now, self.ends), (self.cancel_now, self.workers_cut), (self.cancel_now, self.mute),
                (self.cancel_now, self.late_writes), (self.cancel_now, self.leader_refused), (self.hang, self.ends),
                (self.kept_reports, self.ends), (self.kept_reports, self.zone_lost), (self.kept_reports, self.all_end),
                (self.machines_die, self.late_writes), (self.cancel_at_end, self.lost_answers),
                (self.cancel_at_end, self.ends), (self.odd_requests, self.lost_answers), (self.mute, self.ends),
            ]  # fmt: skip

    async def play(self) -> None:
        """Two that meet, and up to three more."""
        random = self.random
        first = random.uniform(FIRST, FIRST + 14)
        drawn = []
        if random.random() < 0.7:
            one, other = random.choice(self.meetings)
            drawn = [(first, one, random.uniform(7, LONG)), (first + random.uniform(0.3, 3), other, LONG)]
        else:
            begins = [first, first + random.uniform(0, 4)]
            drawn = [(at, random.choice(self.kinds), self._span()) for at in begins]
        for _ in range(random.randint(0, 3)):
            drawn.append((random.uniform(FIRST, LAST), random.choice(self.kinds), self._span()))
        self.said = [f"{at:.1f} {kind.__name__} for {min(span, END - at):.1f}" for at, kind, span in drawn]
        await asyncio.gather(*(self._at(at, kind, min(span, END - at)) for at, kind, span in drawn))

    def _span(self) -> float:
        return self.random.choice([0.5, 3.0, 7.0, 12.0, LONG]) * self.random.uniform(0.7, 1.3)

    async def _at(self, at: float, kind: Callable[[float], Awaitable[None]], span: float) -> None:
        await asyncio.sleep(at)
        await kind(span)

    def leader(self) -> str:
        return self.cluster.leader() or NAMES[0]

    def some_node(self) -> str:
        return self.leader() if self.random.random() < 0.5 else self.random.choice(NAMES)

    def some_workers(self) -> list[Worker]:
        workers = [self.cluster.cloud.workers[name] for name in sorted(self.cluster.cloud.workers)]
        share = self.random.choice([0.2, 0.5, 1.0])
        return [worker for worker in workers if self.random.random() < share]

    # -- controllers and the state service ------------------------------------

    async def ends(self, span: float) -> None:
        """Once or again and again; a controller is back within a fraction of a second or after a while."""
        until = asyncio.get_running_loop().time() + span
        while True:
            await self.cluster.restart(self.some_node(), self.random.choice([self.random.uniform(0.1, 0.9), 3.0]))
            if asyncio.get_running_loop().time() > until:
                return
            await asyncio.sleep(self.random.uniform(0.2, 3))

    async def all_end(self, span: float) -> None:
        await asyncio.gather(
            *(self.cluster.restart(name, self.random.uniform(0.1, min(span, 5) + 0.2)) for name in NAMES)
        )

    async def refused(self, span: float) -> None:
        await self._refused({name for name in NAMES if self.random.random() < 0.5}, span)

    async def leader_refused(self, span: float) -> None:
        """Alone, with all links up or with none, while users cancel."""
        links = self._apart(set(NAMES), span) if self.random.random() < 0.5 else asyncio.sleep(0)
        cancelling = self.users.cancel_some(self.random.uniform(0, 1))
        await asyncio.gather(self._refused({self.leader()}, span), links, cancelling)

    async def _refused(self, names: set[str], span: float) -> None:
        self.cluster.state.refused |= names
        await asyncio.sleep(span)
        self.cluster.state.refused -= names

    async def outage(self, span: float) -> None:
        self.cluster.state.down = True
        await asyncio.sleep(span)
        self.cluster.state.down = False

    async def slow(self, span: float) -> None:
        self.cluster.state.slow = lambda: self.random.uniform(0, 0.8)
        await asyncio.sleep(span)
        self.cluster.state.slow = lambda: 0.0

    async def late_writes(self, span: float) -> None:
        self.cluster.state.late = lambda writes: self.random.uniform(2, 12) if self.random.random() < 0.3 else 0.0
        await asyncio.sleep(span)
        self.cluster.state.late = lambda writes: 0.0

    async def links_refused(self, span: float) -> None:
        await self._apart(set(NAMES), span)

    async def _apart(self, names: set[str], span: float) -> None:
        self.cluster.apart |= names
        await asyncio.sleep(span)
        self.cluster.apart -= names

    async def alone_with_workers(self, span: float) -> None:
        name = self.leader()
        await asyncio.gather(self._refused({name}, span), self._apart({name}, span))

    # -- machines -------------------------------------------------------------

    async def zone_lost(self, span: float) -> None:
        """One zone is cut off from everything with one controller in it, the leader perhaps."""
        zone, inside = (
            self.random.choice(self.cluster.zones),
            self.some_node() if self.random.random() < 0.5 else self.leader(),
        )
        for worker in self.cluster.cloud.workers.values():
            worker.reaches = {inside} if worker.zone == zone else set(NAMES) - {inside}
            worker.unordered = worker.zone == zone
        cancelling = self.users.cancel_some(self.random.uniform(0, 1))
        await asyncio.gather(self._refused({inside}, span), self._apart({inside}, span), cancelling)
        for worker in self.cluster.cloud.workers.values():
            worker.reaches, worker.unordered = set(NAMES), False

    async def workers_cut(self, span: float) -> None:
        lost, cut = {self.some_node()}, self.some_workers()
        for worker in cut:
            worker.reaches = set(NAMES) - lost
        await asyncio.sleep(span)
        for worker in cut:
            worker.reaches = set(NAMES)

    async def deaf(self, span: float) -> None:
        await self._are("deaf", span)

    async def unordered(self, span: float) -> None:
        await self._are("unordered", span)

    async def _are(self, what: str, span: float) -> None:
        workers = self.some_workers()
        for worker in workers:
            setattr(worker, what, True)
        await asyncio.sleep(span)
        for worker in workers:
            setattr(worker, what, False)

    async def machine_begins_again(self, span: float) -> None:
        for worker in self.some_workers():
            worker.begin_again(anew=self.random.random() < 0.5)
        await asyncio.sleep(0)

    async def machines_die(self, span: float) -> None:
        for worker in self.some_workers():
            if self.random.random() < 0.5:
                self.cluster.cloud.dies(worker.name)
        await asyncio.sleep(0)

    async def late_reports(self, span: float) -> None:
        self.cluster.cloud.again = lambda: self.random.uniform(2, 3 * LEASE) if self.random.random() < 0.3 else 0.0
        await asyncio.sleep(span)
        self.cluster.cloud.again = lambda: 0.0

    async def late_answers(self, span: float) -> None:
        workers = self.some_workers()
        for worker in workers:
            worker.answers_late = lambda: self.random.uniform(0, 6) if self.random.random() < 0.4 else 0.0
        await asyncio.sleep(span)
        for worker in workers:
            worker.answers_late = lambda: 0.0

    # -- of "More meetings to hunt" -------------------------------------------

    async def hang(self, span: float) -> None:
        for worker in self.some_workers():
            worker.hang(span)
        await asyncio.sleep(span)

    async def mute(self, span: float) -> None:
        """They reach no controller, while commands reach them."""
        workers = self.some_workers()
        for worker in workers:
            worker.reaches = set()
        await asyncio.sleep(span)
        for worker in workers:
            worker.reaches = set(NAMES)

    async def lost_answers(self, span: float) -> None:
        self.cluster.state.unanswered = lambda writes: self.random.random() < 0.3
        await asyncio.sleep(span)
        self.cluster.state.unanswered = lambda writes: False

    async def kept_reports(self, span: float) -> None:
        self.cluster.cloud.keeps = lambda: self.random.random() < 0.4
        await asyncio.sleep(span)
        self.cluster.cloud.keeps = lambda: False

    async def cancel_now(self, span: float) -> None:
        """Users call off jobs that run within a fifth of a second; some of their machines hang."""
        some = await self.users.cancel_some(0, most=8, within=0.2)
        await asyncio.sleep(self.random.uniform(0, 0.3))
        for worker in self.some_workers():
            if any(piece.partition("/")[0] in some for piece, _ in worker.tasks):
                worker.hang(span)
        await asyncio.sleep(span)

    async def cancel_at_end(self, span: float) -> None:
        def perhaps(name: str) -> None:
            if name in self.users.accepted and self.random.random() < 0.5:
                self.users.lives.append(asyncio.ensure_future(self.users.cancel(name, self.random.uniform(0, 0.1))))

        self.cluster.cloud.all_done = perhaps
        await asyncio.sleep(span)
        self.cluster.cloud.all_done = lambda name: None

    async def close_looks(self, span: float) -> None:
        self.users.looks = True
        await asyncio.sleep(span)
        self.users.looks = False

    async def odd_requests(self, span: float) -> None:
        until = asyncio.get_running_loop().time() + span
        while asyncio.get_running_loop().time() < until:
            await self.users.send_odd()
            await asyncio.sleep(self.random.uniform(0.2, 1))
