"""Stand-ins of the state service, the cloud and the workers for the review's cases, with the standard library alone.

They do what PROTOCOL says: limits of the state service (64 KiB a transaction, ``txn_ops`` changes, ``value_kb``,
requests and changes a second), leases, the last 10,000 changes; machines with a boot time, images, sessions, tokens
and leases of workers. All addresses are on loopback. A ``Platform`` runs them in one process and starts the controllers
as processes of their own, with the commands of ``deploy/service.toml``.
"""

import asyncio
import bisect
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NODES = ("hearth-0", "hearth-1", "hearth-2")
MAX_TXN_BYTES = 64 * 1024
KEPT_CHANGES = 10_000
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Service Unavailable"}


def free_port():
    """A free loopback port; each is used once, and below the range of the system's client ports."""
    global _next_port
    while True:
        _next_port += 1
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, _next_port))
            return _next_port


_next_port = 11_000 + os.getpid() % 90 * 200


def without_paths(line):
    """The log line without the folders of this machine."""
    return line.replace(f"{ROOT}/", "").replace(sys.base_prefix, "PYTHON")


# -- HTTP ----------------------------------------------------------------------


async def read_message(reader):
    """The first line, the headers and the body of an HTTP message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    length = int(headers.get("content-length", "0"))
    try:
        return first, headers, await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


class HttpServer:
    """Serves ``handle(method, path, query, body)``, which returns a status and an object, or None for no answer."""

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self._writers = set()

    async def listen(self, port):
        self._server = await asyncio.start_server(self._serve, HOST, port, limit=2**20, backlog=512)

    def close(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ")
                path, _, query = target.partition("?")
                values = {name: items[0] for name, items in parse_qs(query).items()}
                answer = await self._handle(method, unquote(path), values, body)
                if answer is None:
                    await reader.read()  # no answer: the connection stays open until the caller gives up
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def http_request(port, method, path, content=None, timeout=5.0, raw=None):
    """Status and decoded body of the answer; ``(0, None)`` if the connection fails or no answer comes in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(HOST, port, limit=2**20)
            data = raw if raw is not None else b"" if content is None else json.dumps(content).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {HOST}:{port}\r\nConnection: close\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                + data
            )
            message = await read_message(reader)
            if message is None:
                return 0, None
            return int(message[0].split(" ")[1]), json.loads(message[2] or b"null")
    except (OSError, TimeoutError, ValueError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


# -- state service ---------------------------------------------------------------


class Bucket:
    """A rate with a burst of one second's worth."""

    def __init__(self, rate):
        self._rate, self._level, self._at = rate, rate, time.monotonic()

    def take(self, units):
        now = time.monotonic()
        self._level = min(self._rate, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < units:
            return False
        self._level -= units
        return True


class StateService:
    """Versioned keys, transactions, leases and changes, with the limits of the settings."""

    def __init__(self, record, rps=100.0, write_rps=25.0, value_kb=32.0, txn_ops=16):
        self.record = record
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self._requests, self._writes = Bucket(rps), Bucket(write_rps)
        self.keys = {}  # key -> (value, version, lease)
        self.epoch = 0
        self._events, self._stamps = [], []
        self._compacted = 0  # changes up to this revision are no longer kept
        self.leases = {}  # lease -> (seconds, end)
        self._last_lease = 0
        self.delay = None  # optional: async function of (node, path) called before a request is handled
        self.refused = []  # (status, error, bytes) of commits refused with 400

    def put(self, key, value, lease=None):
        self.epoch += 1
        self._put(key, value, lease)

    def _put(self, key, value, lease):
        self.keys[key] = (value, self.epoch, lease)
        self._add_event({"Put": key, "Data": value, "Stamp": self.epoch})

    def _add_event(self, event):
        self._events.append(event)
        self._stamps.append(event["Stamp"])
        if len(self._events) > KEPT_CHANGES + 1000:
            self._compacted = self._stamps[-KEPT_CHANGES - 1]
            del self._events[:-KEPT_CHANGES], self._stamps[:-KEPT_CHANGES]

    def expire(self):
        now = time.monotonic()
        for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, entry in self.keys.items() if entry[2] == lease]
        if gone:
            self.epoch += 1
        for key in gone:
            del self.keys[key]
            self._add_event({"Remove": key, "Stamp": self.epoch})

    def handler(self, node):
        async def handle(method, path, query, body):
            if self.delay is not None:
                await self.delay(node, path)
            self.expire()
            if not self._requests.take(1):
                return 429, {"error": "too many requests"}
            return self._answer(method, path, query, body)

        return handle

    def _answer(self, method, path, query, body):
        if path == "/commit":
            return self._commit(body)
        if path == "/changes":
            since = int(query.get("Since", "0"))
            if since < self._compacted:
                return 410, {"error": "compacted"}
            start = bisect.bisect_right(self._stamps, since)
            prefix = query.get("Prefix", "")
            events = [e for e in self._events[start:] if (e.get("Put") or e.get("Remove")).startswith(prefix)]
            return 200, {"Epoch": self.epoch, "Events": events}
        if path == "/keys":
            return self._page(query)
        if path.startswith("/keys/"):
            key = path[len("/keys/") :]
            if key not in self.keys:
                return 404, {"Epoch": self.epoch}
            value, version, lease = self.keys[key]
            return 200, {"K": key, "Data": value, "Stamp": version, "Hold": lease}
        if path == "/grants":
            seconds = json.loads(body)["TtlMs"] / 1000
            self._last_lease += 1
            self.leases[self._last_lease] = (seconds, time.monotonic() + seconds)
            return 200, {"Hold": self._last_lease}
        if path.startswith("/grants/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                self._end_lease(lease)
            else:
                seconds = self.leases[lease][0]
                self.leases[lease] = (seconds, time.monotonic() + seconds)
            return 200, {}
        return 400, {"error": "malformed"}

    def _page(self, query):
        prefix, since, most = query.get("Prefix", ""), query.get("Since", ""), min(int(query.get("Most", 1000)), 1000)
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > since)
        rows, size = [], 0
        for key in names[:most]:
            row = {"K": key, "Data": self.keys[key][0], "Stamp": self.keys[key][1]}
            size += len(json.dumps(row))
            if rows and size > 512 * 1024:
                break
            rows.append(row)
        return 200, {"Rows": rows, "Truncated": len(rows) < len(names), "Epoch": self.epoch}

    def _refuse(self, error, size):
        self.refused.append((error, size))
        if len(self.refused) <= 20:
            self.record(f"state service: commit of {size} bytes refused with 400: {error}")
        return 400, {"error": error}

    def _commit(self, body):
        transaction = json.loads(body)
        conditions, writes = transaction.get("If") or [], transaction.get("Writes") or []
        if len(body) > MAX_TXN_BYTES:
            return self._refuse("transaction larger than 64 KiB", len(body))
        if len(writes) > self.txn_ops or len(conditions) > 4 * self.txn_ops:
            return self._refuse("too many changes or conditions", len(body))
        if any(len(json.dumps(w["Data"], separators=(",", ":"))) > self.value_bytes for w in writes if "Put" in w):
            return self._refuse("value too large", len(body))
        if not self._writes.take(len(writes)):
            return 429, {"error": "too many changes"}
        failed = [c["K"] for c in conditions if self.keys.get(c["K"], (None, 0, None))[1] != c["Stamp"]]
        if any(w.get("Hold") is not None and w["Hold"] not in self.leases for w in writes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "Epoch": self.epoch}
        self.epoch += bool(writes)
        for write in writes:
            if "Put" in write:
                self._put(write["Put"], write["Data"], write.get("Hold"))
            elif write["Remove"] in self.keys:
                del self.keys[write["Remove"]]
                self._add_event({"Remove": write["Remove"], "Stamp": self.epoch})
        return 200, {"Epoch": self.epoch}


# -- cloud and workers -------------------------------------------------------------


class Worker:
    """One machine and its worker. Tasks are of arrays: each runs for ``platform.run_s(job)`` once its image is here."""

    def __init__(self, platform, name, build, hall, spot):
        self.platform, self.name, self.build, self.hall, self.spot = platform, name, build, hall, spot
        self.port = free_port()
        self.session, self.tick, self.token = 1, 0, 0
        self.tasks = {}  # (piece, attempt) -> report entry
        self._timers = {}
        self._images = {}  # bundle -> time at which it is here
        self.up = False
        self._node = 0
        self._changed = asyncio.Event()
        self._answered = 0.0
        self._server = HttpServer(self._handle)
        self._loops = [asyncio.ensure_future(self._run())]

    def stop(self):
        for loop in self._loops:
            loop.cancel()
        self._drop("machine gone")
        self._server.close()

    def _drop(self, why):
        for key in list(self.tasks):
            if self.tasks[key]["Status"] != "ended":
                self.platform.record(f"{self.name}: {key[0]} attempt {key[1]} gone: {why}")
            self._cancel_timer(key)
        self.tasks.clear()

    def _cancel_timer(self, key):
        timer = self._timers.pop(key, None)
        if timer is not None:
            timer.cancel()

    def report(self):
        self.tick += 1
        return {
            "Host": self.name, "Endpoint": f"{HOST}:{self.port}", "Build": self.build, "Hall": self.hall,
            "Loaners": self.spot, "Stint": self.session, "Tick": self.tick, "Baton": self.token, "WarningS": None,
            "Pieces": list(self.tasks.values()),
        }  # fmt: skip

    async def _handle(self, method, path, query, body):
        if path == "/status":
            return 200, self.report()
        order = json.loads(body)
        if order["Baton"] < self.token or order["Stint"] != self.session:
            return 409, self.report()
        self._see_token(order["Baton"])
        self._execute(order["Orders"])
        return 200, self.report()

    def _see_token(self, token):
        if token > self.token:
            self.token = token
            self._changed.set()

    async def _run(self):
        await asyncio.sleep(self.platform.boot_s)
        await self._server.listen(self.port)
        self.up = True
        self._answered = time.monotonic()
        self._loops.append(asyncio.ensure_future(self._watch_lease()))
        nodes = list(self.platform.http.values())
        while True:
            sent, session = time.monotonic(), self.session
            status, answer = await http_request(nodes[self._node], "POST", "/hello", self.report(), timeout=4.0)
            if status == 200 and answer.get("Baton", -1) >= self.token:
                if session == self.session:
                    self._answered = sent
                    self._see_token(answer["Baton"])
                    self._execute(answer["Orders"])
            elif status == 421 and answer.get("Foreman") in NODES and NODES.index(answer["Foreman"]) != self._node:
                self._node = NODES.index(answer["Foreman"])
                continue
            elif status != 200:
                await asyncio.sleep(1.0)
                self._node = (self._node + 1) % len(nodes)
                continue
            await asyncio.sleep(0.5)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), max(self.platform.report_s - 0.5, 0.1))
            self._changed.clear()

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() - self._answered > self.platform.lease_s:
                self.platform.record(f"{self.name}: lease of session {self.session} has run out")
                self._drop("lease")
                self.session += 1
                self._answered = time.monotonic()
                self._changed.set()

    def _execute(self, orders):
        for order in orders:
            key = (order["Piece"], order["Try"])
            task = self.tasks.get(key)
            if order["Verb"] == "run" and task is None:
                self._start(key)
            elif order["Verb"] == "stop" and task is not None and task["Status"] != "ended":
                self._end(key, "stopped")
            elif order["Verb"] == "forget" and task is not None and task["Status"] == "ended":
                del self.tasks[key]
            self._changed.set()

    def _start(self, key):
        job = self.platform.jobs.get(key[0].partition("/")[0])
        self.tasks[key] = {"Piece": key[0], "Try": key[1], "Status": "fetching"}
        if job is None:
            self._end(key, "unknown")
            return
        now = time.monotonic()
        ready = self._images.setdefault(job["Bundle"], now + job["ImageGb"] / self.platform.pull_gb_per_s)
        self._timers[key] = asyncio.get_running_loop().call_later(max(ready - now, 0.0), self._begin, key, job)

    def _begin(self, key, job):
        self.tasks[key]["Status"] = "running"
        self.platform.task_started(self, key)
        self._timers[key] = asyncio.get_running_loop().call_later(self.platform.run_s(job), self._end, key, "done")
        self._changed.set()

    def _end(self, key, cause):
        self._cancel_timer(key)
        self.tasks[key] = {**self.tasks[key], "Status": "ended", "Cause": cause}
        self.platform.task_ended(self, key, cause)
        self._changed.set()


