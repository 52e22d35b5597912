"""Wires the parts of one controller node together and runs them."""

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
from gingerspar.coordination.jobs.record_writer import RecordWriter
from gingerspar.coordination.jobs.relay import RequestRelay
from gingerspar.coordination.leader.dispatcher import Dispatcher
from gingerspar.coordination.leader.leader_runtime import LeaderRuntime, max_hold_duration
from gingerspar.coordination.leader.load_monitor import LoadMonitor
from gingerspar.coordination.leader.process_report import ProcessReport
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
from gingerspar.transport.error_counts import ErrorCounts
from gingerspar.transport.peerlink import PeerLink
from gingerspar.transport.server import Answer, Request, Server, resolve_answer
from gingerspar.transport.waits import wait_for_event

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL = timedelta(milliseconds=400)
COUNTS_INTERVAL = timedelta(seconds=1)
CATALOG_INTERVAL = timedelta(seconds=20)
STATE_LOST_AFTER = timedelta(seconds=2)  # a node without a state read for this time can't write either
RELAY_AFTER = timedelta(seconds=0.8)  # without a state read for this time, a peer may serve users better
MAX_HOLD_WITHOUT_LEADER = timedelta(seconds=2)  # workers stop waiting for an answer after 4 s
PEER_CONTACT_LOST_AFTER = timedelta(seconds=1.5)
RECONNECT_AFTER = timedelta(seconds=2)


