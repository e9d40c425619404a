"""Stand-ins for the review cases 11 to 15: platform, minions, links, clients.

Everything runs in the process of the case. The nodes are separate processes,
started with the command of the deploy file. Only the standard library is used.
"""

import asyncio
import base64
import dataclasses
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
FRONT_PORT, READY_PORT, CONTROL_PORT = 8624, 8622, 8623
STORE_PORT, CLOUD_PORT, MINION_PORT, ADVICE_PORT = 8621, 8620, 8700, 8619
HOST = "jobs.example"
VISIBLE_MS = 3000
NO_ANSWER = object()


def now_ms():
    return time.monotonic() * 1000


# --- HTTP -----------------------------------------------------------------


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    return method, path, dict(urllib.parse.parse_qsl(query)), headers, body


async def serve(address, handler):
    """Serves HTTP/1.1 with keep-alive; `handler` returns (status, document)."""

    async def connected(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                answer = await handler(*request)
                if answer is NO_ANSWER:
                    await reader.read()
                    break
                status, document = answer
                body = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode() + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(connected, host, int(port))


async def call(address, method, path, document=None, timeout=4.0, host=HOST):
    """Sends one request on a channel of its own; returns (status, document).

    The status is 0 if no whole answer came in time.
    """
    body = json.dumps(document).encode() if document is not None else b""

    async def exchange():
        name, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(name, int(port))
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                "Content-Type: application/json\r\n"
                f"X-Fireflywell-Deadline-Milliseconds: {int(timeout * 1000)}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = 0
            for line in head.split("\r\n"):
                if line.lower().startswith("content-length:"):
                    length = int(line.partition(":")[2])
            data = await reader.readexactly(length)
            return status, json.loads(data) if data else {}
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


# --- The platform's store -------------------------------------------------


class Store:
    """Rows with versions, atomic transactions and a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.log = []
        self.changed = asyncio.Event()
        self.transaction_s = 0.006

    def put(self, table, part, key, document):
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.apply([((table, part, key), value)], [])

    def remove(self, table, part, key):
        self.apply([], [(table, part, key)])

    def read_json(self, table, part, key):
        row = self.rows.get((table, part, key))
        return json.loads(base64.b64decode(row[0])) if row else None

    def apply(self, puts, removes):
        self.version += 1
        for place, value in puts:
            self.rows[place] = (value, self.version)
            self.log.append((self.version, place, value))
        for place in removes:
            if self.rows.pop(place, None) is not None:
                self.log.append((self.version, place, None))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, method, path, query, headers, body):
        match method, path:
            case "POST", "/rows-tx":
                await asyncio.sleep(self.transaction_s)
                status, answer = self.transact(json.loads(body))
            case "GET", "/rows-get":
                await asyncio.sleep(0.002)
                status, answer = 200, self.get(query)
            case "GET", "/rows-parts":
                after = query.get("after", "")
                parts = {p for t, p, _ in self.rows if t == query["table"]}
                names = sorted(p for p in parts if p > after)[:1000]
                status, answer = 200, {"parts": names}
            case "GET", "/rows-feed":
                status, answer = 200, await self.feed(query)
            case _:
                status, answer = 404, {}
        answer.setdefault("row_version", self.version)
        answer["now_ms"] = int(now_ms())
        return status, answer

    def transact(self, document):
        expected = document.get("expected") or []
        places = [_place(item) for item in expected]
        holds = all(
            self.rows.get(place, ("", 0))[1] == item["row_version"]
            for place, item in zip(places, expected)
        )
        if not holds:
            rows = [self.encode(p) for p in places if p in self.rows]
            return 412, {"rows": rows}
        self.apply(
            [(_place(p), p["value"]) for p in document.get("puts") or []],
            [_place(p) for p in document.get("remove") or []],
        )
        return 200, {"row_version": self.version}

    def get(self, query):
        first, target = query.get("from", ""), query.get("target")
        places = sorted(
            p
            for p in self.rows
            if p[0] == query["table"]
            and p[1] == query.get("part", "")
            and p[2] >= first
            and (target is None or p[2] < target)
        )
        rows, size = [], 0
        for place in places[: min(500, int(query.get("limit", 500)))]:
            size += len(self.rows[place][0])
            # An answer holds at most 1 MB.
            if rows and size > 1_000_000:
                break
            rows.append(self.encode(place))
        return {"rows": rows, "has_more": len(places) > len(rows)}

    async def feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(30000, int(query.get("wait_ms", 0))) / 1000
        while True:
            changed = self.changed
            found = [
                (v, p, value)
                for v, p, value in self.log
                if v > after and p[0] == query["table"]
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass
        rows = []
        for version, place, value in found:
            row = {"table": place[0], "part": place[1], "key": place[2]}
            row["row_version"] = version
            if value is None:
                row["deleted"] = True
            else:
                row["value"] = value
            rows.append(row)
        return {"rows": rows, "row_version": self.version}

    def encode(self, place):
        value, version = self.rows[place]
        table, part, key = place
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "row_version": version,
        }


def _place(item):
    return item["table"], item.get("part", ""), item["key"]


# --- Minions --------------------------------------------------------------


@dataclasses.dataclass
class Run:
    """A run on a minion."""

    unit: str
    number: int
    minion: "Minion"
    started_ms: float
    checkpoint: str
    base_ms: int
    saved: str


class Gang:
    """The members of one run of a gang, on all minions."""

    def __init__(self):
        self.members = {}
        self.works_since_ms = None
        self.begun_ms = now_ms()


class World:
    """What the minions know of jobs, and what they were told."""

    def __init__(self, record):
        self.record = record
        self.jobs = {}
        self.gangs = {}
        self.minions = {}
        self.starts = []
        self.ends = []

    def spec(self, unit):
        job_id, _, step, _ = unit.split(".")
        return self.jobs[job_id]["steps"][int(step)]

    def duration_ms(self, unit):
        return self.spec(unit).get("real_ms", self.spec(unit)["estimated_ms"])


class Minion:
    """One minion; a crash ends its life, `revive` begins another."""

    def __init__(self, world, store, name, service, address, rack, **options):
        self.world, self.store = world, store
        self.name, self.service, self.address = name, service, address
        self.rack = rack
        self.cpu = options.get("cpu", 16000)
        self.interval_ms = options.get("checkpoint_ms", 2000)
        self.hold_max_ms = options.get("hold_max_ms", 6000)
        self.gang_timeout_ms = 3000
        self.lives = 0
        self.is_dark = False
        self.revive()

    def revive(self):
        self.lives += 1
        self.id = f"{self.name}-{self.lives}"
        self.born = int(time.time() * 1000)
        self.clock_base = now_ms() - 1000
        self.runs, self.highest, self.ended = {}, {}, []
        self.count = self.token = 0
        self.lease_until = 0
        self.is_dark = False
        self.changed = asyncio.Event()
        self.sequence = 0

    def clock(self):
        return int(now_ms() - self.clock_base)

    def write_entry(self):
        self.sequence += 1
        self.store.put(
            "servers",
            "",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": "casa-a",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "labels": ["a", self.rack],
                "capacity": {"cpu": self.cpu, "requested_memory_mb": 32768},
                "born": self.born,
                "machine": f"m-{self.name}",
            },
        )

    def crash(self):
        """Ends the life without a word; members of its gangs break."""
        self.is_dark = True
        for run in list(self.runs.values()):
            self.world.record("minion.crash_ends", minion=self.id, unit=run.unit)
            self.end(run, "crash")

    async def handle(self, method, path, query, headers, body):
        if self.is_dark:
            return NO_ANSWER
        if headers.get("x-fireflywell-expected-instance", self.id) != self.id:
            return 421, {}
        item = json.loads(body) if body else {}
        token = int(item.get("fencing_token") or 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        self.step()
        match path:
            case "/run-start":
                return self.start(item)
            case "/run-stop":
                return self.stop(item)
            case "/hold":
                return await self.hold(item)
            case "/pace":
                return 200, {"clock_ms": self.clock()}
        return 404, {}

    def extend(self, deadline):
        limit = self.clock() + self.hold_max_ms
        self.lease_until = max(self.lease_until, min(int(deadline), limit))

    def start(self, item):
        unit, number = item["task"], int(item["run"])
        clock = self.clock()
        self.extend(item["deadline_ms"])
        if (unit, number) in self.runs:
            return 200, {"clock_ms": clock}
        reason = None
        spec = self.world.spec(unit)
        used = sum(self.world.spec(r.unit)["cpu"] for r in self.runs.values())
        if item["deadline_ms"] <= clock:
            reason = "late"
        elif number <= self.highest.get(unit, 0):
            reason = "old"
        elif used + spec["cpu"] > self.cpu:
            reason = "room"
        if reason:
            return 409, {"clock_ms": clock, "reason": reason}
        self.highest[unit] = number
        checkpoint = item.get("checkpoint", "")
        base = int(checkpoint[:8], 16) if checkpoint else 0
        run = Run(unit, number, self, now_ms(), checkpoint, base, checkpoint)
        self.runs[unit, number] = run
        self.world.starts.append(
            {
                "at": now_ms(),
                "minion": self.id,
                "unit": unit,
                "run": number,
                "checkpoint": checkpoint,
                "specification": item["specification"],
                "token": self.token,
            }
        )
        self.world.record("minion.start", **self.world.starts[-1])
        if spec.get("gang"):
            gang = self.world.gangs.setdefault(self.gang_key(run), Gang())
            gang.members[unit] = run
            if len(gang.members) == spec["count"]:
                gang.works_since_ms = now_ms()
        return 200, {"clock_ms": clock}

    def gang_key(self, run):
        return run.unit.rpartition(".")[0], run.number

    def worked_ms(self, run):
        spec = self.world.spec(run.unit)
        since = run.started_ms
        if spec.get("gang"):
            since = self.world.gangs[self.gang_key(run)].works_since_ms
            if since is None:
                return run.base_ms
        return run.base_ms + now_ms() - since

    def step(self):
        """Brings runs up to date: checkpoints, ends and lapses."""
        for run in list(self.runs.values()):
            if (run.unit, run.number) not in self.runs:
                continue
            spec = self.world.spec(run.unit)
            worked = self.worked_ms(run)
            if spec.get("checkpointing"):
                saved = int(worked // self.interval_ms) * self.interval_ms
                if saved > run.base_ms:
                    run.saved = make_checkpoint(run.unit, saved)
            if self.clock() >= self.lease_until:
                self.end(run, "lapsed")
            elif not spec.get("long_running") and (
                worked >= self.world.duration_ms(run.unit)
            ):
                self.end(run, "done")
            elif spec.get("gang"):
                gang = self.world.gangs[self.gang_key(run)]
                waited = now_ms() - gang.begun_ms
                if gang.works_since_ms is None and (
                    waited > self.gang_timeout_ms
                ):
                    self.end(run, "alone")

    def end(self, run, how):
        if self.runs.pop((run.unit, run.number), None) is None:
            return
        if how != "crash":
            self.count += 1
            saved = "" if how == "done" else run.saved
            self.ended.append([self.count, run.unit, run.number, how, saved])
            self.world.ends.append({"unit": run.unit, "how": how})
            self.world.record(
                "minion.end", minion=self.id, unit=run.unit, run=run.number,
                how=how, saved=saved,
            )
        self.signal()
        if self.world.spec(run.unit).get("gang"):
            gang = self.world.gangs[self.gang_key(run)]
            for other in list(gang.members.values()):
                if (other.unit, other.number) in other.minion.runs:
                    other.minion.end(other, "done" if how == "done" else "broken")

    def signal(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def stop(self, item):
        unit, number = item["task"], int(item["run"])
        self.highest[unit] = max(self.highest.get(unit, 0), number)
        run = self.runs.get((unit, number))
        if run is not None:
            self.end(run, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, item):
        if "deadline_ms" in item:
            self.extend(item["deadline_ms"])
        seen = int(item.get("last_seen") or 0)
        self.ended = [e for e in self.ended if e[0] > seen]
        end = time.monotonic() + min(2000, item.get("wait_ms", 0)) / 1000
        while True:
            self.step()
            left = end - time.monotonic()
            if self.ended or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            except TimeoutError:
                pass
        if self.is_dark:
            return NO_ANSWER
        running = []
        for run in self.runs.values():
            spec = self.world.spec(run.unit)
            percent = 100
            if not spec.get("long_running"):
                total = self.world.duration_ms(run.unit)
                percent = int(min(99, 100 * self.worked_ms(run) / total))
            running.append([run.unit, run.number, run.saved, percent, 0])
        return 200, {
            "clock_ms": self.clock(),
            "born": self.born,
            "running": running,
            "ended": self.ended[:500],
        }


def make_checkpoint(unit, worked_ms):
    """Returns milliseconds of work and a part of the job's id, as the page."""
    return f"{int(worked_ms):08x}{unit[4:12]}"


# --- Links ----------------------------------------------------------------


class Link:
    """Relays channels to an address until it is cut.

    While it is cut, bytes are held up. When it heals they are delivered, unless
    their sender has reset the channel. New channels get no answer meanwhile.
    """

    def __init__(self, name, target, record, on_data=None):
        self.name, self.target, self.record = name, target, record
        self.on_data = on_data
        self.open = asyncio.Event()
        self.open.set()

    async def listen(self, address):
        host, _, port = address.rpartition(":")
        return await asyncio.start_server(self.connected, host, int(port))

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def connected(self, reader, writer):
        # A channel that was opened during a cut was never established.
        if not self.open.is_set():
            await self.open.wait()
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(":")
        try:
            out_reader, out_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self.relay(reader, out_writer, is_request=True),
            self.relay(out_reader, writer, is_request=False),
        )
        writer.close()
        out_writer.close()

    async def relay(self, reader, writer, is_request):
        try:
            while True:
                data = await reader.read(65536)
                if data and is_request and self.on_data and self.open.is_set():
                    self.on_data(self, data)
                if not self.open.is_set():
                    await self.open.wait()
                    # A reset of the sender shows in the next read or write.
                    if reader.exception() is not None:
                        break
                    if data and is_request:
                        self.record("link.held_bytes_delivered", link=self.name,
                                    data=data.decode("latin-1")[:400])
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            if not writer.is_closing():
                writer.transport.abort()


