"""Stand-ins of the platform's store, of instances and of requesters for the cases of review/N/run.sh.

They speak what PROTOCOL.md of the users' pages says. Everything runs on loopback addresses; the nodes are
separate processes, started with the command of deploy/system.toml and a settings file of the platform.
Where a page is silent, the stand-ins behave like a sound server, client or platform.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, written to the file that the case names."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


async def read_head(reader):
    """Reads the head of an HTTP/1 message: its first line and its headers, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head[:-4].split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode("latin-1")] = value.strip().decode("latin-1")
    return lines[0].decode("latin-1"), headers


async def read_body(reader, headers, keep=True):
    """Reads a body with a length or in chunks. Returns the bytes, or only their number."""
    body, count = bytearray(), 0

    async def take(length):
        nonlocal count
        while length > 0:
            part = await reader.read(min(length, 1 << 20))
            if not part:
                raise ConnectionError("the body broke off")
            length -= len(part)
            count += len(part)
            if keep:
                body.extend(part)

    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                break
            await take(size)
            await reader.readline()
    else:
        await take(int(headers.get("content-length", "0")))
    return bytes(body) if keep else count


class HttpServer:
    """A small HTTP/1.1 server. `answer(method, path, headers, body)` returns (status, headers, body)."""

    def __init__(self, address, answer, keep_bodies=True):
        self.address, self.answer, self.keep_bodies = address, answer, keep_bodies
        self.server, self.writers = None, set()

    async def start(self):
        host, port = self.address
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 20, backlog=1024)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, path, _ = line.split(" ", 2)
                body = await read_body(reader, headers, self.keep_bodies)
                reply = await self.answer(method, path, headers, body)
                if reply is None:
                    return
                status, extra, data = reply
                text = f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n"
                text += "".join(f"{name}: {value}\r\n" for name, value in extra.items())
                writer.write(text.encode() + b"\r\n" + (b"" if method == "HEAD" else data))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store of rows, with the calls that PROTOCOL.md describes."""

    def __init__(self, address):
        self.rows, self.history, self.ver = {}, [], 0
        self.changed = asyncio.Condition()
        self.http = HttpServer(address, self.answer)
        self.address = address
        self.is_down = False

    async def start(self):
        await self.http.start()

    async def put(self, table, key, value):
        async with self.changed:
            self.ver += 1
            self.rows[(table, key)] = (base64.b64encode(value).decode(), self.ver)
            self.history.append((self.ver, table, key, base64.b64encode(value).decode()))
            self.changed.notify_all()
        return self.ver

    def row(self, table, key):
        value, ver = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    def page(self, rows, **more):
        return json.dumps(dict(rows=rows, ver=self.ver, nowMs=int(time.monotonic() * 1000), **more)).encode()

    async def answer(self, method, target, headers, body):
        json_type = {"Content-Type": "application/json"}
        path, _, query = target.partition("?")
        args = dict(it.split("=", 1) for it in query.split("&") if "=" in it)
        await asyncio.sleep(0.004)
        if self.is_down:
            return 503, json_type, b"{}"
        if path == "/galenastream/rows-get":
            keys = sorted(key for table, key in self.rows if table == args["table"])
            return 200, json_type, self.page([self.row(args["table"], key) for key in keys], hasMore=False)
        if path == "/galenastream/rows-feed":
            after, until = int(args["after"]), time.monotonic() + int(args["waitMs"]) / 1000
            while True:
                rows = [dict(table=t, part="", key=k, value=v, ver=n)
                        for n, t, k, v in self.history if n > after and t == args["table"]]
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, json_type, self.page(rows)
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/galenastream/rows-tx":
            call = json.loads(body)
            async with self.changed:
                wrong = [it for it in call["expectedRev"]
                         if self.rows.get((it["table"], it["key"]), (None, 0))[1] != it["ver"]]
                if wrong:
                    rows = [self.row(it["table"], it["key"]) if (it["table"], it["key"]) in self.rows
                            else dict(table=it["table"], part="", key=it["key"], ver=0) for it in call["expectedRev"]]
                    return 412, json_type, self.page(rows)
                self.ver += 1
                for it in call["puts"]:
                    self.rows[(it["table"], it["key"])] = (it["value"], self.ver)
                    self.history.append((self.ver, it["table"], it["key"], it["value"]))
                self.changed.notify_all()
            return 200, json_type, self.page([])
        return 404, json_type, b"{}"


class Instance:
    """An application instance: heartbeats, leases on keys, and a log of what it ran."""

    def __init__(self, name, service, address, control, record, sharded=False, slots=6, beat_s=1.5, born=None,
                 work_s=0.02, zone="z-a"):
        self.name, self.service, self.address, self.control = name, service, address, control
        self.record, self.sharded, self.slots, self.beat_s = record, sharded, slots, beat_s
        self.work_s, self.zone, self.born = work_s, zone, born
        self.seq, self.holds, self.hold_until, self.released = 0, [], 0.0, []
        self.state, self.runs, self.at_work = "ready", [], 0
        self.http = HttpServer(address, self.answer, keep_bodies=False)
        self.beats = None
        self.on_run = None

    async def start(self):
        await self.http.start()
        self.beats = asyncio.create_task(self.send_beats())

    def holds_key(self, key):
        return time.monotonic() < self.hold_until and any(a <= key <= b for a, b, _ in self.holds)

    async def answer(self, method, path, headers, body):
        if path == "/health":
            return 200, {"X-Instance-Id": self.name}, b"ok"
        rid = headers.get("x-request-id", "")
        same = {"X-Request-Id": rid}
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, {**same, "X-Instance-Id": self.name, "X-Not-Executed": "1"}, b""
        if self.sharded and "x-shard-key" in headers and not self.holds_key(int(headers["x-shard-key"])):
            return 421, {**same, "X-Instance-Id": self.name, "X-Not-Executed": "1"}, b""
        if self.at_work >= self.slots:
            return 503, {**same, "X-Not-Executed": "1"}, b""
        self.at_work += 1
        self.runs.append((rid, method, path, headers.get("x-caller-service"), body))
        self.record.line(f"instance {self.name} runs {rid} {method} {path} body {body} bytes")
        try:
            if self.on_run:
                return await self.on_run(self, rid, method, path, headers, body)
            await asyncio.sleep(self.work_s)
            return 200, {**same, "X-Server-Signature": f"sig.{self.name}.{rid}"}, f"{self.name} ran {rid}".encode()
        finally:
            self.at_work -= 1

    async def beat(self):
        self.seq += 1
        sent = time.monotonic()
        if sent >= self.hold_until:
            self.holds = []
        released, self.released = self.released, []
        body = {
            "address": "%s:%d" % self.address,
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": self.slots},
            "status": {"state": self.state, "seq": self.seq, "coldRemainingMs": 0},
        }
        if self.born is not None:
            body["born"] = self.born
        if self.sharded:
            body["holds"], body["released"] = self.holds, released
        path = f"/galenastream/instances/{self.name}/heartbeat"
        try:
            status, _, data = await asyncio.wait_for(call(self.control, "POST", path, {}, json.dumps(body).encode()), 1)
        except (asyncio.TimeoutError, ConnectionError, OSError, ValueError):
            status, data = 0, b""
        if not 200 <= status < 300 or len(data) > 4096:
            self.released = released + self.released
            return False
        reply = json.loads(data or b"{}")
        if "holds" in reply:
            new = [list(it[:3]) for it in reply["holds"]]
            for a, b, fence in self.holds:
                if not any(x <= a and b <= y for x, y, _ in new):
                    self.released.append([a, b, "%016x" % random.getrandbits(64)])
            self.holds, self.hold_until = new, sent + reply["holdMs"] / 1000
            return bool(self.released)
        return False

    async def send_beats(self):
        while True:
            soon = await self.beat()
            await asyncio.sleep(0.05 if soon else self.beat_s * random.uniform(0.9, 1.1))

    async def close(self):
        if self.beats:
            self.beats.cancel()
        await self.http.close()


async def call(address, method, path, headers, body=b""):
    """One request on a connection of its own. Returns (status, headers, body); raises if incomplete."""
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    try:
        text = f"{method} {path} HTTP/1.1\r\nHost: {headers.get('Host', 'x')}\r\nConnection: close\r\n"
        text += "".join(f"{name}: {value}\r\n" for name, value in headers.items() if name != "Host")
        writer.write(f"{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()
        return await read_response(reader, method)
    finally:
        writer.transport.abort()


async def read_response(reader, method="GET"):
    head = await read_head(reader)
    if head is None:
        raise ConnectionError("closed without an answer")
    line, headers = head
    status = int(line.split(" ")[1])
    data = b"" if method == "HEAD" or status in (204, 304) else await read_body(reader, headers)
    return status, headers, data


class Node:
    """A galenastreamd process with the settings file that the platform gives it."""

    def __init__(self, deployment, index, ip, service, instance_port=8628, memory_mb=260):
        self.deployment, self.index, self.ip, self.service = deployment, index, ip, service
        self.memory_mb = memory_mb
        self.name = f"sidecar-z-{'abc'[index % 3]}-{index + 1}"
        self.zone = f"z-{'abc'[index % 3]}"
        self.inbound, self.outbound = (ip, 8624), (ip, 8629)
        self.ready, self.control, self.app = (ip, 8625), (ip, 8620), (ip, instance_port)
        self.process, self.starts = None, 0

    def settings(self):
        at = lambda it: "%s:%d" % it
        bounds = ["seedLagS=3", "reuseAfterS=2", "stableWindowMs=3000", "ackMs=4000", "catchUpS=4", "drainMs=2000",
                  "graceS=6", "lossSlackMs=200", "configApplyMs=2000", "rollbackSlackMs=250", "maxSkewMs=5000",
                  "retryBudgetRatio=0.2", "budgetWindowS=10", "retrySlack=56", "recoveryS=15", "maxHoldMs=10000",
                  "thawMs=300"]
        first = "true" if self.starts == 0 else "false"
        return f"""node = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "z"
