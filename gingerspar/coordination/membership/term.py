"""The term: which node leads and commands the machines, and when another node takes over.

The term is a number in one key of the state service, raised by a conditional write.
``reason_to_raise`` and ``reason_to_resign`` are pure functions of what a node knows
(``ElectionState``), so that tests can cover each case without a cluster.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from gingerspar.coordination.membership.reachability import ReachabilityState
from gingerspar.protocol.settings import Facts, WorkerFacts
from gingerspar.storage.view import read_interval


class TermState(Enum):
    """This node's role in the current term."""

    FOLLOWING = "following"
    RAISING = "raising"
    LEADING = "leading"


MAX_CLOCK_DRIFT = 0.0005  # maximum relative drift between steady clocks (PROTOCOL)


def authority_duration(workers: WorkerFacts) -> timedelta:
    """L: how long after *sending* its last successful state read a leader may answer workers.

    A cancellation committed just after that read must take effect within ``cancel``: the
    worker's last answered report is at most L later, and the worker's lease then expires within
    ``lease`` by its own clock. One second is reserved for inaccurate clocks and timers, or a quarter
    of the difference between ``cancel`` and ``lease`` if that is shorter. L is zero where ``cancel`` is
    hardly longer than ``lease`` (``check-config`` reports this).
    """
    difference = workers.cancel - workers.lease
    margin = min(timedelta(seconds=1), difference / 4) + workers.cancel * (4 * MAX_CLOCK_DRIFT)
    return max(difference - margin, timedelta(0))


# Successful reads that a leader should be able to send within ``authority_duration``, because one may be late.
MIN_AUTHORITY_READS = 2


def cancel_limit_problem(facts: Facts) -> str | None:
    """An error text if ``cancel_s`` is so short that a leader cannot read the state service often enough.

    Often enough means ``MIN_AUTHORITY_READS`` times within ``authority_duration``.

    Returns None if ``cancel_s`` is long enough. If it is not, most workers are not answered in time and their
    leases expire, because an answer given later could keep tasks alive that have just been cancelled.
    """
    workers, required = facts.workers, read_interval(facts.state.rps, facts.size) * MIN_AUTHORITY_READS
    if authority_duration(workers) >= required:
        return None
    return (
        f"facts.workers.cancel_s: {workers.cancel_s:g} is too close to lease_s, {workers.lease_s:g}: "
        f"with this state service the leader reads it every {required.total_seconds() / MIN_AUTHORITY_READS:.2g} s, "
        "and answers to workers can't be kept fresh enough"
    )


def settling_time(workers: WorkerFacts) -> timedelta:
    """How long after a term change a machine may still run tasks that an older leader started."""
    total = authority_duration(workers) + workers.lease
    return total + total * (4 * MAX_CLOCK_DRIFT) + timedelta(seconds=0.5)


@dataclass(slots=True)
class PeerStatus:
    """The content of a peer's last heartbeat and when it was received."""

    received_at: timedelta
    term: int
    dispatching: bool
    state_age: timedelta
    workers: int
    write_demand: float = 0.0
    receives_from: tuple[str, ...] = ()
    process_started: timedelta | None = None  # when the peer's process started, on this node's steady clock
    reaches_workers: bool | None = None  # None if the peer does not know
    has_read: bool = True  # whether it has read the state service since its start


@dataclass(slots=True)
class ElectionState:
    """Everything that the decisions to raise the term and to resign depend on."""

    now: timedelta
    node: str
    state_age: timedelta  # of this node's view
    session_open: bool
    term: int  # 0: there is none
    leader: str | None
    leader_session_alive: bool
    leader_is_this_process: bool
    workers: int  # number that reported to this node within the last few seconds
    switched_workers: int  # of these, workers that the current leader had (they have seen its token)
    switched_workers_needed: int
    term_seen_at: timedelta  # when this node first saw the current term
    started: timedelta
    live_nodes: list[str] = field(default_factory=list)  # with an open session
    peers: dict[str, PeerStatus] = field(default_factory=dict)
    link_up: bool = False  # this node's connection to the leader
    resigned: bool = False  # this process held the current term and gave it up
    resigned_at: timedelta = timedelta(0)
    leader_without_workers_since: timedelta | None = None  # workers report to this node and none to the leader
    state_fresh_since: timedelta = timedelta(0)  # this node has read the state service without a gap since then
    liveness_seen: timedelta | None = None  # when the leader's last liveness mark in the state service was read
    reachability: ReachabilityState = ReachabilityState.UNKNOWN  # whether this node reaches the workers
    leader_reaches_no_workers_since: timedelta | None = None  # the leader reports that it reaches no workers