class Platform:
    """The stand-ins in this process, and the controllers, each a process of its own."""

    def __init__(self, record_path, *, teams=("red",), boot_s=2.0, fd_limit=1500, startup_s=2.0):
        self._record_file = open(record_path, "w", encoding="utf-8")  # noqa: SIM115  (closed by ``stop``)
        self._began = time.monotonic()
        self.boot_s, self.startup_s, self.pull_gb_per_s = boot_s, startup_s, 1.0
        self.report_s, self.lease_s, self.cancel_s = 2.5, 18.0, 43.0
        self.teams, self.fd_limit = teams, fd_limit
        self.http = {name: free_port() for name in NODES}
        self.peer = {name: free_port() for name in NODES}
        self.state_ports = {name: free_port() for name in NODES}
        self.cloud_port = free_port()
        self.state = StateService(self.record)
        self.jobs = {}  # as submitted, by Ref
        self.workers, self._rented, self._rented_at = {}, {}, {}
        self.done_pieces = {}  # job -> set of pieces
        self.started_pieces = {}  # job -> set of pieces
        self._servers = []
        self.processes = {}
        self.logs = {}
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.done_at = {}  # job -> when its latest task ended as done
        self.run_s = lambda job: max(job["GuessS"], 0.2)
        with open(ROOT / "deploy" / "service.toml", "rb") as file:
            self._command = tomllib.load(file)["run"].split()

    def record(self, text):
        self._record_file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._record_file.flush()

    async def start(self, nodes=NODES):
        for name, port in self.state_ports.items():
            self._servers.append(HttpServer(self.state.handler(name)))
            await self._servers[-1].listen(port)
        self._servers.append(HttpServer(self._cloud))
        await self._servers[-1].listen(self.cloud_port)
        for name in nodes:
            self.start_node(name)

    def settings(self, name):
        seeds = "".join(
            f'[[seeds]]\nhost_name = "{other}"\ndomain = "aber-west"\npeer_addr = "{HOST}:{self.peer[other]}"\n'
            for other in NODES
            if other != name
        )
        teams = "".join(
            f'[[facts.teams]]\nname = "{team}"\ncpus = 520.0\ncpus_max = 1744.0\ngpus = 40.0\ngpus_max = 88.0\n'
            for team in self.teams
        )
        return f"""
host_name = "{name}"
domain = "aber-west"
listen = "{HOST}:{self.http[name]}"
peer_bind = "{HOST}:{self.peer[name]}"
{seeds}
[outside]
cloud = "{HOST}:{self.cloud_port}"
state = "{HOST}:{self.state_ports[name]}"
[facts]
size = 3
zones = ["aber-west"]
clock_error_ms = 1000.0
{teams}
[facts.workers]
report_s = {self.report_s}
lease_s = {self.lease_s}
gang_wait_s = 35.0
gang_peer_s = 4.0
cancel_s = {self.cancel_s}
[facts.state]
rps = 100.0
write_rps = 25.0
value_kb = 32.0
txn_ops = 16
[facts.cloud]
rps = 5.0
list_lag_s = 3.0
[facts.machine_limits]
cpu_share = 0.75
memory_mb = 186.0
fd_limit = {self.fd_limit}
"""

    def start_node(self, name):
        """Starts a controller with the deploy file's command, with as many sockets as the settings say."""
        settings = Path(self._folder.name) / f"{name}.toml"
        settings.write_text(self.settings(name), encoding="utf-8")
        log = self.logs[name] = Path(self._folder.name) / f"{name}.log"
        environment = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
        environment.setdefault("LOG_LEVEL", "info")
        limit = self.fd_limit
        with open(log, "ab") as stderr:
            self.processes[name] = subprocess.Popen(
                [*self._command, str(settings)], cwd=ROOT, stderr=stderr, stdin=subprocess.DEVNULL, env=environment,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit)),
            )  # fmt: skip
        self.record(f"{name}: started, process {self.processes[name].pid}")

    def kill_node(self, name):
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        self.record(f"{name}: killed by the test")

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        for worker in self.workers.values():
            worker.stop()
        for server in self._servers:
            server.close()
        for name, log in self.logs.items():
            lines = [line for line in log.read_text(errors="replace").splitlines() if line.strip()]
            self.record(f"-- log of {name}: {len(lines)} lines, the last 40")
            for line in lines[-40:]:
                self._record_file.write(f"    {without_paths(line)[:300]}\n")
        self._record_file.close()
        self._folder.cleanup()

    # -- cloud --

    async def _cloud(self, method, path, query, body):
        if path == "/catalog":
            return 200, {"Builds": [{
                "Label": "menhir", "Cpus": 16, "Cards": 0, "MemoryGb": 64, "CacheGb": 60,
                "PullGbPerS": self.pull_gb_per_s, "Hourly": 0.86, "SpotPrice": 0.2, "StartupS": self.startup_s,
                "Halls": ["aber-west"],
            }]}  # fmt: skip
        if path == "/machines/return":
            for name in json.loads(body)["Hosts"]:
                worker = self.workers.pop(name, None)
                if worker is not None:
                    worker.stop()
                    self.record(f"cloud: {name} returned")
            return 200, {}
        if method == "GET":
            since, most = query.get("Since", ""), int(query.get("Most", 500))
            names = sorted(name for name in self.workers if name > since)
            hosts = [
                {
                    "Ref": name, "Endpoint": f"{HOST}:{self.workers[name].port}", "Build": self.workers[name].build,
                    "Hall": self.workers[name].hall, "Loaners": self.workers[name].spot,
                    "Status": "running" if self.workers[name].up else "booting",
                    "HeldS": time.monotonic() - self._rented_at[name],
                }
                for name in names[:most]
            ]  # fmt: skip
            return 200, {"Hosts": hosts, "Truncated": len(names) > most}
        request = json.loads(body)
        if request["Hire"] not in self._rented:
            hosts = []
            for _ in range(min(request["Number"], max(32 - len(self.workers), 0))):
                name = f"n-{len(self._rented_at):06d}"
                self._rented_at[name] = time.monotonic()
                self.workers[name] = Worker(self, name, request["Build"], request["Hall"], request["Loaners"])
                hosts.append(name)
            if not hosts:
                return 503, {"error": "no capacity"}
            self._rented[request["Hire"]] = hosts
            self.record(f"cloud: rented {' '.join(hosts)}")
        return 200, {"Hosts": self._rented[request["Hire"]]}

    def task_started(self, worker, key):
        self.record(f"{worker.name}: {key[0]} attempt {key[1]} runs")
        self.started_pieces.setdefault(key[0].partition("/")[0], set()).add(key[0])

    def task_ended(self, worker, key, cause):
        self.record(f"{worker.name}: {key[0]} attempt {key[1]} ended: {cause}")
        if cause == "done":
            self.done_pieces.setdefault(key[0].partition("/")[0], set()).add(key[0])
            self.done_at[key[0].partition("/")[0]] = time.monotonic()

    # -- users --

    async def submit(self, node, job):
        """One attempt to submit a job; returns the status."""
        self.jobs[job["Ref"]] = job
        status, answer = await http_request(self.http[node], "POST", "/v1/jobs", job)
        self.record(f"user: submission of {job['Ref']} at {node}: {status} {answer}")
        return status

    async def submit_until_accepted(self, job, seconds=60.0, nodes=NODES):
        """Submits a job as a user does, at one node after the other, for up to 60 s; true if it was accepted."""
        end, turn = time.monotonic() + seconds, 0
        while time.monotonic() < end:
            if await self.submit(nodes[turn % len(nodes)], job) in (200, 201):
                return True
            turn += 1
            await asyncio.sleep(1.0)
        return False

    async def status(self, node, job):
        """Status and body of one poll."""
        status, answer = await http_request(self.http[node], "GET", f"/v1/jobs/{job}", timeout=2.0)
        self.record(f"user: poll of {job} at {node}: {status} {answer}")
        return status, answer

    async def wait_until_healthy(self, seconds=20.0, nodes=NODES):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            answers = await asyncio.gather(*(http_request(self.http[n], "GET", "/up", timeout=1.0) for n in nodes))
            if all(status == 200 for status, _ in answers):
                return True
            await asyncio.sleep(0.2)
        return False


