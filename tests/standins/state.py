"""Stand-in for the state service."""

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from gingerspar.transport.server import Answer, Request, Server


def answer(status: int, body: Any) -> Answer:
    return Answer(status, msgspec.json.encode(body))


CLIENT_TIMEOUT_S = 12.0  # no client waits longer than this for a response
MAX_TRANSACTION_BYTES = 64 * 1024


class StateService:
    """Versioned keys, transactions, leases and change events, in memory, with failures that tests can switch on."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.max_changes, self.max_value_bytes = 16, 16 * 1024  # in one transaction, of one value
        self.rejected: list[str] = []  # why transactions got 400; a controller must send none of these
        self.down = False
        self.refused_nodes: set[str] = set()  # nodes whose requests get 503
        self.response_delay: Callable[[], float] = lambda: 0.0  # seconds before a request is handled
        # Seconds by which a transaction is delayed, given its writes. Its sender may time out before; 0: no delay.
        self.commit_delay: Callable[[list[dict[str, Any]]], float] = lambda writes: 0.0
        # Whether a transaction is carried out but its response is lost, given its writes.
        self.drops_response: Callable[[list[dict[str, Any]]], bool] = lambda writes: False
        self.on_term_change: Callable[[], None] = lambda: None  # called when the term record has been written
        self.violations: list[str] = []  # writes that no controller may make, however late they arrive
        self.machines_with_tasks: Callable[[], set[str]] = set  # names of the machines that have tasks
        self.servers: list[Server] = []
        self.rejects_key: Callable[[str], bool] = lambda key: False  # whether transactions that write it get 400
        # Replaces transactions that write the term record; given the node and a function that commits the transaction.
        self.on_term_write: Callable[[str, Callable[[], Answer]], Awaitable[Answer]] | None = None

    def listen(self, port: int, node: str) -> None:
        """Each node has its own port, so that requests of a single node can be refused."""

        async def handle(request: Request) -> Answer:
            return await self.handle(request, node)

        self.servers.append(Server(handle))
        self.servers[-1].listen(port, "127.0.0.1")

    def stop(self) -> None:
        for server in self.servers:
            server.stop()

    async def handle(self, request: Request, node: str) -> Answer:
        await asyncio.sleep(self.response_delay())
        if self.down or node in self.refused_nodes:
            return answer(503, {"error": "trouble"})
        self.expire()
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        if request.path == "/commit":
            body = msgspec.json.decode(request.body)
            if error := self.limit_violation(body, len(request.body)):
                self.rejected.append(error)
                return answer(400, {"error": error})
            if self.on_term_write is not None and any(
                write.get("Put") == "gs/term" for write in body.get("Writes", [])
            ):
                return await self.on_term_write(node, lambda: self.commit(body))
            delay_s = self.commit_delay(body.get("Writes", []))
            if delay_s > 0:
                await asyncio.sleep(delay_s)  # the sender may have timed out meanwhile
                self.expire()
            response = self.commit(body)
            if self.drops_response(body.get("Writes", [])):
                await asyncio.sleep(CLIENT_TIMEOUT_S)
            return response
        if request.path == "/changes":
            since = int(query["Since"])
            found = [e for e in self.events if e["Stamp"] > since and self._key(e).startswith(query["Prefix"])]
            return answer(200, {"Epoch": self.revision, "Events": found})
        if request.path == "/keys":
            return self.page(query)
        if request.path == "/grants":
            seconds = msgspec.json.decode(request.body)["TtlMs"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (seconds, self.now() + seconds)
            return answer(200, {"Hold": lease})
        if request.path.endswith("/extend"):
            lease = int(request.path.split("/")[2])
            if lease not in self.leases:
                return answer(404, {})
            seconds = self.leases[lease][0]
            self.leases[lease] = (seconds, self.now() + seconds)
            return answer(200, {})
        return answer(404, {"Epoch": self.revision})

    @staticmethod
    def now() -> float:
        return asyncio.get_running_loop().time()

    @staticmethod
    def _key(event: dict[str, Any]) -> str:
        return event.get("Put") or event["Remove"]

    def expire(self) -> None:
        expired_leases = {lease for lease, (_, end) in self.leases.items() if end < self.now()}
        for lease in expired_leases:
            del self.leases[lease]
        expired_keys = [key for key, (_, _, lease) in self.keys.items() if lease in expired_leases]
        if expired_keys:
            self.revision += 1
            for key in expired_keys:
                del self.keys[key]
                self.events.append({"Remove": key, "Stamp": self.revision})

    def page(self, query: dict[str, str]) -> Answer:
        page_size = int(query.get("Most", 1000))
        since = query.get("Since", "")
        names = sorted(key for key in self.keys if key.startswith(query["Prefix"]) and key > since)
        rows = [{"K": key, "Data": self.keys[key][0], "Stamp": self.keys[key][1]} for key in names[:page_size]]
        return answer(200, {"Rows": rows, "Truncated": len(names) > page_size, "Epoch": self.revision})

    def limit_violation(self, body: dict[str, Any], size: int) -> str:
        """Which limit for transactions is exceeded by this one, of ``size`` bytes; empty if none is."""
        writes, conditions = body.get("Writes", []), body.get("If", [])
        if size > MAX_TRANSACTION_BYTES:
            return f"transaction of {size} bytes"
        if len(writes) > self.max_changes or len(conditions) > 4 * self.max_changes:
            return f"{len(writes)} changes, {len(conditions)} conditions"
        for write in writes:
            value_bytes = len(msgspec.json.encode(write["Data"])) if "Put" in write else 0
            if value_bytes > self.max_value_bytes or self.rejects_key(write.get("Put", "")):
                return f"value of {value_bytes} bytes for {write['Put']}"
        return ""

    def commit(self, body: dict[str, Any]) -> Answer:
        failed = [c["K"] for c in body.get("If", []) if self.keys.get(c["K"], (None, 0, None))[1] != c["Stamp"]]
        if failed:
            return answer(409, {"failed": failed, "Epoch": self.revision})
        writes = body.get("Writes", [])
        if any(w.get("Hold") is not None and w["Hold"] not in self.leases for w in writes):
            return answer(400, {"error": "no such lease"})
        self.revision += bool(writes)
        for write in writes:
            self.check_write(write)
            if "Put" in write:
                self.keys[write["Put"]] = (write["Data"], self.revision, write.get("Hold"))
                self.events.append({"Put": write["Put"], "Data": write["Data"], "Stamp": self.revision})
                if write["Put"] == "gs/term":
                    self.on_term_change()
            elif self.keys.pop(write["Remove"], None) is not None:
                self.events.append({"Remove": write["Remove"], "Stamp": self.revision})
        return answer(200, {"Epoch": self.revision})

    def check_write(self, write: dict[str, Any]) -> None:
        """Records a violation if the write undoes a newer one, as a write that is carried out late could."""
        key = write.get("Put") or write["Remove"]
        old, new = self.keys.get(key, (None, 0, None))[0], write.get("Data")
        if old is None:
            return
        if key.startswith("gs/j/"):
            if new is None or old["status"] in ("done", "aborted"):
                self.violations.append(f"{key} was {old['status']} and changes")
            elif new["status"] not in ("done", "aborted"):
                if new.get("attempt", 0) < old.get("attempt", 0):
                    self.violations.append(f"{key}: attempt {old['attempt']} -> {new.get('attempt', 0)}")
                if old["status"] == new["status"] == "running" and old["claimant"] != new["claimant"]:
                    self.violations.append(f"{key}: claim taken from {old['claimant']}")
                if finished_bits(old) & ~finished_bits(new):
                    self.violations.append(f"{key} loses finished tasks")
        elif key == "gs/term" and (new is None or new["term"] <= old["term"]):
            self.violations.append(f"{key}: {old} -> {new}")
        elif key.startswith("gs/n/") and new is not None and new["lease"] < old["lease"]:
            self.violations.append(f"{key}: overwritten by an older session")
        elif key.startswith("gs/r/"):
            lost = self.machines_with_tasks() & set(old["names"]) - set(new["names"] if new is not None else ())
            if lost:
                self.violations.append(f"{key} loses {sorted(lost)}")


def finished_bits(record: dict[str, Any]) -> int:
    """The finished tasks of a job record, one bit for each task."""
    return int.from_bytes(base64.b64decode(record.get("finished", "")), "little")
