"""Puts one controller together and runs it."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Coroutine
from datetime import timedelta
from typing import Any

import msgspec

from gingerspar.coordination.cluster.job_order import JobOrder
from gingerspar.coordination.jobs.claims import ClaimManager
from gingerspar.coordination.jobs.job_api import JobApi, error_answer
from gingerspar.coordination.jobs.reconciler import Reconciler
from gingerspar.coordination.jobs.relay import RequestRelay
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.leader.leader_runtime import LeaderRuntime, longest_hold
from gingerspar.coordination.leader.load_monitor import LoadMonitor
from gingerspar.coordination.leader.term_manager import TermManager
from gingerspar.coordination.machines.cloud import CloudClient, CloudError, NoCapacity
from gingerspar.coordination.membership.reachability import Prober, WorkerReachability
from gingerspar.coordination.membership.session import Session
from gingerspar.coordination.membership.term import PeerStatus, is_liveness_fresh
from gingerspar.coordination.membership.worker_contacts import WorkerContacts
from gingerspar.protocol import messages, names, peers
from gingerspar.protocol.messages import MachineType, Malformed, Redirect, Report
from gingerspar.protocol.settings import OperatorSettings, Settings
from gingerspar.storage import records
from gingerspar.storage.client import StateClient
from gingerspar.storage.records import JobRecord
from gingerspar.storage.view import WatchedView
from gingerspar.transport.clock import Clock
from gingerspar.transport.peerlink import PeerLink
from gingerspar.transport.server import Answer, Request, Server, resolve_answer
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

HEARTBEAT = timedelta(milliseconds=400)
COUNTS = timedelta(seconds=1)
CATALOG_INTERVAL = timedelta(seconds=20)
NO_STATE = timedelta(seconds=2)  # a node without a read for so long can't write either
RELAY_AFTER = timedelta(seconds=0.8)  # without a read for so long, a peer may serve users better
HOLD_UNLED = timedelta(seconds=2)  # workers give an answer up after 4 s
LINK_SILENT = timedelta(seconds=1.5)
REDIAL_AFTER = timedelta(seconds=2)


class Controller:
    """One node."""

    def __init__(
        self,
        settings: Settings,
        operator: OperatorSettings,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        facts = settings.facts
        self._settings = settings
        self._facts = facts
        self._operator = operator
        self._clock = clock or Clock()
        self._random = rng or random.Random()
        self._node = settings.node
        teams = {team.name: team for team in facts.teams}
        self._client = StateClient(
            settings.services.state,
            self._clock,
            rps=facts.state.rps,
            write_rps=facts.state.write_rps,
            txn_ops=facts.state.txn_ops,
            value_bytes=int(facts.state.value_kb * 1024),
            nodes=facts.size,
        )
        self._view = WatchedView(self._client, self._clock, rps=facts.state.rps, nodes=facts.size)
        self._session = Session(self._node, self._client, self._view, self._clock, operator.session_ttl)
        job_order = JobOrder(facts.objectives)
        self._claims = ClaimManager(
            self._node, self._client, self._view, self._session, self._clock, teams, operator, job_order
        )
        self._job_api = JobApi(self._client, self._view, self._claims, self._clock, teams)
        self._cloud = CloudClient(settings.services.cloud, self._clock, facts.cloud.rps)
        self._link = PeerLink({peer.node: peer.address for peer in settings.peers}, self._hear, self._clock)
        self._request_relay = RequestRelay(self._node, self._link, self._serve_user)
        self._began = self._clock.now()
        self._load_monitor = LoadMonitor(self._clock)
        self._server = Server(self._handle, facts.machine_limits.fd_limit, self._clock)
        self._types: list[MachineType] = []
        self._peer_status: dict[str, PeerStatus] = {}
        self._contacts = WorkerContacts()
        self._reachability = WorkerReachability(self._contacts)
        self._sample: list[str] = []  # addresses of machines that the leader told of
        self._counts: dict[str, int] = {}
        self._led = asyncio.Event()  # what reports wait for that came while nobody commanded
        self._term_manager = TermManager(
            self._node,
            self._client,
            self._view,
            self._session,
            self._clock,
            facts,
            self._contacts,
            self._reachability,
            self._peer_status,
            self._link,
            self._load_monitor,
        )
        self._term_manager.set_callbacks(self._peer_heard, lambda: self._types, self._make_runtime)
        self._prober = Prober(
            self._reachability,
            self._contacts,
            self._clock,
            self._term_manager.doubts_leader,
            self._machines_to_ask,
            self._random,
        )
        self._reconciler = Reconciler(
            self._client, self._view, self._session, self._term_manager.is_dispatching, operator.sweep_batch
        )
        self._view.on_term.append(self._term_changed)
        self._claims.dispatcher_reachable = self._dispatcher_reachable
        self._claims.hand_over = self._hand_over
        self._job_api.notify_cancelled = self._tell_cancelled
        self._job_api.types = lambda: {kind.name: kind for kind in self._types}
        self._job_api.running = self._running
        self._job_api.peer_has_state = self._peer_has_state
        self._job_api.has_peer_contact = self._hears_peers

    # -- life -----------------------------------------------------------------

    async def run(self) -> None:
        host, port = self._settings.listen.rsplit(":", 1)
        peer_host, peer_port = self._settings.peer_listen.rsplit(":", 1)
        self._server.listen(int(port), host)
        loops = [
            self._view.follow(),
            self._session.run(),
            self._claims.run_claims(),
            self._claims.run_results(),
            self._job_api.run_submissions(),
            self._job_api.run_status_requests(),
            self._reconciler.run(),
            self._term_manager.run(),
            self._prober.run(),
            self._beat(),
            self._keep_catalog(),
        ]
        tasks = self._link.start(int(peer_port), peer_host)
        tasks += [asyncio.ensure_future(self._forever(loop)) for loop in loops]
        log.info("controller %s listens on %s", self._node, self._settings.listen)
        try:
            await asyncio.gather(*tasks)
        finally:
            self.close()

    def close(self) -> None:
        """Stops listening and speaking at once; for a node that shares its process with others."""
        self._server.stop()
        self._link.stop()
        self._term_manager.resign()

    async def _forever(self, loop: Coroutine[Any, Any, None]) -> None:
        """A loop that ends by an error would leave a node that only seems alive."""
        try:
            await loop
        except asyncio.CancelledError:
            raise
        except BaseException:
            log.exception("a loop failed")
            raise

    # -- HTTP -----------------------------------------------------------------

    def _handle(self, request: Request) -> Answer | Awaitable[Answer]:
        path, method = request.path, request.method
        if path == names.PATH_REPORT and method == "POST":
            return self._report(request)
        if path == names.PATH_UP and method == "GET":
            return self._job_api.health()
        if path == names.PATH_JOBS or path.startswith(names.PATH_JOBS + "/"):
            peer = self._better_peer()
            if peer is not None:
                return self._request_relay.forward(peer, method, path, request.body)
            return self._serve_user(method, path, request.body)
        return error_answer(404, "no such path")

    def _serve_user(self, method: str, path: str, body: bytes) -> Answer | Awaitable[Answer]:
        if path == names.PATH_JOBS:
            return self._job_api.submit(body) if method == "POST" else error_answer(405, "use POST")
        rest = path[len(names.PATH_JOBS) + 1 :]
        if method == "GET":
            return self._job_api.status(rest)
        if method == "POST" and rest.endswith(names.PATH_ABORT):
            return self._job_api.cancel(rest[: -len(names.PATH_ABORT)])
        return error_answer(405, "use GET, or POST to cancel")

    # -- users' requests that a peer can serve --------------------------------

    def _better_peer(self) -> str | None:
        """A peer that has the state service while this node has not."""
        if self._view.age() < RELAY_AFTER:
            return None
        good = [
            node
            for node, peer_status in self._peer_status.items()
            if self._peer_heard(node) and peer_status.state_age < RELAY_AFTER
        ]
        return min((node for node in good if self._link.is_up(node)), default=None)

    def _report(self, request: Request) -> Answer | Awaitable[Answer]:
        try:
            report = messages.decode(Report, request.body)
        except Malformed as error:
            return error_answer(400, str(error))
        order = (report.session, report.seq)
        self._contacts.add(report.machine, report.address, order, report.token, self._clock.now())
        if self._runtime is None:
            self._prober.probe_contacts()
        if self._runtime is not None and self._term_manager.has_authority():
            return self._runtime.handle_report(report)
        if self._runtime is None and self._commander() is None:
            if self._view.term is not None and report.token > self._view.term[0].term:
                return self._steer()  # somebody commands of whom this node has not heard: it finds them sooner itself
            return self._until_commanded(report)
        return self._steer()

    async def _until_commanded(self, report: Report) -> Answer:
        """Keeps a worker here while nobody is known to command, rather than send it round.

        The next node in its round may be the one that has just ended: that costs it four seconds
        of its lease, and then another round.
        """
        await wait_for_event(self._led, min(HOLD_UNLED, longest_hold(self._facts.workers)))
        if self._runtime is not None and self._term_manager.has_authority():
            return await resolve_answer(self._runtime.handle_report(report))
        return self._steer()

    def _lead(self) -> None:
        """To be called whenever somebody may have begun to command."""
        if self._runtime is not None or self._commander() is not None:
            self._led.set()
            self._led = asyncio.Event()  # for those that come once nobody commands any more

    def _commander(self) -> str | None:
        """Another node that seems to command the workers."""
        leader = self._known_leader()
        if leader is None or leader == self._node or not self._seems_alive(leader):
            return None
        # One that has asked its machines in vain is replaced within a second or two: a worker sent there
        # would lose four seconds of its lease.
        peer_status = self._peer_status.get(leader)
        cut_off = peer_status is not None and peer_status.reaches_workers is False and self._peer_heard(leader)
        return None if cut_off else leader

    def _steer(self) -> Answer:
        """What a worker is told by a node that may not command it: who may, if that is known."""
        if self._runtime is not None and self._known_leader() == self._node:
            return error_answer(503, "not entitled")
        leader = self._commander()
        return Answer(421, messages.encode(Redirect() if leader is None else Redirect(leader)))

    def _seems_alive(self, leader: str) -> bool:
        """Heard, or, while connections between controllers are refused, in session."""
        if self._peer_heard(leader):
            return True
        term = self._view.term
        if term is None or term[0].leader != leader or self._view.nodes.get(leader) != term[0].session:
            return False
        return (
            is_liveness_fresh(self._view.liveness.get(leader), self._clock.now())
            or self._contacts.switched_count(term[0].term) == 0
        )

    def _known_leader(self) -> str | None:
        """The newest leader that the view or a peer tells of."""
        term = self._view.term
        number, leader = (term[0].term, term[0].leader) if term is not None else (0, None)
        for node, peer_status in self._peer_status.items():
            if peer_status.dispatching and peer_status.term > number:
                number, leader = peer_status.term, node
        return leader

    # -- term -----------------------------------------------------------------

    def _make_runtime(self, dispatcher: Dispatcher) -> LeaderRuntime:
        return LeaderRuntime(
            self._node,
            dispatcher,
            self._client,
            self._view,
            self._session,
            self._cloud,
            self._clock,
            self._facts,
            self._operator,
            self._term_manager.has_authority,
            self._tell_finished,
            self._ask_reclaim,
            self._steer,
            self._term_manager.handle_newer_token,
            self._load_monitor,
            self._random,
        )

    def _term_changed(self) -> None:
        if self._runtime is None:
            self._counts = {}

    @property
    def _runtime(self) -> LeaderRuntime | None:
        """What this node commands with while it holds the term."""
        return self._term_manager.runtime

    def _recent_workers(self) -> int:
        return self._contacts.recent_count(self._clock.now())

    # -- peers ----------------------------------------------------------------

    def _peer_heard(self, node: str) -> bool:
        peer_status = self._peer_status.get(node)
        return peer_status is not None and self._clock.now() - peer_status.received_at <= LINK_SILENT

    def _hears_peers(self) -> bool:
        """Any at all; true as well for a node that has none."""
        return not self._link.peers or any(self._peer_heard(node) for node in self._link.peers)

    def _peer_has_state(self) -> bool:
        return any(
            self._peer_heard(node) and peer_status.state_age < timedelta(seconds=1.5)
            for node, peer_status in self._peer_status.items()
        )

    def _dispatcher_reachable(self) -> bool:
        term = self._view.term
        if term is None:
            return False
        if self._runtime is not None:
            return True
        leader = term[0].leader
        return leader != self._node and self._link.is_up(leader) and self._peer_heard(leader)

    def _mend_links(self) -> None:
        """A connection may be lost without an error: then one side or the other hears nothing."""
        for peer in self._link.peers:
            peer_status = self._peer_status.get(peer)
            works = self._peer_heard(peer) and peer_status is not None and self._node in peer_status.receives_from
            if not works and self._link.age(peer) > REDIAL_AFTER:
                log.debug("peer link to %s is dialled again", peer)
                self._link.redial(peer)

    async def _beat(self) -> None:
        counted = self._clock.now()
        while True:
            self._mend_links()
            self._lead()
            self._link.broadcast(
                peers.pack(
                    peers.Heartbeat(
                        self._node,
                        self._view.term[0].term if self._view.term is not None else 0,
                        self._term_manager.is_dispatching(),
                        min(self._view.age().total_seconds(), 1e6),
                        self._recent_workers(),
                        [node for node in self._peer_status if self._peer_heard(node)],
                        # What this node can't write now is left to those that can.
                        self._client.write_demand if self._view.age() < NO_STATE else 0.0,
                        (self._clock.now() - self._began).total_seconds(),
                        self._reachability.is_reachable,
                    )
                )
            )
            self._share_writes()
            now = self._clock.now()
            if self._runtime is not None and now - counted >= COUNTS:
                counted = now
                self._link.broadcast(
                    peers.pack(
                        peers.Counts(
                            self._node,
                            self._runtime.dispatcher.term,
                            self._runtime.dispatcher.running_counts(),
                            self._runtime.sample_addresses(),
                        )
                    )
                )
            await asyncio.sleep(HEARTBEAT.total_seconds())

    def _share_writes(self) -> None:
        """Peers that are not heard are taken to need an even share, those without the state service none.

        kerlann-fonts-fleet loss: the one controller of five that still had the state service claimed
        everything again with what was left beside four shares that nobody could use.
        """
        even = self._facts.state.write_rps / max(self._facts.size, 1)
        heard = [peer_status for node, peer_status in self._peer_status.items() if self._peer_heard(node)]
        unheard = max(self._facts.size - 1 - len(heard), 0)
        served = [peer_status.write_demand for peer_status in heard if peer_status.state_age < NO_STATE]
        self._client.share_writes(served + [even] * unheard)
        self._client.share_requests(1 + len(served) + unheard)

    def _hear(self, data: bytes) -> None:
        try:
            message = peers.unpack(data)
        except msgspec.MsgspecError as error:
            log.warning("peer link: unreadable message: %s", error)
            return
        match message:
            case peers.Heartbeat():
                self._peer_status[message.node] = PeerStatus(
                    self._clock.now(),
                    message.term,
                    message.dispatching,
                    message.state_age,
                    message.workers,
                    message.writes,
                    tuple(message.heard),
                    None if message.up_s is None else self._clock.now() - timedelta(seconds=message.up_s),
                    message.reaches,
                )
                self._lead()
            case peers.Counts():
                if self._view.term is not None and message.term == self._view.term[0].term:
                    self._counts = message.running
                    self._sample = message.addresses
            case peers.Handover():
                # Committed data with its version, so it may go straight into the view.
                self._view.apply(message.key, bytes(message.record), message.version)
            case peers.Finished():
                self._claims.add_finished(message.jobs)
            case peers.Relay():
                self._request_relay.serve(message)
            case peers.Relayed():
                self._request_relay.handle_answer(message)
            case peers.Reclaim():
                self._claims.reclaim(message.job, message.attempt)

    def _machines_to_ask(self) -> list[str]:
        return self._runtime.sample_addresses() if self._runtime is not None else self._sample

    def _running(self, job: str) -> int:
        return self._runtime.dispatcher.running_count(job) if self._runtime is not None else self._counts.get(job, 0)

    def _hand_over(self, job: str, version: int, record: JobRecord) -> None:
        term = self._view.term
        if self._runtime is not None or term is None or term[0].leader == self._node:
            return  # one that has just resigned is still the leader on record; the next one reads the record
        self._link.send(term[0].leader, self._handover(job, version, record))

    def _handover(self, job: str, version: int, record: JobRecord) -> bytes:
        term = self._view.term[0].term if self._view.term is not None else 0
        return peers.pack(peers.Handover(self._node, term, records.job_key(job), version, records.pack(record)))

    def _tell_cancelled(self, job: str, version: int, record: JobRecord) -> None:
        """To all peers: the one that commands may be without the state service, and another than this node knows of.

        It stops the tasks at once. Where it doesn't hear of it, they end with its authority and the workers' leases.
        """
        self._link.broadcast(self._handover(job, version, record))

    def _tell_finished(self, node: str, jobs: dict[str, list[int]]) -> None:
        if node == self._node:
            self._claims.add_finished(jobs)
        elif self._runtime is not None and node in self._peer_status:
            self._link.send(node, peers.pack(peers.Finished(self._node, self._runtime.dispatcher.term, jobs)))

    def _ask_reclaim(self, node: str, job: str, attempt: int) -> None:
        if node == self._node:
            self._claims.reclaim(job, attempt)
        elif self._runtime is not None and node in self._peer_status:
            self._link.send(node, peers.pack(peers.Reclaim(self._node, self._runtime.dispatcher.term, job, attempt)))

    # -- catalog --------------------------------------------------------------

    async def _keep_catalog(self) -> None:
        while True:
            if not self._types or self._runtime is not None:
                try:
                    self._types = await self._cloud.catalog()
                    if self._runtime is not None:
                        self._runtime.set_types(self._types)
                except (CloudError, NoCapacity, Malformed) as error:
                    log.info("catalog: %s", error)
                    await asyncio.sleep(1)
                    continue
            await asyncio.sleep(CATALOG_INTERVAL.total_seconds())
