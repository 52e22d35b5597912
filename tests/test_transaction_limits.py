"""Limits of the state service for one transaction: no write is refused for good, and none holds up the others."""

import asyncio
import logging

import pytest

from gingerspar.protocol.messages import KeyVersion, Put, Transaction
from gingerspar.storage import records
from gingerspar.storage.budgets import Urgency
from gingerspar.storage.client import Rejected, StateClient
from gingerspar.storage.records import LivenessRecord
from gingerspar.transport.clock import Clock
from gingerspar.transport.server import Answer, Request, Server
from tests.standins.worker import free_port


async def _commit_rejected_by_service() -> int:
    """Commits twice to a service that answers 400; returns the number of rejections that the client has counted."""

    async def reject(request: Request) -> Answer:
        return Answer(400, b'{"error":"transaction larger than 64 KiB"}')

    server, port = Server(reject), free_port()
    server.listen(port, "127.0.0.1")
    client = StateClient(f"127.0.0.1:{port}", Clock(), rps=100, write_rps=25, txn_ops=16, value_bytes=8192, nodes=1)
    put = Put(records.job_key("wk-000001"), records.pack(LivenessRecord(1)))
    transaction = Transaction([KeyVersion(put.key, 1)], [put])
    try:
        for _ in range(2):
            with pytest.raises(Rejected):
                await client.commit(transaction, Urgency.USER)
    finally:
        server.stop()
    return client.rejected_count


def test_rejected_transaction_is_logged_with_its_reason_and_count(caplog: pytest.LogCaptureFixture) -> None:
    """A sweep that was refused for good was logged at debug level only, with neither its size nor its records."""
    with caplog.at_level(logging.ERROR):
        assert asyncio.run(_commit_rejected_by_service()) == 2
    assert "2 since the start" in caplog.text
    assert "larger than 64 KiB" in caplog.text
    assert "gs/j/wk-000001" in caplog.text
