"""When a node raises the term, when a leader resigns, and which workers count as evidence for either."""

from datetime import timedelta

import pytest

from gingerspar.coordination.membership.reachability import ReachabilityState, WorkerReachability
from gingerspar.coordination.membership.term import (
    ElectionState,
    PeerStatus,
    authority_duration,
    cancel_limit_problem,
    reason_to_raise,
    reason_to_resign,
    settling_time,
)
from gingerspar.coordination.membership.worker_contacts import WorkerContacts
from gingerspar.protocol.settings import CloudFacts, Facts, StateFacts, WorkerFacts

NOW = timedelta(seconds=100)


def s(seconds: float) -> timedelta:
    return timedelta(seconds=seconds)


def election_state(**changes: object) -> ElectionState:
    """The state of follower n2, which receives the heartbeats of leader n1, without any failure."""
    base: dict[str, object] = {
        "now": NOW,
        "node": "n2",
        "state_age": s(0.1),
        "session_open": True,
        "term": 4,
        "leader": "n1",
        "leader_session_alive": True,
        "leader_is_this_process": False,
        "workers": 0,
        "switched_workers": 0,
        "switched_workers_needed": 3,
        "term_seen_at": s(10),
        "started": s(0),
        "live_nodes": ["n1", "n2", "n3"],
        "peers": {"n1": peer_status()},
        "link_up": True,
    }
    return ElectionState(**{**base, **changes})  # type: ignore[arg-type]


def peer_status(
    age: float = 0.2,
    state_age: float = 0.1,
    workers: int = 8,
    dispatching: bool = True,
    reaches: bool | None = None,
) -> PeerStatus:
    return PeerStatus(NOW - s(age), 4, dispatching, s(state_age), workers, reaches_workers=reaches)