STATE_FRESH_FOR = timedelta(seconds=1.5)  # age up to which a node's view of the state service counts as fresh
PEER_SILENT_AFTER = timedelta(seconds=1.2)  # since the peer's last heartbeat
# A state service that is only slow must not move the term: after each change every machine is
# unsettled for seconds, whereas a leader without reads continues with the claims that its peers hand it
# (kerlann-fonts-fleet loss: two changes of term in a minute of slow answers).
LEADER_STATE_STALE_AFTER = timedelta(seconds=4)
STATE_RECOVERY_GRACE = timedelta(seconds=1.5)  # after an outage, others may be without reads for this long
NO_WORKERS_FOR = timedelta(seconds=5)  # how long no worker reports to the leader before the term moves
NO_WORKERS_SWITCHED_FOR = timedelta(seconds=1)  # the same if enough of the leader's own workers report to this node
UNREACHABLE_FOR = timedelta(seconds=0.5)  # after the leader has probed its machines without success
LIVENESS_FRESH_FOR = timedelta(seconds=3.5)  # one interval between liveness marks, and the time to write and read one
LIVENESS_LOST_AFTER = timedelta(seconds=6)  # three liveness marks that a leader would have written in the meantime
ELECTION_STAGGER = timedelta(milliseconds=500)  # between the attempts of two nodes
PROCESS_AGE_STEP = timedelta(seconds=5)  # processes that started within one step count as equally old
SETTLING_GRACE = timedelta(seconds=4)  # time that a new leader, a successor or a new process gets before it is judged


def is_liveness_fresh(liveness_seen: timedelta | None, now: timedelta) -> bool:
    """Whether a leader's last liveness mark in the state service is fresh; ``liveness_seen`` is when it was read."""
    return liveness_seen is not None and now - liveness_seen <= LIVENESS_FRESH_FOR


def reason_to_raise(state: ElectionState) -> str | None:
    """Why this node should raise the term now; None if it should not."""
    if state.leader_is_this_process or not state.session_open or state.state_age > STATE_FRESH_FOR:
        return None
    if state.term == 0 or state.leader is None:
        return _staggered(state, "there is no leader", state.started)
    if state.leader == state.node and not state.resigned:
        return "the leader was this node's previous process"
    if state.leader == state.node:
        # This process resigned in favour of a peer. If no peer takes over, it raises the term again.
        return "no peer raised the term" if state.now - state.resigned_at > SETTLING_GRACE else None
    peer_status = state.peers.get(state.leader)
    silence = state.now - peer_status.received_at if peer_status is not None else state.now - state.started
    silent = silence > PEER_SILENT_AFTER
    if not state.leader_session_alive and silent:
        return _staggered(state, "the leader's session has ended", state.term_seen_at)
    # Both the leader and this node have probed machines, so even a new leader gets no grace period here:
    # a wrong choice is corrected within seconds, before the workers' leases expire.
    unreachable_for = (
        state.now - state.leader_reaches_no_workers_since if state.leader_reaches_no_workers_since is not None else None
    )
    if (
        not silent
        and unreachable_for is not None
        and unreachable_for >= UNREACHABLE_FOR
        and state.reachability is ReachabilityState.REACHABLE
    ):
        return _staggered(state, "the leader reaches no workers", state.now - unreachable_for + UNREACHABLE_FOR)
    if state.now - state.term_seen_at < SETTLING_GRACE:
        return None
    if silent:
        # Only the connections between controllers may be refused, and the term must not move back and
        # forth because of that: only workers that the leader had show that it no longer answers. New
        # machines' first reports reach this node in any case.
        # While the leader writes liveness marks, its workers do not show this either: they may be switching
        # to it from an older leader, notified of its token (bench/days/workers-alone: a term of 4 s).
        if (
            state.switched_workers >= state.switched_workers_needed
            and not state.link_up
            and not is_liveness_fresh(state.liveness_seen, state.now)
        ):
            return _staggered(
                state,
                "the leader is silent and its workers report to this node",
                state.now - silence + PEER_SILENT_AFTER,
            )
        # The leader may have lost the state service too and keep its workers: then no worker reports to this node.
        last = max(state.now - silence, state.term_seen_at, state.liveness_seen or state.started)
        if state.now - last > LIVENESS_LOST_AFTER:
            return _staggered(state, "the leader is silent and writes no liveness marks", last + LIVENESS_LOST_AFTER)
        return None
    if peer_status is None:
        return None
    # After an outage one node reads first; it must not take the term from a leader that is about to read.
    if peer_status.state_age > LEADER_STATE_STALE_AFTER and state.now - state.state_fresh_since > STATE_RECOVERY_GRACE:
        return _staggered(
            state,
            "the leader cannot read the state service",
            state.now - (peer_status.state_age - LEADER_STATE_STALE_AFTER),
        )
    if not peer_status.dispatching and peer_status.term >= state.term:
        return _staggered(state, "the leader no longer dispatches", state.now - silence)
    # The condition must hold for some time: a worker may first report to this node before it is redirected
    # to the leader. Workers that the leader had need less time: if the leader is partitioned from them and
    # the state service fails some seconds later, there is no other chance to keep their tasks (combinations
    # 56 and 282: 98 of 117 tasks were killed by their leases).
    if state.leader_without_workers_since is not None:
        min_duration = (
            NO_WORKERS_SWITCHED_FOR if state.switched_workers >= state.switched_workers_needed else NO_WORKERS_FOR
        )
        if state.now - max(state.leader_without_workers_since, state.term_seen_at) > min_duration:
            return _staggered(
                state,
                "workers report to this node and not to the leader",
                state.leader_without_workers_since + min_duration,
            )
    return None