# --- Nodes ----------------------------------------------------------------


SETTINGS = """
node_name = "{name}"
role = "node"
machine_class = "front"
serves = ["front", "control"]
ip_address = "{ip}"
zone = "casa-a"
region = "ma-north"
internal_port_range = [7060, 7075]
seed_nodes = []
bootstrap = true
counts_toward_tolerance = false
discovery = "platform"
entry = "virtual_ip"
heartbeat_interval_ms = 1500
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
orders = "call"
advice = "{advice}"
[zones]
casa-a = "ma-north"
[listen_addresses]
front = "{ip}:{front}"
ready_address = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
file_descriptors = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_delay_s = 2
contact_timeout_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_timeout_ms = 2000
grace_period_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
max_hold_ms = 6000
stop_timeout_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_factor = 2
checkpoint_interval_s = 2
restore_ms = 250
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
require_fencing = false
lease_duration_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
harm_ms = 4000
[platform]
address = "{store}"
form = "table"
writes_per_s = 600
reads_per_s = 2000
transaction_ms = 6.0
part_writes_per_s = 200
row_bytes = 65536
across = false
history_retention_s = 20
blob_bytes = 8388608
blob_ms = 25.0
blob_mb_per_s = 80.0
[cloud_api]
address = "{cloud}"
rate_per_s = 64.0
duties = []
duty_per_s = 64.0
"""