class Controller:
    """One node of the scheduler: serves workers and users, and leads while it holds the term."""

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
        record_writer = RecordWriter(self._client, self._view, self._session, self._clock)
        self._claims = ClaimManager(
            self._node, self._client, self._view, self._session, self._clock, teams, operator, job_order, record_writer
        )
        self._job_api = JobApi(self._client, self._view, self._claims, self._clock, teams)
        self._cloud = CloudClient(settings.services.cloud, self._clock, facts.cloud.rps)
        self._link = PeerLink({peer.node: peer.address for peer in settings.peers}, self._receive, self._clock)
        self._request_relay = RequestRelay(self._node, self._link, self._serve_user)
        self._started = self._clock.now()
        self._load_monitor = LoadMonitor(self._clock)
        self._server = Server(self._handle, facts.machine_limits.fd_limit, self._clock, {names.PATH_REPORT})
        self._types: list[MachineType] = []
        self._peer_status: dict[str, PeerStatus] = {}
        self._contacts = WorkerContacts()
        self._reachability = WorkerReachability(self._contacts)
        self._sample_addresses: list[str] = []  # machines to probe, as sent by the leader
        self._running_counts: dict[str, int] = {}
        self._leader_found = asyncio.Event()  # set, and replaced, once a leader is known
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
        self._term_manager.set_callbacks(self._receives_from, lambda: self._types, self._make_runtime)
        self._prober = Prober(
            self._reachability,
            self._contacts,
            self._clock,
            self._term_manager.should_probe_machines,
            self._addresses_to_probe,
            self._random,
        )
        self._reconciler = Reconciler(
            self._view, self._session, record_writer, self._term_manager.is_dispatching, operator.sweep_batch
        )
        self._process_report = ProcessReport(
            self._view, self._load_monitor, facts.machine_limits.memory_mb, self._current_dispatcher
        )
        self._view.on_term.append(self._term_changed)
        self._claims.leader_reachable = self._leader_reachable
        self._claims.hand_over = self._hand_over
        self._job_api.notify_cancelled = self._notify_cancelled
        self._job_api.machine_types = lambda: {machine_type.name: machine_type for machine_type in self._types}
        self._job_api.running_task_count = self._running_count
        self._job_api.peer_has_state = self._peer_has_state
        self._job_api.has_peer_contact = self._has_peer_contact

    # -- lifecycle ------------------------------------------------------------

    async def run(self) -> None:
        """Runs the node until it is cancelled, or a loop fails without which it can't serve; then closes it."""
        host, port = self._settings.listen.rsplit(":", 1)
        peer_host, peer_port = self._settings.peer_listen.rsplit(":", 1)
        self._server.listen(int(port), host)
        essential_loops = [self._view.follow(), self._session.run(), self._term_manager.run()]
        supervised_loops = {
            "loop of claims": self._claims.run_claims,
            "loop of results": self._claims.run_results,
            "loop of submissions": self._job_api.run_submissions,
            "loop of status requests": self._job_api.run_status_requests,
            "loop of sweeps": self._reconciler.run,
            "loop of probes": self._prober.run,
            "loop of heartbeats": self._run_heartbeats,
            "loop of the catalog": self._refresh_catalog,
            "loop of process reports": self._process_report.run,
        }
        failures = ErrorCounts(log)
        tasks = self._link.start(int(peer_port), peer_host)
        tasks += [asyncio.ensure_future(self._run_loop(loop)) for loop in essential_loops]
        tasks += [asyncio.ensure_future(failures.supervise(name, loop)) for name, loop in supervised_loops.items()]
        log.info("controller %s listens on %s", self._node, self._settings.listen)
        try:
            await asyncio.gather(*tasks)
        finally:
            self.close()

    def close(self) -> None:
        """Stops the server and the peer links at once; for a node that shares its process with others."""
        self._server.stop()
        self._link.stop()
        self._term_manager.resign()

    async def _run_loop(self, loop: Coroutine[Any, Any, None]) -> None:
        """Logs and re-raises the failure of a loop: without that loop the node would only seem alive."""
        try:
            await loop
        except asyncio.CancelledError:
            raise
        except BaseException:
            log.exception("background loop failed")
            raise

    # -- HTTP -----------------------------------------------------------------

    def _handle(self, request: Request) -> Answer | Awaitable[Answer]:
        path, method = request.path, request.method
        if path == names.PATH_REPORT and method == "POST":
            return self._handle_report(request)
        if path == names.PATH_UP and method == "GET":
            return self._job_api.health()
        if path == names.PATH_JOBS or path.startswith(names.PATH_JOBS + "/"):
            peer = self._relay_target()
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

    # -- requests that another node serves ------------------------------------

    def _relay_target(self) -> str | None:
        """Returns a peer with access to the state service if this node has none."""
        if self._view.age() < RELAY_AFTER:
            return None
        candidates = [
            node
            for node, peer_status in self._peer_status.items()
            if self._receives_from(node) and peer_status.state_age < RELAY_AFTER
        ]
        return min((node for node in candidates if self._link.is_up(node)), default=None)

    def _handle_report(self, request: Request) -> Answer | Awaitable[Answer]:
        try:
            report = messages.decode(Report, request.body)
        except Malformed as error:
            return error_answer(400, str(error))
        session_and_seq = (report.session, report.seq)
        self._contacts.add(report.machine, report.address, session_and_seq, report.token, self._clock.now())
        if self._runtime is None:
            self._prober.probe_contacts()
        if self._runtime is not None and self._term_manager.has_authority():
            return self._runtime.handle_report(report)
        if self._runtime is None and self._other_leader() is None:
            if self._view.term is not None and report.token > self._view.term[0].term:
                # There is a newer leader that this node doesn't know: the worker finds it sooner itself.
                return self._redirect()
            return self._hold_until_leader_found(report)
        return self._redirect()

    async def _hold_until_leader_found(self, report: Report) -> Answer:
        """Holds a worker's report while no leader is known, instead of sending the worker on.

        The next node that the worker tries may be the one that has just gone down. Waiting for its answer would
        cost the worker four seconds of its lease, and then it would try all nodes once more.
        """
        await wait_for_event(self._leader_found, min(MAX_HOLD_WITHOUT_LEADER, max_hold_duration(self._facts.workers)))
        if self._runtime is not None and self._term_manager.has_authority():
            return await resolve_answer(self._runtime.handle_report(report))
        return self._redirect()

    def _wake_held_reports(self) -> None:
        """Answers held reports if a leader is known; to be called whenever a node may have started to lead."""
        if self._runtime is not None or self._other_leader() is not None:
            self._leader_found.set()
            self._leader_found = asyncio.Event()  # for reports that arrive when there is no leader again

    def _other_leader(self) -> str | None:
        """Returns another node that appears to lead the workers, or None."""
        leader = self._known_leader()
        if leader is None or leader == self._node or not self._seems_alive(leader):
            return None
        # A leader that has probed its machines without success is replaced within a second or two: a worker sent
        # there would lose four seconds of its lease.
        peer_status = self._peer_status.get(leader)
        workers_unreachable = (
            peer_status is not None and peer_status.reaches_workers is False and self._receives_from(leader)
        )
        return None if workers_unreachable else leader

    def _redirect(self) -> Answer:
        """Answers a worker that this node has no authority over; names the leader if it is known."""
        if self._runtime is not None and self._known_leader() == self._node:
            return error_answer(503, "not entitled")
        leader = self._other_leader()
        return Answer(421, messages.encode(Redirect() if leader is None else Redirect(leader)))

    def _seems_alive(self, leader: str) -> bool:
        """Whether the leader has sent a heartbeat lately or still has its session in the state service.

        The session counts while connections between controllers are refused, as long as the leader's liveness mark
        is fresh or no worker has switched from it to this node.
        """
        if self._receives_from(leader):
            return True
        term = self._view.term
        if term is None or term[0].leader != leader or self._view.nodes.get(leader) != term[0].session:
            return False
        return (
            is_liveness_fresh(self._view.liveness.get(leader), self._clock.now())
            or self._contacts.switched_count(term[0].term) == 0
        )

    def _known_leader(self) -> str | None:
        """Returns the leader of the newest term in the view or in a peer's status."""
        term = self._view.term
        newest_term, leader = (term[0].term, term[0].leader) if term is not None else (0, None)
        for node, peer_status in self._peer_status.items():
            if peer_status.dispatching and peer_status.term > newest_term:
                newest_term, leader = peer_status.term, node
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
            self._facts.cloud.list_lag,
            self._operator,
            self._term_manager.has_authority,
            self._notify_finished,
            self._request_reclaim,
            self._redirect,
            self._term_manager.handle_newer_token,
            self._load_monitor,
            self._random,
        )

    def _term_changed(self) -> None:
        if self._runtime is None:
            self._running_counts = {}

    @property
    def _runtime(self) -> LeaderRuntime | None:
        """The leader runtime while this node holds the term, else None."""
        return self._term_manager.runtime

    def _current_dispatcher(self) -> Dispatcher | None:
        return None if self._runtime is None else self._runtime.dispatcher

    def _recent_workers(self) -> int:
        return self._contacts.recent_count(self._clock.now())

    # -- peers ----------------------------------------------------------------

    def _receives_from(self, node: str) -> bool:
        peer_status = self._peer_status.get(node)
        return peer_status is not None and self._clock.now() - peer_status.received_at <= PEER_CONTACT_LOST_AFTER

    def _has_peer_contact(self) -> bool:
        """Whether any peer has sent a heartbeat lately; also true for a node that has no peers."""
        return not self._link.peers or any(self._receives_from(node) for node in self._link.peers)

    def _peer_has_state(self) -> bool:
        return any(
            self._receives_from(node) and peer_status.state_age < timedelta(seconds=1.5)
            for node, peer_status in self._peer_status.items()
        )

    def _leader_reachable(self) -> bool:
        term = self._view.term
        if term is None:
            return False
        if self._runtime is not None:
            return True
        leader = term[0].leader
        return leader != self._node and self._link.is_up(leader) and self._receives_from(leader)

    def _reconnect_broken_links(self) -> None:
        """Reconnects links on which one side receives nothing: a connection may be lost without an error there."""
        for peer in self._link.peers:
            peer_status = self._peer_status.get(peer)
            works = self._receives_from(peer) and peer_status is not None and self._node in peer_status.receives_from
            if not works and self._link.age(peer) > RECONNECT_AFTER:
                log.debug("reconnecting peer link to %s", peer)
                self._link.reconnect(peer)

    async def _run_heartbeats(self) -> None:
        counts_sent_at = self._clock.now()
        while True:
            self._reconnect_broken_links()
            self._wake_held_reports()
            self._link.broadcast(
                peers.pack(
                    peers.Heartbeat(
                        self._node,
                        self._view.term[0].term if self._view.term is not None else 0,
                        self._term_manager.is_dispatching(),
                        min(self._view.age().total_seconds(), peers.NEVER_READ_S),
                        self._recent_workers(),
                        [node for node in self._peer_status if self._receives_from(node)],
                        # A node that can't write now leaves its share to the nodes that can.
                        self._client.write_demand if self._view.age() < STATE_LOST_AFTER else 0.0,
                        (self._clock.now() - self._started).total_seconds(),
                        self._reachability.is_reachable,
                    )
                )
            )
            self._share_writes()
            now = self._clock.now()
            if self._runtime is not None and now - counts_sent_at >= COUNTS_INTERVAL:
                counts_sent_at = now
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
            await asyncio.sleep(HEARTBEAT_INTERVAL.total_seconds())

    def _share_writes(self) -> None:
        """Splits the write and request limits of the state service among the nodes that can use them.

        A silent peer is assumed to need an even share, a peer without the state service none. A peer that has not read
        it yet is reading all keys and needs its share of the requests: when all controllers began at once, each counted
        the others as without the service, and together they sent more than it takes, for good (review/4).
        kerlann-fonts-fleet loss: the one controller of five that still had the state service claimed all jobs
        again at the rate that was left beside four shares that no other controller could use.
        """
        even_share = self._facts.state.write_rps / max(self._facts.size, 1)
        live_peers = [peer_status for node, peer_status in self._peer_status.items() if self._receives_from(node)]
        silent_count = max(self._facts.size - 1 - len(live_peers), 0)
        write_demands = [
            peer_status.write_demand for peer_status in live_peers if peer_status.state_age < STATE_LOST_AFTER
        ]
        self._client.share_writes(write_demands + [even_share] * silent_count)
        loading_count = sum(not peer_status.has_read for peer_status in live_peers)
        self._client.share_requests(1 + len(write_demands) + silent_count + loading_count)

    def _receive(self, data: bytes) -> None:
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
                    message.has_read,
                )
                self._wake_held_reports()
            case peers.Counts():
                if self._view.term is not None and message.term == self._view.term[0].term:
                    self._running_counts = message.running
                    self._sample_addresses = message.addresses
            case peers.Handover():
                # The record is committed and has its version, so it can be applied to the view directly.
                self._view.apply(message.key, bytes(message.record), message.version)
            case peers.Finished():
                self._claims.add_finished(message.jobs)
            case peers.Relay():
                self._request_relay.serve(message)
            case peers.Relayed():
                self._request_relay.handle_answer(message)
            case peers.Reclaim():
                self._claims.request_reclaim(message.job, message.attempt)

    def _addresses_to_probe(self) -> list[str]:
        return self._runtime.sample_addresses() if self._runtime is not None else self._sample_addresses

    def _running_count(self, job: str) -> int:
        return (
            self._runtime.dispatcher.running_count(job)
            if self._runtime is not None
            else self._running_counts.get(job, 0)
        )

    def _hand_over(self, job: str, version: int, record: JobRecord) -> None:
        term = self._view.term
        if self._runtime is not None or term is None or term[0].leader == self._node:
            return  # a node that has just resigned is still the recorded leader; its successor reads the job record
        self._link.send(term[0].leader, self._pack_handover(job, version, record))

    def _pack_handover(self, job: str, version: int, record: JobRecord) -> bytes:
        term = self._view.term[0].term if self._view.term is not None else 0
        return peers.pack(peers.Handover(self._node, term, records.job_key(job), version, records.pack(record)))

    def _notify_cancelled(self, job: str, version: int, record: JobRecord) -> None:
        """Sends a cancellation to all peers, so that the leader stops the tasks at once.

        The leader may have lost the state service, and may be another node than the one that this node knows as
        leader. If the message doesn't arrive, the tasks end with the leader's authority and the workers' leases.
        """
        self._link.broadcast(self._pack_handover(job, version, record))

    def _notify_finished(self, node: str, jobs: dict[str, list[int]]) -> None:
        if node == self._node:
            self._claims.add_finished(jobs)
        elif self._runtime is not None and node in self._peer_status:
            self._link.send(node, peers.pack(peers.Finished(self._node, self._runtime.dispatcher.term, jobs)))

    def _request_reclaim(self, node: str, job: str, attempt: int) -> None:
        if node == self._node:
            self._claims.request_reclaim(job, attempt)
        elif self._runtime is not None and node in self._peer_status:
            self._link.send(node, peers.pack(peers.Reclaim(self._node, self._runtime.dispatcher.term, job, attempt)))

    # -- catalog --------------------------------------------------------------

    async def _refresh_catalog(self) -> None:
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