CASES = {
    "no failure": ({}, False),
    "there is no leader": ({"term": 0, "leader": None, "live_nodes": ["n2"]}, True),
    "the leader was this node's previous process": ({"leader": "n2", "peers": {}}, True),
    "this process is the leader": ({"leader": "n2", "leader_is_this_process": True}, False),
    "the leader is silent and its session has ended": (
        {"leader_session_alive": False, "peers": {"n1": peer_status(age=7)}, "link_up": False},
        True,
    ),
    "the leader's session has ended, but its heartbeats arrive": ({"leader_session_alive": False}, False),
    "the leader is silent, but its session is alive and no worker reports to this node": (
        {"peers": {"n1": peer_status(age=5)}, "link_up": False},
        False,
    ),
    "the leader is silent and its workers report to this node": (
        {"peers": {"n1": peer_status(age=5)}, "link_up": False, "workers": 3, "switched_workers": 3},
        True,
    ),
    # workers-alone: workers notified of the new token were switching from the old leader to the new one.
    "the leader is silent and its workers report to this node, but it writes liveness marks": (
        {
            "peers": {"n1": peer_status(age=5)},
            "link_up": False,
            "workers": 3,
            "switched_workers": 3,
            "liveness_seen": s(98),
        },
        False,
    ),
    "the leader is silent, writes no liveness marks and keeps its workers": (
        {"peers": {"n1": peer_status(age=7)}, "link_up": False, "liveness_seen": s(93)},
        True,
    ),
    "the leader is silent, but writes liveness marks": (
        {"peers": {"n1": peer_status(age=50)}, "link_up": False, "liveness_seen": s(96)},
        False,
    ),
    # kerlann-fonts-grown apart: connections between controllers were refused, and each first report
    # of a new machine made another node raise the term, every four seconds.
    "the leader is silent and only new machines report to this node": (
        {"peers": {"n1": peer_status(age=5)}, "link_up": False, "workers": 3, "switched_workers": 0},
        False,
    ),
    "the leader is silent and one of its workers reports to this node": (
        {"peers": {"n1": peer_status(age=5)}, "link_up": False, "workers": 3, "switched_workers": 1},
        False,
    ),
    "the leader has lost the state service, this node has not": ({"peers": {"n1": peer_status(state_age=6)}}, True),
    # kerlann-fonts-fleet loss: slow answers of the state service alone moved the term twice. Each time all machines
    # became unsettled.
    "the state service answers the leader slowly": ({"peers": {"n1": peer_status(state_age=3.5)}}, False),
    # questions-while-silent: when an outage ended, the node that happened to read first raised the term.
    "an outage has just ended, the leader has not read yet": (
        {"peers": {"n1": peer_status(state_age=16)}, "state_fresh_since": s(99)},
        False,
    ),
    "an outage has ended, but not for the leader": (
        {"peers": {"n1": peer_status(state_age=18)}, "state_fresh_since": s(98)},
        True,
    ),
    "neither the leader nor this node has the state service": (
        {"peers": {"n1": peer_status(state_age=6)}, "state_age": s(6)},
        False,
    ),
    # Without a delay, the term moved needlessly in a scenario without failures: a new worker reported to this
    # node first.
    "a first worker has just reported to this node and none to the leader": (
        {"peers": {"n1": peer_status(workers=0)}, "workers": 1, "leader_without_workers_since": s(99.5)},
        False,
    ),
    # Combinations 56 and 282: the state service failed before five seconds had passed.
    "workers of the leader report to this node and none to the leader": (
        {
            "peers": {"n1": peer_status(workers=0)},
            "workers": 4,
            "switched_workers": 3,
            "leader_without_workers_since": s(98.8),
        },
        True,
    ),
    "workers have reported only to this node for 8 s": (
        {"peers": {"n1": peer_status(workers=0)}, "workers": 4, "leader_without_workers_since": s(92)},
        True,
    ),
    # one-has-every-link-kerlann: a new leader that no worker reached kept the term for 22 s.
    "a new leader has probed its machines without success, this node reaches some": (
        {
            "term_seen_at": s(98.9),
            "leader_reaches_no_workers_since": s(99.2),
            "reachability": ReachabilityState.REACHABLE,
            "peers": {"n1": peer_status(workers=0, reaches=False)},
        },
        True,
    ),
    "the leader has only just reported that it reaches none": (
        {
            "leader_reaches_no_workers_since": s(99.8),
            "reachability": ReachabilityState.REACHABLE,
            "peers": {"n1": peer_status(workers=0, reaches=False)},
        },
        False,
    ),
    "neither the leader nor this node reaches any worker": (
        {
            "leader_reaches_no_workers_since": s(92),
            "reachability": ReachabilityState.UNREACHABLE,
            "peers": {"n1": peer_status(workers=0, reaches=False)},
        },
        False,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_reason_to_raise(case: str) -> None:
    changes, raises = CASES[case]
    assert (reason_to_raise(election_state(**changes)) is not None) == raises


def test_nodes_try_to_raise_the_term_one_after_the_other() -> None:
    leader_ended = {"leader_session_alive": False, "peers": {"n1": peer_status(age=7)}, "term_seen_at": s(99.9)}
    assert reason_to_raise(election_state(**leader_ended, node="n2")) is not None
    assert reason_to_raise(election_state(**leader_ended, node="n3")) is None


def test_nodes_that_reach_workers_raise_the_term_first() -> None:
    """The leader loses the state service, and only n4 is known to reach the workers.

    one-has-every-link-kerlann: another node raised the term, and all 1,900 tasks were killed by their leases
    although n4 had every link.
    """
    state_lost = {"term_seen_at": s(50), "live_nodes": ["n1", "n2", "n3", "n4"]}
    reachability = {"n2": False, "n3": None, "n4": True}
    states = {False: ReachabilityState.UNREACHABLE, None: ReachabilityState.UNKNOWN, True: ReachabilityState.REACHABLE}

    def raises_term(node: str, after: float) -> bool:
        peers = {other: peer_status(workers=0, reaches=reachability[other]) for other in reachability if other != node}
        peers["n1"] = peer_status(state_age=4 + after)
        return (
            reason_to_raise(
                election_state(**state_lost, node=node, peers=peers, reachability=states[reachability[node]])
            )
            is not None
        )

    assert [raises_term(node, 0.2) for node in reachability] == [False, False, True]
    assert [raises_term(node, 0.7) for node in reachability] == [False, True, True]
    assert [raises_term(node, 1.2) for node in reachability] == [True, True, True]


def test_reachability_becomes_unknown_without_recent_evidence() -> None:
    contacts = WorkerContacts()
    reachability = WorkerReachability(contacts)
    states = [reachability.update(s(0)).value]
    contacts.add("m1", "10.0.0.1:1", (1, 1), 3, s(1))
    for second, record_round in [
        (1.0, None),
        (3.0, None),
        (3.5, reachability.record_unanswered_round),
        (4.0, reachability.record_unanswered_round),
    ]:
        if record_round is not None:
            record_round(s(second))
        states.append(reachability.update(s(second)).value)
    reachability.record_answer(s(5))
    states.append(reachability.state.value)
    reachability.record_unanswered_round(s(5.5))  # a single round without an answer does not count yet
    states += [reachability.update(s(5.5)).value, reachability.update(s(7)).value]
    assert states == ["unknown", "reachable", "unknown", "unknown", "unreachable", "reachable", "reachable", "unknown"]


def test_latest_settled_process_raises_the_term_first() -> None:
    """When all controllers are restarted one after the other, the term goes to one that was restarted already.

    kerlann-fonts-fleet restart: the term went to the node that was restarted next, four times.
    """
    leader_ended = {"leader_session_alive": False, "term_seen_at": s(99.9), "live_nodes": ["n1", "n2", "n3", "n4"]}

    def raises_term(node: str, process_starts: dict[str, float]) -> bool:
        peers = {"n1": peer_status(age=7)}
        for other, started_s in process_starts.items():
            peers[other] = PeerStatus(NOW - s(0.2), 4, False, s(0.1), 0, process_started=s(started_s))
        own = peers.pop(node).process_started
        return reason_to_raise(election_state(**leader_ended, node=node, peers=peers, started=own)) is not None

    all_old = {"n2": 0.0, "n3": 0.3, "n4": 0.1}
    assert [raises_term(node, all_old) for node in all_old] == [True, False, False]
    one_restarted = {"n2": 0.0, "n3": 0.3, "n4": 80.0}
    assert [raises_term(node, one_restarted) for node in one_restarted] == [False, False, True]
    one_just_started = {"n2": 0.0, "n3": 70.0, "n4": 98.0}
    assert [raises_term(node, one_just_started) for node in one_just_started] == [False, True, False]


def test_cancelled_task_ends_in_time_on_a_partitioned_worker() -> None:
    """A worker partitioned after the last answer under the leader's authority loses its lease before cancel_s."""
    for lease, cancel in ((18, 43), (16, 36), (5, 12), (18, 20), (18, 18.6), (4, 4.2)):
        workers = WorkerFacts(report_s=2, lease_s=lease, cancel_s=cancel)
        assert authority_duration(workers) + s(lease * 1.001) < s(cancel)
        assert settling_time(workers) > authority_duration(workers) + s(lease)


def test_too_short_cancel_limit_is_reported() -> None:
    """Settings under which the leader cannot read the state service often enough get an error text.

    With a minimum of 1 s for the authority (L), the bound for cancellations did not hold where cancel_s is hardly
    longer than lease_s.
    """

    def verdict(cancel: float, rps: float = 100, size: int = 3) -> str | None:
        state = StateFacts(rps=rps, write_rps=25, value_kb=8, txn_ops=12)
        workers = WorkerFacts(report_s=2, lease_s=18, cancel_s=cancel)
        return cancel_limit_problem(Facts(workers, state, CloudFacts(rps=5), size))

    assert verdict(43) is None
    assert verdict(18.5) is None  # reads ten times a second
    assert "facts.workers.cancel_s" in (verdict(18.2) or "")
    assert "facts.workers.cancel_s" in (verdict(18.5, rps=30, size=7) or "")


def test_leader_resigns_only_once_a_peer_dispatches() -> None:
    """A leader that resigns too late or too early leaves workers without a leader that may command them.

    Too late, on kerlann-fonts rough: a leader without the state service kept all workers for 22 s away from its
    successor. Too early, on kerlann-fonts-fleet loss: a leader resigned before it had a successor, and the peer
    that should have followed lost the state service as well.
    """
    leading: dict[str, object] = {"leader": "n2", "leader_is_this_process": True}
    peer = PeerStatus(NOW - s(0.2), 4, False, s(0.1), 0)
    peer_without_state = PeerStatus(NOW - s(0.2), 5, False, s(5), 0)
    successor = PeerStatus(NOW - s(0.2), 5, True, s(0.1), 3)
    assert reason_to_resign(election_state(**leading, peers={"n1": peer})) is None
    assert reason_to_resign(election_state(**leading, peers={"n1": peer}, state_age=s(9))) is None
    assert reason_to_resign(election_state(**leading, peers={"n1": peer_without_state}, state_age=s(9))) is None
    assert reason_to_resign(election_state(**leading, peers={"n1": successor})) is not None
    assert reason_to_resign(election_state(**leading, peers={"n1": successor}, state_age=s(9))) is not None


def test_machines_that_receive_nothing_are_no_evidence() -> None:
    """Such machines try all controllers in turn forever, and duplicates of their reports arrive late and out of order.

    Only workers that report to this node and answer a probe are evidence that the leader is gone.
    """
    contacts = WorkerContacts()
    for number in range(100):
        for order in ((1, 9), (1, 5), (1, 9)):
            contacts.add(f"m{number}", "10.0.0.9:1", order, 4, s(1))
    assert (contacts.recent_count(s(1)), contacts.switched_count(4), contacts.responsive_switched_count(4)) == (
        100,
        100,
        0,
    )
    assert len(contacts.unprobed(8)) == 8
    contacts.record_probe_answer("m99", (1, 10))
    contacts.record_probe_answer("m200", (1, 10))  # it has not reported to this node
    contacts.record_probe_answer("m98", (1, 30))  # its report was a late duplicate: it now reports to another node
    assert (
        contacts.responsive_switched_count(4),
        contacts.responsive_switched_count(5),
        contacts.responsive_count(s(1)),
    ) == (1, 0, 1)
    contacts.add("m7", "10.0.0.9:1", (1, 8), 5, s(3))  # an old duplicate does not count as a contact
    assert (contacts.last_report_at, contacts.recent_count(s(4.5)), contacts.responsive_count(s(4.5))) == (s(1), 0, 0)


def test_worker_counts_once_with_its_latest_token() -> None:
    contacts = WorkerContacts()
    for second, machine, token in [(0, "m1", 3), (1, "m2", 4), (2, "m1", 4), (2, "m3", 3)]:
        contacts.add(machine, "10.0.0.9:1", (1, second + 1), token, timedelta(seconds=second))
        contacts.record_probe_answer(machine, (1, second + 2))
    assert (contacts.recent_count(timedelta(seconds=2)), contacts.responsive_switched_count(4)) == (3, 2)
    assert (contacts.recent_count(timedelta(seconds=4.5)), contacts.responsive_switched_count(4)) == (2, 1)
    assert (contacts.recent_count(timedelta(seconds=9)), contacts.responsive_switched_count(0)) == (0, 0)
