"""Small stand-ins of the users' platform: store, instances, callers and the supervisor of nodes.

They speak what the users' pages describe and run in one process. The nodes are separate processes,
started with the command of the deploy file. Only loopback addresses are used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "galenastreamd")

HEARTBEAT_MS = 870
MAX_BODY_BYTES = 67_108_864


class Site:
    """What the pages say of a deployment: its bounds, and the size of its machines and instances."""

    def __init__(self, region, zone, slots, memory_mb, states_start, bounds):
        self.region, self.zone = region, zone
        self.slots, self.queue = slots, 4 * slots
        self.memory_mb = memory_mb
        # Whether instances state the millisecond of their start ("born").
        self.states_start = states_start
        self.bounds = bounds

    def bound(self, name):
        return float(dict(it.split("=") for it in self.bounds.split(","))[name])


ESSAYAGE_MU = Site(
    "port-louis", "hall-a", slots=14, memory_mb=260, states_start=False,
    bounds="seedLagS=3,reuseAfterS=2,stableWindowMs=3000,ackMs=4000,catchUpS=4,drainMs=2000,"
    "graceS=6,lossSlackMs=200,configApplyMs=2000,rollbackSlackMs=250,maxSkewMs=5000,"
    "retryBudgetRatio=0.2,budgetWindowS=10,retrySlack=60,recoveryS=15,maxHoldMs=10000,thawMs=300",
)
HINOKUNI_HQ_GROWN = Site(
    "kyushu", "fukuoka-a", slots=18, memory_mb=160, states_start=True,
    bounds="seedLagS=3,reuseAfterS=2,stableWindowMs=3000,ackMs=5000,catchUpS=6,drainMs=2500,"
    "graceS=6,lossSlackMs=200,configApplyMs=2500,rollbackSlackMs=250,maxSkewMs=5000,"
    "retryBudgetRatio=0.2,budgetWindowS=10,retrySlack=212,recoveryS=15,maxHoldMs=10000,thawMs=300",
)


class CannotRun(Exception):
    """The case could not be played: it neither holds nor breaks the rule."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def add(self, who, what, **fields):
        at = self.now()
        details = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.4f} {who:12} {what} {details}\n")
        return at

    def close(self):
        self.file.close()


