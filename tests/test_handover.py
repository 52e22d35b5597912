"""Claims of a node that has resigned as leader."""

from typing import Any

from gingerspar.controller import Controller
from gingerspar.protocol.messages import JobStatus, parse_job
from gingerspar.protocol.settings import OperatorSettings, parse_settings
from gingerspar.storage.records import Claimant, JobRecord, TermRecord
from tests.standins.cluster import Cluster, job


def test_claim_made_after_resigning_is_not_sent_to_the_node_itself() -> None:
    """kerlann-fonts-grown hunt: the term record named this node; it sent itself the claim and its process ended."""
    controller = Controller(parse_settings(Cluster().settings("n0")), OperatorSettings())
    controller._view.term = (TermRecord(3, "n0", 7), 9)
    sent: list[Any] = []
    link: Any = controller._link
    outgoing = link._outgoing["n1"]
    outgoing.send = lambda frame: bool(sent.append(frame)) or True
    record = JobRecord(parse_job(job(1)), JobStatus.RUNNING, 1, Claimant("n0", 7))
    controller._hand_over("wk-000001", 11, record)
    assert not sent
    controller._view.term = (TermRecord(4, "n1", 8), 12)
    controller._hand_over("wk-000001", 11, record)
    assert len(sent) == 1
    assert not link.send("n0", b"to itself")
    assert not link.is_up("nobody")