portRange = [7600,7615]
seeds = []
bootstrap = {first}
faultCounted = false
discovery = "local"
entry = "local"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
bounds = {json.dumps(bounds)}
grants = "heartbeat"
appAddr = "{at(self.app)}"
service = "{self.service}"
[zones]
z-a = "z"
z-b = "z"
z-c = "z"
[listen]
inbound = "{at(self.inbound)}"
outbound = "{at(self.outbound)}"
ready = "{at(self.ready)}"
control = "{at(self.control)}"
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
address = "{at(self.deployment.store.address)}"
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

    def start(self):
        path = os.path.join(self.deployment.folder, f"{self.name}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["GALENASTREAM_CONFIG"] = path
        log = open(os.path.join(self.deployment.folder, f"{self.name}.{self.starts}.log"), "wb")
        self.process = subprocess.Popen(self.deployment.command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.starts += 1
        self.deployment.record.line(f"node {self.name} starts as process {self.process.pid}")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_bytes(self):
        """The resident memory of the process, and 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
        except (OSError, IndexError):
            return 0


class Deployment:
    """The store, nodes and instances of a small deployment on loopback addresses of their own."""

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="galenastream-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["node"]["run"].split(" ")
        self.net = "127.%d.%d" % (random.randint(20, 250), random.randint(1, 250))
        self.store = Store((self.net + ".200", 8627))
        self.nodes, self.instances = [], []

    def add(self, service, **options):
        index = len(self.nodes)
        memory_mb = options.pop("memory_mb", 260)
        node = Node(self, index, f"{self.net}.{index + 1}", service, memory_mb=memory_mb)
        name = "i-%08x" % random.getrandbits(32)
        instance = Instance(name, service, node.app, node.control, self.record, zone=node.zone, **options)
        self.nodes.append(node)
        self.instances.append(instance)
        return node, instance

    async def start(self, config):
        await self.store.start()
        await self.store.put("op", "config", json.dumps(config).encode())
        for instance in self.instances:
            await instance.start()
        for node in self.nodes:
            node.start()
        await self.wait_ready(self.nodes)

    async def wait_ready(self, nodes, limit_s=20):
        until = time.monotonic() + limit_s
        for node in nodes:
            while True:
                try:
                    status, _, _ = await asyncio.wait_for(call(node.ready, "GET", "/galenastream/ready", {}), 1)
                    if status == 200:
                        break
                except (OSError, ConnectionError, asyncio.TimeoutError, ValueError):
                    pass
                if time.monotonic() > until:
                    raise CannotRun(f"{node.name} is not ready")
                await asyncio.sleep(0.1)

    async def close(self, keep=False):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        for instance in self.instances:
            await instance.close()
        await self.store.http.close()
        if not keep and not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("kept", self.folder)


class CannotRun(Exception):
    pass


def config(services, routes, version=1, max_body=67108864):
    """A config: services as {name: sharded}, routes as (host, prefix, kind, service, options)."""
    hosts = {}
    for number, (host, prefix, kind, service, options) in enumerate(routes):
        route = dict(name=f"r-{number}", pathPrefix=prefix, kind=kind, timeoutMs=3000, targetLatencyMs=1000, priority=1,
                     service=service, maxAttempts=2)
        hosts.setdefault(host, []).append({**route, **options})
    return {
        "version": "%08x" % version,
        "services": [dict(name=name, healthPath="/health", maxConnections=110, protocol="h1", tls=False,
                          **(dict(sharded=True, warmupS=3.0, grants="heartbeat") if sharded else {}))
                     for name, sharded in services.items()],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "virtualHosts": [dict(host=host, paths=paths) for host, paths in hosts.items()],
    }


def run_case(record_path, case, limit_s=115):
    """Runs `case(deployment)`, which returns whether the rule held, and exits with the status of the case.

    A case that fails by itself, or is told to stop, exits with 2. All processes end before.
    """
    async def run():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        deployment = Deployment(record_path)
        try:
            held = await asyncio.wait_for(case(deployment), limit_s)
            deployment.record.say("the rule held" if held else "the rule was broken")
            return 0 if held else 1
        except (Exception, asyncio.CancelledError) as error:
            deployment.record.say(f"the case could not run: {error!r}")
            return 2
        finally:
            await deployment.close()

    status = 2
    try:
        status = asyncio.run(run())
    except BaseException as error:
        print(f"the case could not run: {error!r}")
    sys.exit(status)