async def read_message(reader):
    """Reads a message of HTTP/1.1 with its body. Returns None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", 0)))


def message(first_line, headers, body=b""):
    lines = [first_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: rows, conditional transactions and a feed of changes."""

    def __init__(self, address):
        self.address = address
        self.rows = {}
        self.version = 0
        self.changed = asyncio.Event()
        self.started = time.monotonic()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)

    def put(self, table, key, value):
        self.version += 1
        self.rows[(table, key)] = (base64.b64encode(value).decode(), self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def page(self, rows):
        now_ms = int((time.monotonic() - self.started) * 1_000)
        return {"rows": rows, "hasMore": False, "ver": self.version, "nowMs": now_ms}

    def row(self, table, key):
        value, version = self.rows.get((table, key), (None, 0))
        row = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = value
        return row

    def table(self, table, after=0):
        found = [it for it in self.rows if it[0] == table and self.rows[it][1] > after]
        return [self.row(*it) for it in found]

    async def serve(self, reader, writer):
        try:
            while (read := await read_message(reader)) is not None:
                line, headers = read
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                arguments = dict(it.partition("=")[::2] for it in query.split("&") if it)
                status, page = await self.answer(method, path, arguments, body)
                text = json.dumps(page).encode()
                json_type = [("Content-Type", "application/json")]
                writer.write(message(f"HTTP/1.1 {status} Status", json_type, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, arguments, body):
        await asyncio.sleep(0.004)
        name = path.rsplit("/", 1)[-1]
        if name == "rows-get":
            rows = sorted(self.table(arguments["table"]), key=lambda it: it["key"])
            return 200, self.page(rows)
        if name == "rows-feed":
            until = time.monotonic() + int(arguments["waitMs"]) / 1_000
            after = int(arguments["after"])
            while True:
                rows = sorted(self.table(arguments["table"], after), key=lambda it: it["ver"])
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, self.page(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if method == "POST" and name == "rows-tx":
            change = json.loads(body)
            expected = [(it["table"], it["key"], it["ver"]) for it in change["expectedRev"]]
            if any(self.rows.get((t, k), (None, 0))[1] != v for t, k, v in expected):
                return 412, self.page([self.row(t, k) for t, k, _ in expected])
            self.version += 1
            for put in change["puts"]:
                self.rows[(put["table"], put["key"])] = (put["value"], self.version)
            for gone in change["remove"]:
                self.rows.pop((gone["table"], gone["key"]), None)
            self.wake()
            return 200, self.page([])
        return 404, {}


class Instance:
    """An application instance: sends status reports and runs requests in its slots.

    `late_copy` is a function from a request to whether its answer is sent a second time, late, at
    the point where the next answer on the connection is expected. `sheds` is a function from a
    request to whether the instance rejects it.
    """

    def __init__(self, deployment, name, vm, service, work_ms=50, sharded=False):
        self.deployment, self.record, self.vm = deployment, deployment.record, vm
        self.site = deployment.site
        self.name, self.service, self.work_ms, self.sharded = name, service, work_ms, sharded
        self.born_ms = int(time.time() * 1_000)
        self.connections = set()
        self.server, self.beats = None, None
        self.id = "i-" + "".join(random.choices("0123456789abcdef", k=8))
        self.state, self.seq = "ready", 0
        self.held, self.held_until, self.released = [], 0.0, []
        self.waiting = 0
        self.slot = asyncio.Semaphore(self.site.slots)
        self.runs, self.arrivals = [], []
        self.sheds = lambda request: False
        self.late_copy = lambda request: False
        self.answer_bytes = 400

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.vm.ip, 8001, limit=1 << 20)
        self.beats = asyncio.create_task(self.send_heartbeats())

    def exit(self):
        """Ends the instance: its connections close, and it reports nothing any more."""
        if self.server is not None:
            self.beats.cancel()
            self.server.close()
        self.held = []
        for connection in list(self.connections):
            connection.cancel()

    def holds_key(self, key):
        is_held = any(first <= key <= last for first, last, _, _ in self.held)
        return is_held and time.monotonic() < self.held_until

    async def send_heartbeats(self):
        while True:
            sent_at = time.monotonic()
            self.seq += 1
            # An expired lease is neither held nor reported as released.
            if time.monotonic() >= self.held_until:
                self.held = []
            beat = self.report(self.seq)
            if self.sharded:
                beat["holds"], beat["released"] = [it[:3] for it in self.held], self.released
            answer = await self.call_control("heartbeat", beat)
            if answer is not None:
                self.released = []
            soon = self.sharded and answer is not None and self.take_keys(answer, sent_at)
            pause = 0.05 if soon else HEARTBEAT_MS / 1_000 * random.uniform(0.95, 1.05)
            await asyncio.sleep(max(0.01, sent_at + pause - time.monotonic()))

    def report(self, seq):
        """A status report without the lists of keys."""
        report = {
            "address": f"{self.vm.ip}:8001",
            "info": {"service": self.service, "version": "v1", "zone": self.site.zone,
                     "slots": self.site.slots},
            "status": {"state": self.state, "seq": seq, "coldRemainingMs": 0},
        }
        if self.site.states_start:
            report["born"] = self.born_ms
        return report

    def take_keys(self, answer, sent_at):
        """Takes over the keys of a reply. Returns whether keys were released."""
        if "holds" not in answer:
            return False
        held = [tuple(it) for it in answer["holds"]]
        kept = {(first, last) for first, last, _, _ in held}
        gone = [it for it in self.held if (it[0], it[1]) not in kept]
        token = "".join(random.choices("0123456789abcdef", k=16))
        self.released += [[first, last, token] for first, last, _, _ in gone]
        self.held, self.held_until = held, sent_at + answer["holdMs"] / 1_000
        return bool(gone)

    async def call_control(self, call, body):
        """Calls the node on this machine. Returns the JSON of a 2xx response, or None."""
        try:
            return await asyncio.wait_for(self.exchange_control(call, body), 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            return None

    async def exchange_control(self, call, body):
        reader, writer = await asyncio.open_connection(self.vm.ip, 8005)
        try:
            path = f"/galenastream/instances/{self.id}/{call}"
            headers = [("Host", f"{self.vm.ip}:8005"), ("Content-Type", "application/json")]
            writer.write(message(f"POST {path} HTTP/1.1", headers, json.dumps(body).encode()))
            line, headers = await read_message(reader) or ("none 0", {})
            text = await read_body(reader, headers)
            is_success = line.split(" ")[1].startswith("2")
            return json.loads(text or b"{}") if is_success else None
        finally:
            writer.close()

    async def deregister(self):
        """Says that the instance leaves, and reports nothing any more. Returns when the leave was
        acknowledged."""
        self.beats.cancel()
        answer = await self.call_control("deregister", {})
        if answer is None:
            raise CannotRun(f"{self.name} got no acknowledgement of its leave")
        return self.record.add(self.name, "leave acknowledged", id=self.id)

    async def deliver_late(self, report, delay_s):
        """Delivers a status report that was held up on its way."""
        await asyncio.sleep(delay_s)
        self.record.add(self.name, "late report arrives", seq=report["status"]["seq"])
        await self.call_control("heartbeat", report)

    async def serve(self, reader, writer):
        owed = b""
        self.connections.add(asyncio.current_task())
        try:
            while (read := await read_message(reader)) is not None:
                line, headers = read
                body = await read_body(reader, headers)
                if owed:
                    self.record.add(self.name, "sends its last answer once more")
                    writer.write(owed)
                    owed = b""
                answer, is_repeated = await self.answer(line, headers, body)
                owed = answer if is_repeated else b""
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(asyncio.current_task())
            writer.close()

    def reject(self, status, reason, request_id):
        headers = [("X-Request-Id", request_id), ("X-Not-Executed", "1"),
                   ("Keep-Alive", "timeout=10")]
        self.record.add(self.name, "rejects", id=request_id, status=status)
        return message(f"HTTP/1.1 {status} {reason}", headers)

    async def answer(self, line, headers, body):
        method, target, _ = line.split(" ")
        if target == "/health":
            return message("HTTP/1.1 200 OK", [("X-Instance-Id", self.id)]), False
        request_id = headers.get("x-request-id")
        expected = headers.get("x-expected-instance", self.id)
        self.arrivals.append((self.record.now(), request_id))
        self.record.add(self.name, "gets", id=request_id, bytes=len(body), target=target)
        if request_id is None:
            return message("HTTP/1.1 400 Bad Request", [("X-Not-Executed", "1")]), False
        if expected != self.id:
            other = [("X-Request-Id", request_id), ("X-Instance-Id", self.id)]
            return message("HTTP/1.1 421 Misdirected Request", other), False
        if self.sharded and not self.holds_key(int(headers.get("x-shard-key", -1))):
            return self.reject(421, "Misdirected Request", request_id), False
        if self.sheds(request_id) or self.waiting >= self.site.queue:
            shed = self.reject(503, "Service Unavailable", request_id)
            return shed, self.late_copy(request_id)
        self.waiting += 1
        async with self.slot:
            self.waiting -= 1
            began = self.record.add(self.name, "runs", id=request_id)
            self.runs.append((began, request_id))
            await asyncio.sleep(self.work_ms / 1_000)
        self.record.add(self.name, "ends", id=request_id)
        headers = [
            ("X-Request-Id", request_id),
            ("X-Server-Signature", f"{self.id}.{request_id}"),
            ("Keep-Alive", "timeout=10"),
        ]
        return message("HTTP/1.1 200 OK", headers, b"x" * self.answer_bytes), False


class Vm:
    """A machine: its addresses, and the process of the node on it."""

    def __init__(self, deployment, name, ip, service):
        self.deployment, self.record = deployment, deployment.record
        self.name, self.ip, self.service = name, ip, service
        self.process = None
        self.instance = None

    def write_settings(self):
        site = self.deployment.site
        bounds = ",".join(json.dumps(it) for it in site.bounds.split(","))
        text = f"""
node = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar"]
ip = "{self.ip}"
zone = "{site.zone}"
region = "{site.region}"
portRange = [7600,7615]
seeds = []
bootstrap = {"false" if self.process else "true"}
faultCounted = false
discovery = "local"
entry = "local"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","retry","recover","own","platform"]
bounds = [{bounds}]
grants = "heartbeat"
appAddr = "{self.ip}:8001"
service = "{self.service}"
[zones]
{site.zone} = "{site.region}"
[listen]
inbound = "{self.ip}:8002"
outbound = "{self.ip}:8003"
ready = "{self.ip}:8004"
control = "{self.ip}:8005"
[limits]
cpuShare = 0.2
cores = 1
memoryMb = {site.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[platform]
address = "{self.deployment.store.address[0]}:{self.deployment.store.address[1]}"
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
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(text)

    @property
    def settings_path(self):
        return os.path.join(self.deployment.folder, f"{self.name}.toml")

    async def start_node(self):
        self.write_settings()
        names = ("PATH", "HOME", "LANG")
        variables = {it: os.environ[it] for it in names if it in os.environ}
        variables["GALENASTREAM_CONFIG"] = self.settings_path
        log = open(os.path.join(self.deployment.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, cwd=ROOT, env=variables, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()
        self.record.add(self.name, "node started")

    async def end_node(self, how=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(how)
            await self.process.wait()
            self.record.add(self.name, "node ended", by=how.name)

    def memory_mb(self):
        """The memory that the node uses, in units of 2^20 bytes; None if it has ended."""
        if self.process is None or self.process.returncode is not None:
            return None
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                lines = [it for it in file if it.startswith("VmRSS:")]
        except OSError:
            return None
        return int(lines[0].split()[1]) / 1_024 if lines else None

    async def is_ready(self):
        try:
            caller = await Caller.connect(self, 8004)
        except OSError:
            return False
        answer = await caller.request("GET", "/galenastream/ready", "ready", deadline_ms=1_000)
        caller.close()
        return answer is not None and answer.status == 200


class Answer:
    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body

    @property
    def is_signed(self):
        return "x-server-signature" in self.headers


class Caller:
    """A connection of a requester to the node on its machine."""

    def __init__(self, vm, reader, writer):
        self.vm, self.reader, self.writer = vm, reader, writer

    @classmethod
    async def connect(cls, vm, port=8003):
        return cls(vm, *await asyncio.open_connection(vm.ip, port, limit=1 << 20))

    @classmethod
    async def connect_with_small_window(cls, vm):
        """Connects with a small window, so that what is not read waits at the node."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (vm.ip, 8003))
        return cls(vm, *await asyncio.open_connection(sock=connection, limit=65_536))

    def send(self, method, path, request_id, deadline_ms, key=None, body=b""):
        headers = [
            ("Host", "shop.example"),
            ("X-Request-Id", request_id),
            ("X-Deadline-Ms", str(deadline_ms)),
        ]
        if key is not None:
            headers.append(("X-Shard-Key", str(key)))
        self.writer.write(message(f"{method} {path} HTTP/1.1", headers, body))

    async def read_answer(self):
        """Reads an answer; None if the connection ends without a whole one."""
        read = await read_message(self.reader)
        if read is None:
            return None
        line, headers = read
        try:
            body = await read_body(self.reader, headers)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return Answer(int(line.split(" ")[1]), headers, body)

    async def request(self, method, path, request_id, deadline_ms=600, key=None, body=b""):
        """Sends a request and waits for its answer; None without one."""
        try:
            self.send(method, path, request_id, deadline_ms, key, body)
            return await asyncio.wait_for(self.read_answer(), deadline_ms / 1_000 + 5)
        except (OSError, asyncio.TimeoutError):
            return None

    def close(self):
        self.writer.close()


def free_network():
    """Returns the first three octets of a loopback network whose ports are free."""
    for _ in range(200):
        network = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for port in (8001, 8002, 8003, 8004, 8005, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{network}.10", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Deployment:
    """A small deployment: the store, machines with instances, and their nodes."""

    def __init__(self, record, site):
        self.record, self.site = record, site
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="galenastream-review-")
        self.store = Store((f"{self.network}.1", 8627))
        self.vms, self.instances = [], []

    def add_vm(self, service, **fields):
        index = len(self.vms) + 1
        name = f"sidecar-{self.site.zone}-{index}"
        vm = Vm(self, name, f"{self.network}.{index + 9}", service)
        vm.instance = Instance(self, f"{service}-{index}", vm, service, **fields)
        self.vms.append(vm)
        self.instances.append(vm.instance)
        return vm

    def write_config(self, services, routes, version=7):
        """`services` are names and whether they are sharded; `routes` are fields of routes."""
        config = {
            "version": f"{version:08x}",
            "services": [
                {"name": name, "healthPath": "/health", "maxConnections": 120, "protocol": "h1",
                 "tls": False, "sharded": sharded, "warmupS": 2.0, "grants": "heartbeat"}
                for name, sharded in services
            ],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": MAX_BODY_BYTES,
                       "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
            "virtualHosts": [{"host": "shop.example", "paths": routes}],
        }
        self.store.put("op", "config", json.dumps(config).encode())

    async def start(self, keyed_service=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("build the deploy file first")
        await self.store.start()
        for instance in self.instances:
            await instance.start()
        for vm in self.vms:
            await vm.start_node()
        await self.wait_for("nodes to be ready", self.all_ready, 20)
        if keyed_service:
            await self.wait_for("keys to be held", lambda: self.all_held(keyed_service), 20)
        # Nodes learn of each other's instances by their statuses, once a second.
        await asyncio.sleep(3.5)

    async def all_ready(self):
        return all([await vm.is_ready() for vm in self.vms])

    async def all_held(self, service):
        held = [it.held for it in self.instances if it.service == service]
        keys = sum(last - first + 1 for ranges in held for first, last, _, _ in ranges)
        return keys == 65_536

    async def wait_for(self, what, is_done, limit_s):
        until = time.monotonic() + limit_s
        while not await is_done():
            if time.monotonic() > until:
                raise CannotRun(f"waited in vain for {what}")
            await asyncio.sleep(0.1)

    async def close(self):
        for instance in self.instances:
            instance.exit()
        for vm in self.vms:
            await vm.end_node()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def new_id():
    return "".join(random.choices("0123456789abcdef", k=16))


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(record_path, site, play):
    """Plays a case in a small deployment like a site. `play` takes a deployment and a record and returns the breaches it has seen."""
    record = Record(record_path)

    async def play_all():
        deployment = Deployment(record, site)
        # Ends the nodes also if the script is told to stop.
        playing = asyncio.ensure_future(asyncio.wait_for(play(deployment, record), 110))
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
        try:
            return await playing
        except asyncio.CancelledError:
            raise CannotRun("stopped") from None
        finally:
            await deployment.close()

    try:
        breaches = asyncio.run(play_all())
    # An error of the script itself must not count as a broken rule.
    except Exception as error:
        record.add("case", "cannot run", reason=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        record.close()
        return 2
    for breach in breaches:
        record.add("case", "BROKEN", breach=breach)
        print(breach)
    record.add("case", "rule broken" if breaches else "rule held")
    print("rule broken" if breaches else "rule held")
    record.close()
    return 1 if breaches else 0
