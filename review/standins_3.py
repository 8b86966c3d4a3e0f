"""Stand-ins of the platform for the scripts of the third review, with the standard library alone.

They speak what PROTOCOL.md says. Store, instances and clients run in this process; each node is a
process of its own, started with the command of deploy/system.toml. Every address is a loopback
address: each machine has one of its own, since all nodes serve their metrics at one port.
"""

import asyncio
import base64
import collections
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
STATUS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 410: "Gone",
          412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
          500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}


def free_ip():
    """A loopback address that no other script is likely to use."""
    return "127.%d.%d.%d" % (random.randint(20, 250), random.randint(0, 250), random.randint(2, 250))


def free_port(ip):
    with socket.socket() as it:
        it.bind((ip, 0))
        return it.getsockname()[1]


class Record:
    """The record of a run: one line an event, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1 << 16)
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, *words):
        self.file.write("%9.3f %s\n" % (self.now(), " ".join(str(it) for it in words)))

    def note(self, *words):
        self.line(*words)
        print("%8.2f s  %s" % (self.now(), " ".join(str(it) for it in words)), flush=True)

    def close(self):
        self.file.close()


async def read_head(reader):
    """Reads the head of a message: its first line and its headers, with names in lower case."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return b"".join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b""):
    lines = [first] + ["%s: %s" % it for it in headers] + ["content-length: %d" % len(body)]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def answer(status, headers=(), body=b""):
    return message("HTTP/1.1 %d %s" % (status, STATUS.get(status, "Status")), list(headers), body)


async def serve(ip, port, handle):
    """Starts a server whose connections are closed with it."""
    writers = set()

    async def connection(reader, writer):
        writers.add(writer)
        try:
            await handle(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(connection, ip, port, limit=1 << 22)
    server.writers = writers
    return server


def stop_server(server):
    server.close()
    for writer in list(server.writers):
        writer.transport.abort()


class Store:
    """The platform's metadata store: rows alone."""

    def __init__(self, record, era=None):
        self.record = record
        self.ip = free_ip()
        self.port = free_port(self.ip)
        self.rows = {}
        self.changes = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.calls = collections.Counter()
        self.era = era
        self.txn = asyncio.Lock()

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def start(self):
        self.server = await serve(self.ip, self.port, self.connection)

    def put(self, table, key, value):
        """Writes a row, as the operator does."""
        self.ver += 1
        self._set(table, "", key, value, self.ver)
        self._notify()

    def _set(self, table, part, key, value, ver):
        if value is None:
            self.rows.pop((table, part, key), None)
        else:
            self.rows[(table, part, key)] = (value, ver)
        self.changes.append((ver, table, part, key, value))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table, part, key, value, ver):
        row = {"table": table, "part": part, "key": key, "ver": ver}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        return row

    async def connection(self, reader, writer):
        while True:
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            status, reply = await self.call(*first.split(" ")[:2], body)
            extra = [("content-type", "application/json")]
            if self.era is not None:
                extra.append(("Store-Era", str(self.era)))
            writer.write(answer(status, extra, json.dumps(reply).encode()))
            await writer.drain()

    async def call(self, method, target, body):
        from urllib.parse import parse_qs, unquote
        path, _, query = target.partition("?")
        query = {k: v[0] for k, v in parse_qs(query, keep_blank_values=True).items()}
        name = path.rsplit("/", 1)[-1]
        self.calls[name] += 1
        head = {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}
        if name == "rows-get":
            await asyncio.sleep(0.004)
            table, part = query["table"], query.get("part", "")
            first, last = query.get("from", ""), query.get("to")
            keys = sorted((it for it in self.rows if it[0] == table and it[1] == part
                           and it[2] >= first and (last is None or it[2] < last)),
                          key=lambda it: it[2].encode())
            limit = min(int(query.get("limit", "500")), 500)
            rows = [self._row(*it, *self.rows[it]) for it in keys[:limit]]
            return 200, dict(head, ver=self.ver, rows=rows, hasMore=len(keys) > limit)
        if name == "rows-feed":
            table, after = query["table"], int(query["after"])
            until = time.monotonic() + min(int(query.get("waitMs", "0")), 30000) / 1000
            if after > self.ver:
                return 410, head
            while True:
                found = [it for it in self.changes if it[0] > after and it[1] == table]
                left = until - time.monotonic()
                if found or left <= 0:
                    await asyncio.sleep(0.004)
                    rows = [self._row(t, p, k, v, ver) for ver, t, p, k, v in found]
                    ver = found[-1][0] if found else self.ver
                    return 200, {"rows": rows, "ver": max(ver, after), "nowMs": head["nowMs"]}
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if name == "rows-tx":
            call = json.loads(body)
            async with self.txn:
                await asyncio.sleep(0.005)
                return self.transact(call)
        return 404, head

    def transact(self, call):
        head = {"ver": self.ver, "nowMs": int(time.monotonic() * 1000)}
        puts, remove = call.get("puts", []), call.get("remove", [])
        if any(it["table"] in ("op", "servers") for it in puts + remove):
            return 403, head
        conflicts = []
        for it in call.get("expectedRev", []):
            key = (it["table"], it.get("part", ""), it["key"])
            value, ver = self.rows.get(key, (None, 0))
            if ver != it["ver"]:
                conflicts.append(self._row(*key, value, ver))
        if conflicts:
            return 412, dict(head, rows=conflicts)
        self.ver += 1
        for it in puts:
            if len(it["value"]) > 65536:
                return 400, head
            value = base64.b64decode(it["value"])
            self._set(it["table"], it.get("part", ""), it["key"], value, self.ver)
        for it in remove:
            self._set(it["table"], it.get("part", ""), it["key"], None, self.ver)
        self._notify()
        return 200, {"ver": self.ver, "nowMs": head["nowMs"], "rows": []}