class Case:
    """Runs one case: its addresses, processes, record and verdict."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.lines = []
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.processes = {}
        self.servers = []
        self.subnet = self.find_subnet()
        self.store = Store()
        self.world = World(self.record)
        self.failed = None
        self.broken = None

    def find_subnet(self):
        """Returns the start of loopback addresses on which ports are free."""
        for _ in range(50):
            subnet = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (FRONT_PORT, STORE_PORT, MINION_PORT):
                    with socket.socket() as probe:
                        probe.bind((f"{subnet}.1", port))
                return subnet
            except OSError:
                continue
        raise RuntimeError("no free loopback addresses")

    def address(self, host, port):
        return f"{self.subnet}.{host}:{port}"

    def record(self, event, **fields):
        at = time.monotonic() - self.began
        fields.pop("at", None)
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self.lines.append(f"{at:8.3f} {event} {text}")

    async def start_platform(self, cloud=None):
        self.servers.append(
            await serve(self.address(1, STORE_PORT), self.store.handle)
        )
        self.servers.append(
            await serve(
                self.address(1, CLOUD_PORT), cloud or self.empty_cloud
            )
        )

    async def empty_cloud(self, method, path, query, headers, body):
        if path == "/machines":
            return 200, {"machines": [], "next_page_token": ""}
        return 400, {}

    def put_configuration(self, queues, services, version=1, **options):
        """Writes `op/config`; `queues` maps names to services."""
        routes = [
            {
                "name": name,
                "host": HOST,
                "path_prefix": f"/{name}/",
                "service": service,
                "priority": 0,
                "max_attempts": options.get("max_attempts", 5),
                "stretch_factor": 1.6,
                "target_latency_ms": 600,
            }
            for name, service in queues.items()
        ]
        self.store.put(
            "op",
            "",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {"name": name, "enforces_capacity": True, "spare": False}
                    for name in services
                ],
                "limits": {"max_body_bytes": 262144},
            },
        )

    async def add_minion(self, name, service, host, rack, **options):
        minion = Minion(
            self.world, self.store, name, service,
            self.address(host, MINION_PORT), rack, **options,
        )
        self.world.minions[name] = minion
        self.servers.append(await serve(minion.address, minion.handle))
        minion.write_entry()
        return minion

    async def check_in(self):
        """Minions write their entries; one that is lost loses its entry."""
        lost = {}
        while True:
            for minion in self.world.minions.values():
                if not minion.is_dark:
                    lost.pop(minion.id, None)
                    minion.write_entry()
                    continue
                lost.setdefault(minion.id, time.monotonic())
                if time.monotonic() - lost[minion.id] > 4.5 and (
                    ("servers", "", minion.id) in self.store.rows
                ):
                    self.store.remove("servers", "", minion.id)
            await asyncio.sleep(1.5)

    async def run_minions(self):
        """Lets runs end and lapse at their time, also without a call."""
        while True:
            for minion in self.world.minions.values():
                if not minion.is_dark:
                    minion.step()
            await asyncio.sleep(0.02)

    def node_ip(self, number):
        return f"{self.subnet}.{100 + number}"

    def front(self, number):
        return f"{self.node_ip(number)}:{FRONT_PORT}"

    async def start_node(self, number, store=None, cloud=None):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["node"]["run"])
        path = self.temporary / f"node-{number}.toml"
        path.write_text(
            SETTINGS.format(
                name=f"front-casa-a-{number}",
                ip=self.node_ip(number),
                front=FRONT_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                store=store or self.address(1, STORE_PORT),
                cloud=cloud or self.address(1, CLOUD_PORT),
                advice=self.address(1, ADVICE_PORT),
            )
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["FIREFLYWELL_CONFIG"] = str(path)
        environment["PYTHONPATH"] = os.environ.get(
            "REVIEW_DEPS", str(ROOT / "target" / "deps")
        )
        log = (self.temporary / f"node-{number}.log").open("ab")
        self.processes[number] = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL,
        )
        log.close()

    async def wait_ready(self, numbers, timeout=30):
        end = time.monotonic() + timeout
        for number in numbers:
            address = f"{self.node_ip(number)}:{READY_PORT}"
            while (await call(address, "GET", "/readiness", timeout=1))[0] != 200:
                if time.monotonic() > end:
                    raise RuntimeError(f"node {number} isn't ready")
                await asyncio.sleep(0.1)

    async def submit(self, number, queue, job_id, steps, specification="s",
                     **more):
        """Submits a job; the minions learn what its units are."""
        self.world.jobs.setdefault(job_id, {"steps": steps})
        sent = [{k: v for k, v in s.items() if k != "real_ms"} for s in steps]
        status, _ = await call(
            self.front(number), "POST", f"/{queue}/{job_id}",
            {"specification": specification, "steps": sent, **more},
        )
        self.record("client.post", queue=queue, job=job_id, status=status)
        return status

    async def ask(self, number, queue, job_id):
        status, answer = await call(
            self.front(number), "GET", f"/{queue}/{job_id}"
        )
        self.record(
            "client.get", queue=queue, job=job_id, status=status,
            answer=json.dumps(answer),
        )
        return status, answer

    async def cancel(self, number, queue, job_id):
        status, _ = await call(
            self.front(number), "DELETE", f"/{queue}/{job_id}"
        )
        self.record("client.delete", queue=queue, job=job_id, status=status)
        return status

    async def stop_all(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in self.servers:
            server.close()

    def finish(self):
        lines = [
            f"trouble={int(self.trouble)}",
            *self.lines,
            f"verdict: {self.broken or self.failed or 'the rule held'}",
        ]
        (self.folder / "record.txt").write_text("\n".join(lines) + "\n")
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.temporary, ignore_errors=True)
        else:
            print(self.temporary)
        print(lines[-1])
        if self.broken:
            return 1
        return 2 if self.failed else 0


def run_case(folder, body, limit_s=110):
    """Runs a case and exits with its verdict."""

    async def main():
        case = Case(folder)
        tasks = [
            asyncio.create_task(case.check_in()),
            asyncio.create_task(case.run_minions()),
        ]
        try:
            await asyncio.wait_for(body(case), limit_s)
        except (Exception, asyncio.CancelledError) as error:
            case.failed = f"the case couldn't run: {error!r}"
        finally:
            for task in tasks:
                task.cancel()
            await case.stop_all()
        return case.finish()

    async def run():
        task = asyncio.create_task(main())
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        status = await task
        sys.stdout.flush()
        # Channels that are still open must not delay or fill the output.
        os._exit(status)

    asyncio.run(run())
