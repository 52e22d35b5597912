"""Rents and returns machines for the leader, and follows the cloud's list of machines."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from gingerspar.coordination.cluster.machine import Machine, MachineState
from gingerspar.coordination.cluster.pool import Offer
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.leader.load_monitor import PLANNING_SHARE, LoadMonitor
from gingerspar.coordination.machines import fleet
from gingerspar.coordination.machines.cloud import CloudClient, CloudError, NoCapacity, NotPermitted
from gingerspar.protocol.messages import ListedMachine, MachineStatus, RentRequest
from gingerspar.storage.view import WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.error_counts import ErrorCounts

log = logging.getLogger(__name__)

MIN_FLEET_INTERVAL = timedelta(seconds=1)
# With a large fleet the interval is this for each ready machine, if that is longer: a plan scans all waiting work.
FLEET_INTERVAL_PER_MACHINE = timedelta(milliseconds=1.5)
MAX_RETURNED_PER_ROUND = 100  # the cloud takes no more names in one request
FLEET_STATE_FRESH_FOR = timedelta(seconds=1)
RETURNED_IGNORED_FOR = timedelta(minutes=2)  # far longer than the cloud's machine list lags


class FleetRuntime:
    """Sends the requests to the cloud for one term.

    ``authority`` tells whether this node may act as the leader. ``on_returned`` is called with the names of machines
    whose return the cloud has confirmed, ``on_listed`` after each list of machines that has been applied. ``max_idle``
    bounds the time that a machine stays idle, ``list_lag`` how far the cloud's list may be out of date.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        cloud: CloudClient,
        view: WatchedView,
        clock: Clock,
        load_monitor: LoadMonitor,
        failures: ErrorCounts,
        *,
        authority: Callable[[], bool],
        on_returned: Callable[[list[str]], None],
        on_listed: Callable[[], None],
        max_idle: timedelta,
        list_lag: timedelta,
    ) -> None:
        self._dispatcher = dispatcher
        self._cloud = cloud
        self._view = view
        self._clock = clock
        self._load_monitor = load_monitor
        self._failures = failures
        self._authority = authority
        self._on_returned = on_returned
        self._on_listed = on_listed
        self._max_idle = max_idle
        self._list_lag = list_lag
        self._refusals = fleet.Refusals()
        self._idle_history = fleet.IdleHistory()
        self._rental_count = 0
        self._renting: set[Offer] = set()
        self._returned: dict[str, timedelta] = {}  # by machine: time of its return; machine lists may still show it
        self._calls: set[asyncio.Task[None]] = set()

    def stop(self) -> None:
        """Cancels the requests that are under way."""
        for call in self._calls:
            call.cancel()

    def _spawn(self, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(call)
        self._calls.add(task)
        task.add_done_callback(self._calls.discard)

    def _may_change(self) -> bool:
        """Whether machines may be rented or returned now.

        A request can be delayed by a network partition and carried out minutes later, when
        another node leads. A leader partitioned from everything saw all machines fall silent
        and asked the cloud again and again to take them back. When the partition ended, all of
        them were returned, with the work that its successor had kept running. So no request is
        sent unless the last read of the state service is recent (FLEET_STATE_FRESH_FOR). That
        limit expires long before a machine has been silent for its lease.
        """
        return self._authority() and self._view.age() <= FLEET_STATE_FRESH_FOR

    async def run(self) -> None:
        """Plans rentals and returns again and again, and starts the requests to the cloud."""
        pause = MIN_FLEET_INTERVAL
        while True:
            await asyncio.sleep(pause.total_seconds())
            now = self._clock.now()
            if not self._may_change() or not self._dispatcher.cluster_state.types:
                continue
            self._failures.run("renting", self._rent_planned, now)
            self._failures.run("returning", self._return_planned, now)
            min_pause = max(MIN_FLEET_INTERVAL, self._dispatcher.ready_count * FLEET_INTERVAL_PER_MACHINE)
            pause = self._load_monitor.pause_for_share(self._clock.now() - now, PLANNING_SHARE, min_pause)

    def _rent_planned(self, now: timedelta) -> None:
        plan = fleet.plan_rentals(self._dispatcher.cluster_state, self._refusals, now)
        for offer, machine_count in plan.items():
            if offer not in self._renting:
                self._renting.add(offer)
                self._spawn(self._rent(offer, min(machine_count, fleet.MAX_RENTED_PER_ROUND)))

    def _return_planned(self, now: timedelta) -> None:
        returning = fleet.plan_returns(self._dispatcher.cluster_state, self._idle_history, now, self._max_idle)[
            :MAX_RETURNED_PER_ROUND
        ]
        if returning:
            for machine in returning:
                machine.move(MachineState.RETURNING)
            self._spawn(self._return_machines(returning))

    async def _rent(self, offer: Offer, count: int) -> None:
        self._rental_count += 1
        type_name, zone, spot = offer
        # Term and counter make the request name unique across all nodes and terms.
        request = RentRequest(f"t{self._dispatcher.term}-{self._rental_count}", type_name, zone, spot, count)
        try:
            for _ in range(3):
                if not self._may_change():
                    return
                try:
                    hosts = await self._cloud.rent(request, self._may_change)
                    break
                except CloudError as error:
                    log.info("rental %s failed: %s", request.request, error)
                    await asyncio.sleep(1)
            else:
                return  # machines rented despite the errors will show in the machine list
            now = self._clock.now()
            log.info("rented %d of %d %s in %s, spot=%s: %s", len(hosts), count, type_name, zone, spot, " ".join(hosts))
            for name in hosts:
                if name not in self._dispatcher.machines:
                    self._dispatcher.cluster_state.add_machine(name, type_name, zone, spot, now, MachineState.BOOTING)
            if len(hosts) < count:
                self._refusals.refused(offer, now)
            else:
                self._refusals.granted(offer)
        except NotPermitted:
            log.info("rental %s not sent: no authority or no recent read of the state service", request.request)
        except NoCapacity:
            log.info("no capacity: %s in %s, spot=%s", type_name, zone, spot)
            self._refusals.refused(offer, self._clock.now())
        finally:
            self._renting.discard(offer)

    async def _return_machines(self, machines: list[Machine]) -> None:
        hosts = [machine.name for machine in machines]
        log.info("returning to the cloud: %s", " ".join(hosts))
        while True:
            if not self._may_change():
                await asyncio.sleep(0.5)
                continue
            try:
                await self._cloud.return_machines(hosts, self._may_change)
                break
            except NotPermitted:
                continue
            except (CloudError, NoCapacity) as error:
                log.info("returning machines failed: %s", error)
                await asyncio.sleep(1)
        now = self._clock.now()
        for machine in machines:
            self._returned[machine.name] = now
            self._dispatcher.machine_returned(machine, now)
        self._on_returned(hosts)

    async def poll_machine_list(self) -> None:
        """Polls the cloud's machine list for unknown machines and for failed ones."""
        pause = max(self._list_lag.total_seconds(), 2.0)
        while True:
            try:
                listed = await self._cloud.machines()
            except (CloudError, NoCapacity) as error:
                log.debug("reading the cloud's machine list failed: %s", error)
                self._failures.add("reading the cloud's machine list", traceback=False)
                await asyncio.sleep(1)
                continue
            now = self._clock.now()
            self._returned = {
                name: since for name, since in self._returned.items() if now - since < RETURNED_IGNORED_FOR
            }
            for entry in listed:
                self._failures.run("applying the machine list", self._apply_listed_machine, entry, now)
            self._on_listed()
            await asyncio.sleep(pause)

    def _apply_listed_machine(self, entry: ListedMachine, now: timedelta) -> None:
        machine = self._dispatcher.machines.get(entry.machine)
        if machine is None:
            if entry.machine not in self._returned:
                machine = self._dispatcher.cluster_state.add_machine(
                    entry.machine, entry.type, entry.zone, entry.spot, now, MachineState.BOOTING
                )
            elif entry.status is not MachineStatus.FAILED:
                return
        if machine is not None and not machine.address:
            machine.address = entry.address
        # Machine lists lag and can be older than an earlier one. A machine that has reported in this term is
        # judged by its lease, which expires long before the cloud lists the machine as failed (30 s).
        not_reported = (MachineState.BOOTING, MachineState.UNSETTLED)
        failed = entry.status is MachineStatus.FAILED
        if machine is not None and failed and machine.state in not_reported and machine.last_answered_at is None:
            self._dispatcher.machine_lost(machine, "the cloud lists it as failed", now)
