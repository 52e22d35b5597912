"""Random failures: their kinds, start times and durations; several of them overlap."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from tests.standins.cluster import NODE_NAMES, Cluster
from tests.standins.users import Users
from tests.standins.worker import LEASE_S, Worker

FIRST_START_S, LAST_START_S, END_S = 8.0, 45.0, 50.0  # failures start between the first two; all end at the third
LONG_DURATION_S = 20.0


class RandomFailures:
    """Draws failures from a random generator, carries them out and describes them.

    Each method of a kind of failure takes the duration in seconds. The same seed gives the same failures only while
    the order of ``kinds``, of ``combinations`` and of the random draws stays as it is.
    """

    def __init__(self, cluster: Cluster, users: Users, random: Random, *, more: bool = False) -> None:
        """``more``: adds a second set of kinds of failures, and uses the combinations of that set only."""
        self.cluster = cluster
        self.users = users
        self.random = random
        self.descriptions: list[str] = []  # of the failures, with start time and duration in seconds
        self.kinds: list[Callable[[float], Awaitable[None]]] = [
            self.controller_restarts,
            self.all_controllers_restart,
            self.state_refuses_nodes,
            self.state_refuses_leader,
            self.state_outage,
            self.state_slow,
            self.delayed_writes,
            self.controllers_isolated,
            self.leader_isolated,
            self.zone_partitioned,
            self.workers_cut_off,
            self.workers_receive_nothing,
            self.workers_receive_no_commands,
            self.workers_restart,
            self.workers_fail,
            self.duplicate_reports,
            self.delayed_answers,
        ]

        self.combinations: list[tuple[Callable[[float], Awaitable[None]], Callable[[float], Awaitable[None]]]] = [
            (self.state_refuses_leader, self.state_outage),
            (self.state_refuses_leader, self.state_outage),
            (self.state_refuses_leader, self.state_slow),
            (self.zone_partitioned, self.duplicate_reports),
            (self.zone_partitioned, self.delayed_writes),
            (self.zone_partitioned, self.controller_restarts),
            (self.leader_isolated, self.duplicate_reports),
            (self.leader_isolated, self.state_outage),
            (self.workers_cut_off, self.controller_restarts),
            (self.workers_receive_nothing, self.controller_restarts),
            (self.workers_restart, self.controller_restarts),
            (self.all_controllers_restart, self.delayed_writes),
            (self.controller_restarts, self.delayed_answers),
            (self.controllers_isolated, self.state_refuses_leader),
        ]

        if more:
            self.kinds += [
                self.workers_pause,
                self.worker_reports_lost,
                self.state_answers_lost,
                self.stored_reports,
                self.cancel_running_jobs,
                self.cancel_done_jobs,
                self.status_checks,
                self.invalid_requests,
            ]
            self.combinations = [
                (self.status_checks, self.state_answers_lost),
                (self.status_checks, self.controller_restarts),
                (self.status_checks, self.state_slow),
                (self.status_checks, self.all_controllers_restart),
                (self.state_answers_lost, self.controller_restarts),
                (self.state_answers_lost, self.state_refuses_leader),
                (self.cancel_running_jobs, self.controller_restarts),
                (self.cancel_running_jobs, self.workers_cut_off),
                (self.cancel_running_jobs, self.worker_reports_lost),
                (self.cancel_running_jobs, self.delayed_writes),
                (self.cancel_running_jobs, self.state_refuses_leader),
                (self.workers_pause, self.controller_restarts),
                (self.stored_reports, self.controller_restarts),
                (self.stored_reports, self.zone_partitioned),
                (self.stored_reports, self.all_controllers_restart),
                (self.workers_fail, self.delayed_writes),
                (self.cancel_done_jobs, self.state_answers_lost),
                (self.cancel_done_jobs, self.controller_restarts),
                (self.invalid_requests, self.state_answers_lost),
                (self.worker_reports_lost, self.controller_restarts),
            ]

    async def run(self) -> None:
        """Carries out two failures that overlap, and up to three more."""
        random = self.random
        first_start = random.uniform(FIRST_START_S, FIRST_START_S + 14)
        failures = []
        if random.random() < 0.7:
            one, other = random.choice(self.combinations)
            failures = [
                (first_start, one, random.uniform(7, LONG_DURATION_S)),
                (first_start + random.uniform(0.3, 3), other, LONG_DURATION_S),
            ]
        else:
            starts = [first_start, first_start + random.uniform(0, 4)]
            failures = [(start, random.choice(self.kinds), self._random_duration()) for start in starts]
        for _ in range(random.randint(0, 3)):
            failures.append(
                (random.uniform(FIRST_START_S, LAST_START_S), random.choice(self.kinds), self._random_duration())
            )
        self.descriptions = [
            f"{start:.1f} {kind.__name__} for {min(duration, END_S - start):.1f}" for start, kind, duration in failures
        ]
        await asyncio.gather(
            *(self._run_at(start, kind, min(duration, END_S - start)) for start, kind, duration in failures)
        )

    def _random_duration(self) -> float:
        return self.random.choice([0.5, 3.0, 7.0, 12.0, LONG_DURATION_S]) * self.random.uniform(0.7, 1.3)

    async def _run_at(self, start: float, kind: Callable[[float], Awaitable[None]], duration: float) -> None:
        await asyncio.sleep(start)
        await kind(duration)

    def leader(self) -> str:
        return self.cluster.leader() or NODE_NAMES[0]

    def some_node(self) -> str:
        return self.leader() if self.random.random() < 0.5 else self.random.choice(NODE_NAMES)

    def some_workers(self) -> list[Worker]:
        workers = [self.cluster.cloud.workers[name] for name in sorted(self.cluster.cloud.workers)]
        share = self.random.choice([0.2, 0.5, 1.0])
        return [worker for worker in workers if self.random.random() < share]

    # -- controllers and the state service ------------------------------------

    async def controller_restarts(self, duration: float) -> None:
        """Restarts controllers one after another, at least one; each is down for 0.1 to 0.9 s or for 3 s."""
        end = asyncio.get_running_loop().time() + duration
        while True:
            await self.cluster.restart(self.some_node(), self.random.choice([self.random.uniform(0.1, 0.9), 3.0]))
            if asyncio.get_running_loop().time() > end:
                return
            await asyncio.sleep(self.random.uniform(0.2, 3))

    async def all_controllers_restart(self, duration: float) -> None:
        """Kills all controllers at once; each is down for at least 0.1 s and at most 5.2 s."""
        await asyncio.gather(
            *(self.cluster.restart(name, self.random.uniform(0.1, min(duration, 5) + 0.2)) for name in NODE_NAMES)
        )

    async def state_refuses_nodes(self, duration: float) -> None:
        """The state service refuses a random set of nodes."""
        await self._refuse_nodes({name for name in NODE_NAMES if self.random.random() < 0.5}, duration)

    async def state_refuses_leader(self, duration: float) -> None:
        """The state service refuses the leader, users cancel jobs, and in half of the cases all peer links fail."""
        links = self._isolate(set(NODE_NAMES), duration) if self.random.random() < 0.5 else asyncio.sleep(0)
        cancelling = self.users.cancel_running_jobs(self.random.uniform(0, 1))
        await asyncio.gather(self._refuse_nodes({self.leader()}, duration), links, cancelling)

    async def _refuse_nodes(self, names: set[str], duration: float) -> None:
        self.cluster.state.refused_nodes |= names
        await asyncio.sleep(duration)
        self.cluster.state.refused_nodes -= names

    async def state_outage(self, duration: float) -> None:
        """The state service is down."""
        self.cluster.state.down = True
        await asyncio.sleep(duration)
        self.cluster.state.down = False

    async def state_slow(self, duration: float) -> None:
        """The state service takes up to 0.8 s longer to respond."""
        self.cluster.state.response_delay = lambda: self.random.uniform(0, 0.8)
        await asyncio.sleep(duration)
        self.cluster.state.response_delay = lambda: 0.0

    async def delayed_writes(self, duration: float) -> None:
        """The state service carries out 30 % of the transactions 2 to 12 s late."""
        self.cluster.state.commit_delay = lambda writes: (
            self.random.uniform(2, 12) if self.random.random() < 0.3 else 0.0
        )
        await asyncio.sleep(duration)
        self.cluster.state.commit_delay = lambda writes: 0.0

    async def controllers_isolated(self, duration: float) -> None:
        """No controller reaches another."""
        await self._isolate(set(NODE_NAMES), duration)

    async def _isolate(self, names: set[str], duration: float) -> None:
        self.cluster.isolated |= names
        await asyncio.sleep(duration)
        self.cluster.isolated -= names

    async def leader_isolated(self, duration: float) -> None:
        """The leader reaches its workers, but neither the state service nor the other controllers."""
        name = self.leader()
        await asyncio.gather(self._refuse_nodes({name}, duration), self._isolate({name}, duration))

    # -- machines -------------------------------------------------------------

    async def zone_partitioned(self, duration: float) -> None:
        """Partitions one zone, with its workers and one controller, from the rest and from the state service."""
        zone, inside = (
            self.random.choice(self.cluster.zones),
            self.some_node() if self.random.random() < 0.5 else self.leader(),
        )
        for worker in self.cluster.cloud.workers.values():
            worker.reachable_nodes = {inside} if worker.zone == zone else set(NODE_NAMES) - {inside}
            worker.receives_no_commands = worker.zone == zone
        cancelling = self.users.cancel_running_jobs(self.random.uniform(0, 1))
        await asyncio.gather(self._refuse_nodes({inside}, duration), self._isolate({inside}, duration), cancelling)
        for worker in self.cluster.cloud.workers.values():
            worker.reachable_nodes, worker.receives_no_commands = set(NODE_NAMES), False

    async def workers_cut_off(self, duration: float) -> None:
        """Reports of some workers do not reach one controller."""
        unreachable_nodes, workers = {self.some_node()}, self.some_workers()
        for worker in workers:
            worker.reachable_nodes = set(NODE_NAMES) - unreachable_nodes
        await asyncio.sleep(duration)
        for worker in workers:
            worker.reachable_nodes = set(NODE_NAMES)

    async def workers_receive_nothing(self, duration: float) -> None:
        """Some workers receive neither commands nor responses; their reports arrive."""
        await self._set_on_some_workers("receives_nothing", duration)

    async def workers_receive_no_commands(self, duration: float) -> None:
        """Some workers receive commands only in the responses to their reports."""
        await self._set_on_some_workers("receives_no_commands", duration)

    async def _set_on_some_workers(self, attribute: str, duration: float) -> None:
        workers = self.some_workers()
        for worker in workers:
            setattr(worker, attribute, True)
        await asyncio.sleep(duration)
        for worker in workers:
            setattr(worker, attribute, False)

    async def workers_restart(self, duration: float) -> None:
        """Some workers restart and lose their tasks; half of them count sessions and reports from 1 again."""
        for worker in self.some_workers():
            worker.restart(reset_numbers=self.random.random() < 0.5)
        await asyncio.sleep(0)

    async def workers_fail(self, duration: float) -> None:
        for worker in self.some_workers():
            if self.random.random() < 0.5:
                self.cluster.cloud.fail_worker(worker.name)
        await asyncio.sleep(0)

    async def duplicate_reports(self, duration: float) -> None:
        """30 % of the reports are delivered again, 2 s to three leases later."""
        self.cluster.cloud.duplicate_delay = lambda: (
            self.random.uniform(2, 3 * LEASE_S) if self.random.random() < 0.3 else 0.0
        )
        await asyncio.sleep(duration)
        self.cluster.cloud.duplicate_delay = lambda: 0.0

    async def delayed_answers(self, duration: float) -> None:
        """Some workers receive 40 % of the responses up to 6 s late."""
        workers = self.some_workers()
        for worker in workers:
            worker.answer_delay = lambda: self.random.uniform(0, 6) if self.random.random() < 0.4 else 0.0
        await asyncio.sleep(duration)
        for worker in workers:
            worker.answer_delay = lambda: 0.0

    # -- second set of failures (``more``) ------------------------------------

    async def workers_pause(self, duration: float) -> None:
        for worker in self.some_workers():
            worker.pause(duration)
        await asyncio.sleep(duration)

    async def worker_reports_lost(self, duration: float) -> None:
        """Reports of some workers reach no controller, while commands still reach these workers."""
        workers = self.some_workers()
        for worker in workers:
            worker.reachable_nodes = set()
        await asyncio.sleep(duration)
        for worker in workers:
            worker.reachable_nodes = set(NODE_NAMES)

    async def state_answers_lost(self, duration: float) -> None:
        """The state service carries out all transactions; 30 % of the responses are lost."""
        self.cluster.state.drops_response = lambda writes: self.random.random() < 0.3
        await asyncio.sleep(duration)
        self.cluster.state.drops_response = lambda writes: False

    async def stored_reports(self, duration: float) -> None:
        """40 % of the reports are delivered to all controllers again when the term changes."""
        self.cluster.cloud.should_store_report = lambda: self.random.random() < 0.4
        await asyncio.sleep(duration)
        self.cluster.cloud.should_store_report = lambda: False

    async def cancel_running_jobs(self, duration: float) -> None:
        """Users cancel up to 8 running jobs within 0.2 s; some of the workers that run them pause."""
        cancelled = await self.users.cancel_running_jobs(0, limit=8, within_s=0.2)
        await asyncio.sleep(self.random.uniform(0, 0.3))
        for worker in self.some_workers():
            if any(task.partition("/")[0] in cancelled for task, _ in worker.tasks):
                worker.pause(duration)
        await asyncio.sleep(duration)

    async def cancel_done_jobs(self, duration: float) -> None:
        """Users cancel half of the jobs at the moment when they are done."""

        def maybe_cancel(name: str) -> None:
            if name in self.users.accepted and self.random.random() < 0.5:
                self.users.lifecycles.append(
                    asyncio.ensure_future(self.users.cancel(name, self.random.uniform(0, 0.1)))
                )

        self.cluster.cloud.on_job_done = maybe_cancel
        await asyncio.sleep(duration)
        self.cluster.cloud.on_job_done = lambda name: None

    async def status_checks(self, duration: float) -> None:
        """Users query all controllers at once after each change of a job."""
        self.users.status_checks = True
        await asyncio.sleep(duration)
        self.users.status_checks = False

    async def invalid_requests(self, duration: float) -> None:
        end = asyncio.get_running_loop().time() + duration
        while asyncio.get_running_loop().time() < end:
            await self.users.send_invalid_requests()
            await asyncio.sleep(self.random.uniform(0.2, 1))
