"""Stand-in for the state service, with the limits of the protocol."""

import asyncio
import bisect
import json
import time
from typing import Any
from urllib.parse import parse_qs, unquote

from review.common2.http import HttpServer

KEPT_CHANGES = 10_000
PAGE_ITEMS, PAGE_BYTES = 1000, 512 * 1024
MAX_TRANSACTION_BYTES = 64 * 1024


class _Rate:
    """A limit per second that allows bursts of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate, self._level, self._at = rate, rate, time.monotonic()

    def take(self, units: int) -> bool:
        now = time.monotonic()
        self._level, self._at = min(self._rate, self._level + (now - self._at) * self._rate), now
        if self._level < units:
            return False
        self._level -= units
        return True


class StateService:
    """Keys with versions, transactions, leases and changes, in memory."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self.keys: dict[str, tuple[bytes, int, int | None]] = {}
        self.revision = 0
        self.events: list[tuple[int, str, bytes | None]] = []
        self.leases: dict[int, list[float]] = {}  # number -> duration, end
        self.last_lease = 0
        self.latency_s = 0.006
        self.down = False
        self.refused_count = 0  # answers with 429
        self._requests, self._writes = _Rate(rps), _Rate(write_rps)
        self._value_bytes, self._txn_ops = int(value_kb * 1024), txn_ops
        self._sorted: list[str] | None = None
        self.server = HttpServer(self.handle)

    def value(self, key: str) -> Any:
        entry = self.keys.get(key)
        return None if entry is None else json.loads(entry[0])

    def _set(self, key: str, data: bytes | None, lease: int | None) -> None:
        if data is None:
            if self.keys.pop(key, None) is None:
                return
            self._sorted = None
        else:
            if key not in self.keys:
                self._sorted = None
            self.keys[key] = (data, self.revision, lease)
        self.events.append((self.revision, key, data))
        if len(self.events) > 2 * KEPT_CHANGES:
            del self.events[:KEPT_CHANGES]

    def forget_changes(self) -> None:
        """After a change of ``keys`` from outside: all earlier changes count as too old to be kept."""
        self.events.clear()
        self._sorted = None

    def _expire(self) -> None:
        now = time.monotonic()
        for number in [number for number, (_, end) in self.leases.items() if end < now]:
            del self.leases[number]
            attached = [key for key, (_, _, lease) in self.keys.items() if lease == number]
            if attached:
                self.revision += 1
            for key in attached:
                self._set(key, None, None)

    async def handle(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        await asyncio.sleep(self.latency_s)
        if self.down:
            return 503, {"error": "trouble"}
        self._expire()
        if not self._requests.take(1):
            self.refused_count += 1
            return 429, {"error": "too many requests"}
        path, _, query_text = target.partition("?")
        query = {name: values[0] for name, values in parse_qs(query_text).items()}
        if method == "POST" and path == "/commit":
            return self._commit(body)
        if method == "POST" and path == "/grants":
            self.last_lease += 1
            duration = json.loads(body)["TtlMs"] / 1000
            self.leases[self.last_lease] = [duration, time.monotonic() + duration]
            return 200, {"Hold": self.last_lease}
        if path.startswith("/grants/"):
            number = int(path.split("/")[2])
            if number not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.leases[number][1] = 0.0
                self._expire()
                return 200, {}
            self.leases[number][1] = time.monotonic() + self.leases[number][0]
            return 200, {"Hold": number}
        if path == "/keys":
            return 200, self._page(query)
        if path.startswith("/keys/"):
            key = unquote(path[len("/keys/") :])
            if key not in self.keys:
                return 404, {"Epoch": self.revision}
            return 200, b'{"K":%b,"Data":%b,"Stamp":%d}' % (
                json.dumps(key).encode(), self.keys[key][0], self.keys[key][1],
            )  # fmt: skip
        if path == "/changes":
            return await self._changes(query)
        return 400, {"error": "malformed"}

    def _page(self, query: dict[str, str]) -> bytes:
        if self._sorted is None:
            self._sorted = sorted(self.keys)
        prefix, since = query.get("Prefix", ""), query.get("Since", "")
        start = max(bisect.bisect_left(self._sorted, prefix), bisect.bisect_right(self._sorted, since))
        limit = min(int(query.get("Most", PAGE_ITEMS)), PAGE_ITEMS)
        rows: list[bytes] = []
        size, more = 0, False
        for index in range(start, len(self._sorted)):
            key = self._sorted[index]
            if not key.startswith(prefix):
                break
            data, version, _ = self.keys[key]
            row = b'{"K":%b,"Data":%b,"Stamp":%d}' % (json.dumps(key).encode(), data, version)
            if len(rows) == limit or (rows and size + len(row) > PAGE_BYTES - 100):
                more = True
                break
            rows.append(row)
            size += len(row) + 1
        return b'{"Rows":[%b],"Truncated":%b,"Epoch":%d}' % (
            b",".join(rows), b"true" if more else b"false", self.revision,
        )  # fmt: skip

    async def _changes(self, query: dict[str, str]) -> tuple[int, Any]:
        since, prefix = int(query.get("Since", 0)), query.get("Prefix", "")
        oldest = self.revision - KEPT_CHANGES
        if since < oldest and (not self.events or self.events[0][0] > since + 1):
            return 410, {}
        end = time.monotonic() + int(query.get("HoldMs", 0)) / 1000
        while True:
            found: list[bytes] = []
            for revision, key, data in reversed(self.events):
                if revision <= since:
                    break
                if key.startswith(prefix):
                    name = json.dumps(key).encode()
                    found.append(
                        b'{"Remove":%b,"Stamp":%d}' % (name, revision)
                        if data is None
                        else b'{"Put":%b,"Data":%b,"Stamp":%d}' % (name, data, revision)
                    )
            if found or time.monotonic() >= end:
                return 200, b'{"Epoch":%d,"Events":[%b]}' % (self.revision, b",".join(reversed(found)))
            await asyncio.sleep(0.02)

    def _commit(self, body: bytes) -> tuple[int, Any]:
        transaction = json.loads(body)
        conditions, writes = transaction.get("If") or [], transaction.get("Writes") or []
        if len(body) > MAX_TRANSACTION_BYTES or len(writes) > self._txn_ops or len(conditions) > 4 * self._txn_ops:
            return 400, {"error": "transaction too large"}
        encoded = [json.dumps(w["Data"], separators=(",", ":")).encode() if "Put" in w else None for w in writes]
        if any(data is not None and len(data) > self._value_bytes for data in encoded):
            return 400, {"error": "value too large"}
        if writes and not self._writes.take(len(writes)):
            self.refused_count += 1
            return 429, {"error": "too many changes"}
        if any(w.get("Hold") is not None and w["Hold"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        failed = [c["K"] for c in conditions if (self.keys[c["K"]][1] if c["K"] in self.keys else 0) != c["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Epoch": self.revision}
        if writes:
            self.revision += 1
            for write, data in zip(writes, encoded, strict=True):
                self._set(write["Put"] if data is not None else write["Remove"], data, write.get("Hold"))
        return 200, {"Epoch": self.revision}