class Machine:
    """A machine: its addresses, its node and its instance."""

    def __init__(self, name, zone, service, folder, store, heartbeat_ms=870, memory_mb=260, **more):
        self.name, self.zone, self.service = name, zone, service
        self.ip = free_ip()
        ports = set()
        while len(ports) < 5:
            ports.add(free_port(self.ip))
        self.inbound, self.outbound, self.ready, self.control, self.app = ports
        self.settings = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        self.heartbeat_ms, self.memory_mb, self.store, self.more = heartbeat_ms, memory_mb, store, more
        self.process = None
        self.write_settings(bootstrap=True)

    def write_settings(self, bootstrap):
        ip = self.ip
        bounds = dict(seedLagS=3, reuseAfterS=2, stableWindowMs=3000, ackMs=4000, catchUpS=4, drainMs=2000,
                      graceS=6, lossSlackMs=200, configApplyMs=2000, rollbackSlackMs=250, maxSkewMs=5000,
                      retryBudgetRatio=0.2, budgetWindowS=10, retrySlack=60, recoveryS=15, maxHoldMs=10000,
                      thawMs=300)
        bounds.update(self.more.get("bounds", {}))
        text = f"""node = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{ip}"
zone = "{self.zone}"
region = "here"
portRange = [{self.inbound},{self.inbound}]
seeds = []
bootstrap = {str(bootstrap).lower()}
faultCounted = false
discovery = "local"
entry = "local"
heartbeatMs = {self.heartbeat_ms}
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
bounds = {json.dumps(["%s=%s" % it for it in bounds.items()])}
grants = "heartbeat"
appAddr = "{ip}:{self.app}"
service = "{self.service}"
[zones]
{self.zone} = "here"
[listen]
inbound = "{ip}:{self.inbound}"
outbound = "{ip}:{self.outbound}"
ready = "{ip}:{self.ready}"
control = "{ip}:{self.control}"
[limits]
cpuShare = 0.2
cores = 1
memoryMb = {self.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[platform]
address = "{self.store.address}"
form = "table"
writesPerS = 400
readsPerS = 2000
txnTimeoutMs = 5.0
partitionWritesS = 200
maxRowBytes = 65536
across = false
historyS = 20
maxBlobBytes = 8388608
blobMs = 25.0
blobMbS = 80.0
"""
        with open(self.settings + ".new", "w") as file:
            file.write(text)
        os.rename(self.settings + ".new", self.settings)

    def start_node(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["node"]["run"].split(" ")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GALENASTREAM_CONFIG"] = self.settings
        self.process = subprocess.Popen(
            [os.path.join(ROOT, command[0])] + command[1:], cwd=ROOT, env=environment,
            stdin=subprocess.DEVNULL, stdout=open(self.log, "ab"), stderr=subprocess.STDOUT)
        # Only the first start is that of the whole system.
        self.write_settings(bootstrap=False) if self.more.get("settle_bootstrap") else None

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill_node(self):
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ready), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /galenastream/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            return " 200 " in first
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()