_REACHABILITY_RANK: dict[bool | None, int] = {True: 0, None: 1, False: 2}


def _staggered(state: ElectionState, reason: str, since: timedelta) -> str | None:
    """Returns ``reason`` once it is this node's turn to try: nodes try one after the other.

    Nodes that reach the workers come first, nodes that have probed without success come last: on
    kerlann-fonts-fleet the term went to a node that had just lost the workers, and all work was
    lost although another node had every link (bench/days/one-has-every-link-kerlann).

    Among nodes that are equal in this, those whose process started last come first: if all are
    restarted one after the other, the term then goes to a node that has already been restarted, and
    stays there. In the order of their names, the term went with each restart to the node that was
    restarted next (kerlann-fonts-fleet restart: four changes of term in 75 s). A process
    that has only just started may end again, so it is not preferred yet.
    """

    others = sorted(set(state.live_nodes) - {state.leader})
    process_starts = {node: state.peers[node].process_started for node in others if node in state.peers}
    settled = {
        node: start
        for node, start in process_starts.items()
        if start is not None and state.now - start >= SETTLING_GRACE
    }
    if settled and state.now - state.started >= SETTLING_GRACE:
        settled[state.node] = state.started
        oldest = min(settled.values())
        # Processes that started at about the same time stay in the order of their names.
        others.sort(key=lambda node: -((settled.get(node, oldest) - oldest) // PROCESS_AGE_STEP))
    reaches_workers = {node: state.peers[node].reaches_workers for node in others if node in state.peers}
    reaches_workers[state.node] = (
        None if state.reachability is ReachabilityState.UNKNOWN else state.reachability is ReachabilityState.REACHABLE
    )
    others.sort(key=lambda node: _REACHABILITY_RANK[reaches_workers.get(node)])
    position = others.index(state.node) if state.node in others else len(others)
    return reason if state.now - since >= ELECTION_STAGGER * position else None


def reason_to_resign(state: ElectionState) -> str | None:
    """Why the leader should stop answering workers before its authority ends; None if it should not.

    It resigns only once a peer commands in its place. A leader without the state service used to stop
    as soon as a peer seemed to have it. When that peer lost it too, no node commanded until the service
    recovered, and 1,387 of 1,869 running tasks were killed by their leases
    (bench/days/four-refused-then-outage-kerlann), although the leader's authority had only just begun to run out.
    """
    if not state.leader_is_this_process:
        return None
    recent = {
        node: peer_status
        for node, peer_status in state.peers.items()
        if state.now - peer_status.received_at <= PEER_SILENT_AFTER
    }
    if any(peer_status.term > state.term and peer_status.dispatching for peer_status in recent.values()):
        return "a peer dispatches under a higher term"
    return None