def make_job(number, **changes):
    """A job as a user submits it: an array of routine tasks, with ``changes``."""
    job = {
        "Ref": f"wk-{number:06d}", "Jobclass": "glyph-raster", "Crew": "red", "Shape": "batch", "Urgency": "standard",
        "Pieces": 2, "Cpus": 4.0, "Cards": 0.0, "MemoryGb": 4.0, "Bundle": "img", "ImageGb": 0.5, "Builds": None,
        "Hall": None, "SamePlace": False, "Apart": False, "Loaners": True, "GuessS": 2.0, "SaveEveryS": 0.0,
        "SaveTookS": 0.0, "DueS": None,
    }  # fmt: skip
    return {**job, **changes}


def run_case(case):
    """Runs ``case(platform, trouble)``, which returns whether the rule held, and exits with 0, 1 or 2."""
    folder = Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"
    result = 2
    platform = None

    async def main():
        nonlocal platform, result
        platform = Platform(folder / "record.txt", **getattr(case, "options", {}))
        platform.record(f"TROUBLE={int(trouble)}")
        try:
            async with asyncio.timeout(115):
                held = await case(platform, trouble)
            result = 2 if held is None else 0 if held else 1
        except TimeoutError:
            platform.record("the case took too long: it couldn't run")
        finally:
            outcome = {0: "the rule held", 1: "the rule was broken", 2: "the case couldn't run"}[result]
            platform.record(f"result {result}: {outcome}")
            platform.stop()

    asyncio.run(main())
    print({0: "held", 1: "BROKEN", 2: "could not run"}[result])
    sys.exit(result)
