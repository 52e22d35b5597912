"""Stand-in of the state service."""

import asyncio
import base64
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qs

import msgspec

from gingerspar.transport.server import Answer, Request, Server


def answer(status: int, body: Any) -> Answer:
    return Answer(status, msgspec.json.encode(body))


GIVEN_UP = 12.0  # seconds after which nobody waits for an answer any more


class StateService:
    """Keys with versions, transactions, leases and changes; all in memory."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.events: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 1
        self.down = False
        self.refused: set[str] = set()  # nodes that alone get 503
        self.slow: Callable[[], float] = lambda: 0.0  # seconds that an answer takes
        # By how much later a transaction is carried out, unanswered; 0: at once. Given its writes.
        self.late: Callable[[list[dict[str, Any]]], float] = lambda writes: 0.0
        # Whether a transaction is carried out at once and only its answer is lost. Given its writes.
        self.unanswered: Callable[[list[dict[str, Any]]], bool] = lambda writes: False
        self.next_leader: Callable[[], None] = lambda: None  # called when the term has changed
        self.broken: list[str] = []  # changes that must never be, whoever sends them and however late
        self.on_machines: Callable[[], set[str]] = set  # machines with tasks
        self.servers: list[Server] = []
        # What is done with a raise of the term instead of carrying it out; given the node and the raise itself.
        self.on_raise: Callable[[str, Callable[[], Answer]], Awaitable[Answer]] | None = None

    def listen(self, port: int, node: str) -> None:
        """An address of its own for each node, so that one can be refused alone."""

        async def handle(request: Request) -> Answer:
            return await self.handle(request, node)

        self.servers.append(Server(handle))
        self.servers[-1].listen(port, "127.0.0.1")

    def stop(self) -> None:
        for server in self.servers:
            server.stop()

    async def handle(self, request: Request, node: str) -> Answer:
        await asyncio.sleep(self.slow())
        if self.down or node in self.refused:
            return answer(503, {"error": "trouble"})
        self.expire()
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        if request.path == "/commit":
            body = msgspec.json.decode(request.body)
            if self.on_raise is not None and any(write.get("Put") == "gs/term" for write in body.get("Writes", [])):
                return await self.on_raise(node, lambda: self.commit(body))
            late = self.late(body.get("Writes", []))
            if late > 0:
                await asyncio.sleep(late)  # its sender has given up meanwhile
                self.expire()
            done = self.commit(body)
            if self.unanswered(body.get("Writes", [])):
                await asyncio.sleep(GIVEN_UP)
            return done
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
        over = {lease for lease, (_, end) in self.leases.items() if end < self.now()}
        for lease in over:
            del self.leases[lease]
        gone = [key for key, (_, _, lease) in self.keys.items() if lease in over]
        if gone:
            self.revision += 1
            for key in gone:
                del self.keys[key]
                self.events.append({"Remove": key, "Stamp": self.revision})

    def page(self, query: dict[str, str]) -> Answer:
        most = int(query.get("Most", 1000))
        since = query.get("Since", "")
        names = sorted(key for key in self.keys if key.startswith(query["Prefix"]) and key > since)
        rows = [{"K": key, "Data": self.keys[key][0], "Stamp": self.keys[key][1]} for key in names[:most]]
        return answer(200, {"Rows": rows, "Truncated": len(names) > most, "Epoch": self.revision})

    def commit(self, body: dict[str, Any]) -> Answer:
        failed = [c["K"] for c in body.get("If", []) if self.keys.get(c["K"], (None, 0, None))[1] != c["Stamp"]]
        if failed:
            return answer(409, {"failed": failed, "Epoch": self.revision})
        writes = body.get("Writes", [])
        if any(w.get("Hold") is not None and w["Hold"] not in self.leases for w in writes):
            return answer(400, {"error": "no such lease"})
        self.revision += bool(writes)
        for write in writes:
            self.check(write)
            if "Put" in write:
                self.keys[write["Put"]] = (write["Data"], self.revision, write.get("Hold"))
                self.events.append({"Put": write["Put"], "Data": write["Data"], "Stamp": self.revision})
                if write["Put"] == "gs/term":
                    self.next_leader()
            elif self.keys.pop(write["Remove"], None) is not None:
                self.events.append({"Remove": write["Remove"], "Stamp": self.revision})
        return answer(200, {"Epoch": self.revision})

    def check(self, write: dict[str, Any]) -> None:
        """What a change that is carried out late, after newer ones, would undo."""
        key = write.get("Put") or write["Remove"]
        old, new = self.keys.get(key, (None, 0, None))[0], write.get("Data")
        if old is None:
            return
        if key.startswith("gs/j/"):
            if new is None or old["status"] in ("done", "aborted"):
                self.broken.append(f"{key} was {old['status']} and changes")
            elif new["status"] not in ("done", "aborted"):
                if new.get("attempt", 0) < old.get("attempt", 0):
                    self.broken.append(f"{key}: attempt {old['attempt']} -> {new.get('attempt', 0)}")
                if old["status"] == new["status"] == "running" and old["claimant"] != new["claimant"]:
                    self.broken.append(f"{key} is taken from {old['claimant']}")
                if bits(old) & ~bits(new):
                    self.broken.append(f"{key} forgets finished tasks")
        elif key == "gs/term" and (new is None or new["term"] <= old["term"]):
            self.broken.append(f"{key}: {old} -> {new}")
        elif key.startswith("gs/n/") and new is not None and new["lease"] < old["lease"]:
            self.broken.append(f"{key}: an older session")
        elif key.startswith("gs/r/"):
            lost = self.on_machines() & set(old["names"]) - set(new["names"] if new is not None else ())
            if lost:
                self.broken.append(f"{key} loses {sorted(lost)}")


def bits(record: dict[str, Any]) -> int:
    return int.from_bytes(base64.b64decode(record.get("finished", "")), "little")