class Instance:
    """An instance: it runs requests, holds keys and sends status reports to the node beside it."""

    def __init__(self, machine, record, sharded=True, slots=14, work_s=0.1, queue=24, id=None, born=None):
        self.machine, self.record, self.sharded = machine, record, sharded
        self.slots, self.work_s, self.queue = slots, work_s, queue
        self.id = id or "i-%08x" % random.getrandbits(32)
        self.born = born
        self.seq = 0
        self.holds = {}          # (first, last) -> (fence, until)
        self.highest = []        # (first, last, fence) seen
        self.working = collections.Counter()
        self.releasing = {}      # (first, last) -> fence, waits for its work to end
        self.released = []       # since the last acknowledged report
        self.state = "ready"
        self.running = 0
        self.waiting = collections.deque()
        self.runs = collections.Counter()
        self.wake = asyncio.Event()
        self.ended = False
        self.oversized = 0
        self.reply_bytes = 0
        self.acknowledged = 0
        self.leave_acknowledged = asyncio.Event()
        self.on_run = None

    async def start(self):
        self.server = await serve(self.machine.ip, self.machine.app, self.connection)
        self.reports = asyncio.ensure_future(self.send_reports())

    def crash(self):
        """Ends at once, without a word."""
        self.ended = True
        self.reports.cancel()
        stop_server(self.server)

    def held(self, key):
        now = time.monotonic()
        return any(first <= key <= last and now < until
                   for (first, last), (_, until) in self.holds.items())

    async def connection(self, reader, writer):
        while True:
            first, headers = await read_head(reader)
            body = await read_body(reader, headers)
            method, path, _ = first.split(" ")
            status, extra, text = await self.request(method, path, headers, body)
            if self.ended:
                return
            writer.write(answer(status, extra, text))
            await writer.drain()

    async def request(self, method, path, headers, body):
        if path == "/health":
            return (200 if self.state == "ready" else 503), [("X-Instance-Id", self.id)], b"{}"
        request_id = headers.get("x-request-id")
        echo = [("X-Request-Id", request_id or ""), ("X-Instance-Id", self.id)]
        if request_id is None:
            return 400, [("X-Not-Executed", "1")], b"{}"
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, echo + [("X-Not-Executed", "1")], b"{}"
        key = int(headers["x-shard-key"]) if "x-shard-key" in headers else None
        if self.sharded and key is not None and not self.held(key):
            return 421, echo + [("X-Not-Executed", "1")], b"{}"
        deadline = time.monotonic() + float(headers.get("x-deadline-ms", "10000")) / 1000
        if self.running >= self.slots:
            if len(self.waiting) >= self.queue:
                return 503, echo + [("X-Not-Executed", "1")], b"{}"
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                await asyncio.wait_for(turn, max(0, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                return 503, echo + [("X-Not-Executed", "1")], b"{}"
        else:
            self.running += 1
        try:
            if self.sharded and key is not None and not self.held(key):
                return 421, echo + [("X-Not-Executed", "1")], b"{}"
            self.runs[request_id] += 1
            if self.on_run:
                self.on_run(self, request_id, method, path, headers, body)
            if key is not None:
                self.working[key] += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                if key is not None:
                    self.working[key] -= 1
                    if not self.working[key]:
                        del self.working[key]
            if self.sharded and key is not None and not (self.held(key) or self.is_releasing(key)):
                return 500, echo + [("X-Server-Signature", self.id + "." + request_id)], b"{}"
            return 200, echo + [("X-Server-Signature", self.id + "." + request_id)], b"done " + body
        finally:
            while self.waiting:
                turn = self.waiting.popleft()
                if not turn.done():
                    turn.set_result(None)
                    break
            else:
                self.running -= 1

    def is_releasing(self, key):
        return any(first <= key <= last for first, last in self.releasing)

    def finish_releases(self):
        for (first, last) in list(self.releasing):
            if any(first <= key <= last for key in self.working):
                continue
            del self.releasing[(first, last)]
            self.released.append([first, last, "%016x" % random.getrandbits(64)])

    async def send_reports(self):
        loop = asyncio.get_running_loop()
        while not self.ended:
            sent = loop.time()
            await self.report()
            # Another report within 100 ms while keys are to be released.
            pause = self.machine.heartbeat_ms / 1000 * random.uniform(0.95, 1.05)
            if self.releasing or self.released:
                pause = 0.05
            try:
                await asyncio.wait_for(self.wake.wait(), max(0.0, sent + pause - loop.time()))
            except asyncio.TimeoutError:
                pass
            self.wake.clear()

    async def report(self):
        now = time.monotonic()
        for row, (fence, until) in list(self.holds.items()):
            if now >= until:
                del self.holds[row]
        self.finish_releases()
        self.seq += 1
        holds = [[a, b, fence] for (a, b), (fence, _) in self.holds.items()]
        holds += [[a, b, fence] for (a, b), fence in self.releasing.items()]
        released = list(self.released)
        body = {"address": "%s:%d" % (self.machine.ip, self.machine.app),
                "info": {"service": self.machine.service, "version": "v1", "zone": self.machine.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "seq": self.seq, "coldRemainingMs": 0},
                "holds": holds, "released": released}
        if self.born is not None:
            body["born"] = self.born
        sent = time.monotonic()
        state = self.state
        status, text = await self.call("heartbeat", body)
        if status is None or not 200 <= status < 300 or self.ended:
            return
        if len(text) > 4096:
            # Not acknowledged: a response may have 4 KiB at most.
            self.oversized += 1
            self.reply_bytes = len(text)
            self.record.line("oversized", self.id, "the response to a status report has", len(text), "bytes")
            return
        self.reply_bytes = len(text)
        self.acknowledged += 1
        self.released = self.released[len(released):]
        if state == "draining":
            self.leave_acknowledged.set()
        reply = json.loads(text or b"{}")
        if "holds" in reply:
            self.take(reply["holds"], sent + min(reply["holdMs"], 10000) / 1000)

    async def call(self, name, body):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.machine.ip, self.machine.control)
                try:
                    path = "/galenastream/instances/%s/%s" % (self.id, name)
                    writer.write(message("POST %s HTTP/1.1" % path, [
                        ("Host", "node"), ("Content-Type", "application/json"), ("Connection", "close")],
                        json.dumps(body).encode()))
                    first, headers = await read_head(reader)
                    text = await read_body(reader, headers)
                    return int(first.split(" ")[1]), text
                finally:
                    writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None, b""

    def take(self, rows, until):
        granted = {}
        for first, last, fence, _handover in rows:
            if any(a <= last and first <= b and fence < seen for a, b, seen in self.highest):
                continue
            granted[(first, last)] = (fence, until)
        # What is left out is released: each part of a held row that no granted row covers.
        for (first, last), (fence, _) in self.holds.items():
            parts = [(first, last)]
            for a, b in granted:
                rest = []
                for x, y in parts:
                    if b < x or y < a:
                        rest.append((x, y))
                        continue
                    if x < a:
                        rest.append((x, a - 1))
                    if b < y:
                        rest.append((b + 1, y))
                parts = rest
            for part in parts:
                self.releasing[part] = fence
        self.holds = granted
        if len(self.highest) > 4000:
            self.highest = self.highest[-2000:]
        known = set(self.highest)
        for (first, last), (fence, _) in granted.items():
            if (first, last, fence) not in known:
                self.highest.append((first, last, fence))
        self.finish_releases()
        if self.releasing or self.released:
            self.wake.set()

    async def leave(self, drain_s=2.0, longer_s=1.0):
        """A planned shutdown: reports that it drains, serves on, says that it is gone, and exits."""
        self.state = "draining"
        self.wake.set()
        try:
            await asyncio.wait_for(self.leave_acknowledged.wait(), 6)
        except asyncio.TimeoutError:
            self.record.note(self.id, "got no acknowledgement of its leave")
        await asyncio.sleep(drain_s + longer_s)
        await self.call("deregister", {})
        self.crash()


class Client:
    """Requesters of a machine, which keep connections open."""

    def __init__(self, machine, record):
        self.machine, self.record = machine, record
        self.idle = []
        self.ends = collections.Counter()

    async def send(self, method, path, host, key=None, deadline_ms=1000, body=b"", request_id=None, tag="",
                   keep=True):
        """Sends a request. Returns its id, its status (None: no complete answer) and its headers and body."""
        request_id = request_id or "%016x" % random.getrandbits(64)
        headers = [("Host", host), ("X-Request-Id", request_id), ("X-Deadline-Ms", str(deadline_ms))]
        if key is not None:
            headers.append(("X-Shard-Key", str(key)))
        began = time.monotonic()
        status, got, text, why = None, {}, b"", ""
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1):
                reader, writer = self.idle.pop() if self.idle else await asyncio.open_connection(
                    self.machine.ip, self.machine.outbound, limit=1 << 22)
                try:
                    writer.write(message("%s %s HTTP/1.1" % (method, path), headers, body))
                    first, got = await read_head(reader)
                    text = await read_body(reader, got)
                    status = int(first.split(" ")[1])
                except BaseException:
                    writer.transport.abort()
                    raise
                if got.get("connection", "").lower() == "close" or not keep:
                    writer.close()
                else:
                    self.idle.append((reader, writer))
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            why = type(error).__name__
        took = (time.monotonic() - began) * 1000
        self.ends[status] += 1
        self.record.line("request", tag, request_id, method, path, "key", key, "at", self.machine.name, "->",
                         status if status is not None else why, "in", "%.0f ms" % took)
        return request_id, status, got, text


def config(version, services, routes, host="shop.example"):
    """The config of an operator. `services`: (name, sharded); `routes`: (prefix, kind, service, timeout, aim)."""
    return json.dumps({
        "version": "%08x" % version,
        "services": [dict({"name": name, "healthPath": "/health", "maxConnections": 120, "protocol": "h1",
                           "tls": False},
                          **({"sharded": True, "warmupS": 3.0, "grants": "heartbeat"} if sharded else {}))
                     for name, sharded in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "virtualHosts": [{"host": host, "paths": [
            {"name": "r-%d" % index, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout,
             "targetLatencyMs": aim, "priority": 1, "service": service, "maxAttempts": 2}
            for index, (prefix, kind, service, timeout, aim) in enumerate(routes)]}]}).encode()


async def wait_ready(machines, seconds=15):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all([await it.is_ready() for it in machines]):
            return True
        await asyncio.sleep(0.2)
    return False


def stop(*_):
    """Ends the script when it is told to stop, by way of its clean-up."""
    sys.exit(2)


signal.signal(signal.SIGTERM, stop)


def cannot_run(why):
    print("the case could not run:", why)
    sys.exit(2)


def run_case(main):
    """Runs a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    async def limited():
        async with asyncio.timeout(117):
            return await main()

    try:
        result = asyncio.run(limited())
    except (Exception, KeyboardInterrupt):  # a script that fails by itself shows nothing
        traceback.print_exc()
        result = 2
    sys.exit(result)
