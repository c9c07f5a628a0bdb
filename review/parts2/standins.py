"""Stand-ins of the platform's store, of targets and of clients, as the users' pages describe them.

Everything listens on loopback addresses. Each machine has an address of its own in 127.0.0.0/8, so that the ports of all
gateways are the same, as on the users' machines.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target/release/damaskvane-gateway"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DEFAULT_BOUNDS = {
    "contact_ms": 3000, "grace_s": 6, "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10,
    "cold_factor": 1.5, "cold_slack": 5, "lookup_ttl_max_s": 5, "max_descriptors": 4100, "memory_mb": 260,
    "store_history_s": 20,
}


def now_ms():
    return time.monotonic() * 1000.0


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run; written to record.txt in the folder of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = now_ms()

    def line(self, text):
        self.file.write(f"{(now_ms() - self.started) / 1000:8.3f} {text}\n")

    def close(self):
        self.file.flush()
        self.file.close()


# --- HTTP ---------------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads the head and body of a message with a Content-Length or in chunks; returns None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            if size == 0:
                await reader.readline()
                break
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return lines[0], headers, body


def head_bytes(first, headers):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


# --- the platform's store -----------------------------------------------------------------------------------------

class Store:
    """Objects by kind and name, with one revision counter, lists, watches and conditional writes."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.server = None
        self.address = None

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=1024)
        self.address = f"{ip}:{port}"

    def view(self, kind, name):
        return self.objects.get((kind, name))

    async def write(self, kind, name, spec, rev=None, create_only=False, must_exist=False, finalizers=None):
        key = (kind, name)
        old = self.objects.get(key)
        if (create_only and old) or (old and rev is not None and rev != old["metadata"]["rev"]):
            return 409, old
        if must_exist and not old:
            return 404, {}
        if old and old["spec"] == spec and (finalizers is None or finalizers == old["metadata"]["finalizers"]):
            return 200, old
        self.revision += 1
        meta = {
            "name": name, "rev": self.revision,
            "created": old["metadata"]["created"] if old else self.revision,
            "finalizers": finalizers if finalizers is not None else (old["metadata"]["finalizers"] if old else []),
            "deleting": False,
        }
        new = {"metadata": meta, "spec": spec, "status": old["status"] if old else None}
        self.objects[key] = new
        await self.announce(kind, new, False)
        return 200, new

    async def delete(self, kind, name, rev=None):
        old = self.objects.get((kind, name))
        if not old:
            return 404, {}
        if rev is not None and rev != old["metadata"]["rev"]:
            return 409, old
        self.revision += 1
        del self.objects[(kind, name)]
        gone = json.loads(json.dumps(old))
        gone["metadata"]["rev"] = self.revision
        await self.announce(kind, gone, True)
        return 200, gone

    async def announce(self, kind, item, deleted):
        self.history.append((self.revision, kind, {"object": item, "deleted": deleted}))
        if kind != "servers" or deleted:
            self.record.line(f"store: revision {self.revision} {'removes' if deleted else 'holds'} "
                             f"{kind}/{item['metadata']['name']}")
        async with self.changed:
            self.changed.notify_all()

    def events(self, kind, since):
        return [event for revision, one, event in self.history if one == kind and revision > since]

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                status, body = await self.answer(*message)
                data = json.dumps(body).encode()
                writer.write(head_bytes(f"HTTP/1.1 {status} X", {
                    "Content-Type": "application/json", "Content-Length": len(data)}) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, first, _headers, body):
        method, target, _ = first.split(" ")
        parts = urlsplit(target)
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.split("/") if part]
        if path[:2] != ["v1", "objects"] or len(path) < 3:
            return 404, {}
        kind, name = path[2], path[3] if len(path) > 3 else None
        sent = json.loads(body) if body else {}
        meta = sent.get("metadata") or {}
        rev = meta.get("rev", query.get("rev"))
        rev = int(rev) if rev is not None else None
        await asyncio.sleep(0.002)
        if method == "GET" and name:
            found = self.view(kind, name)
            return (200, found) if found else (404, {})
        if method == "GET" and "watch" in query:
            since = int(query["watch"])
            until = now_ms() + min(int(query.get("waitMs", 0)), 30000)
            while not self.events(kind, since) and now_ms() < until:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), (until - now_ms()) / 1000)
                    except asyncio.TimeoutError:
                        pass
            return 200, {"events": self.events(kind, since), "storeRevision": self.revision}
        if method == "GET":
            names = sorted(one for of, one in self.objects if of == kind)
            names = [one for one in names if one > query.get("after", "")]
            items = [self.objects[(kind, one)] for one in names[:500]]
            return 200, {"items": items, "hasMore": len(names) > 500, "storeRevision": self.revision}
        if method == "POST":
            status, found = await self.write(kind, meta["name"], sent.get("spec"), create_only=True)
            return status, found
        if method == "PUT" and len(path) == 4:
            return await self.write(kind, name, sent.get("spec"), rev=rev, must_exist=True,
                                    finalizers=meta.get("finalizers"))
        if method == "DELETE":
            return await self.delete(kind, name, rev)
        return 404, {}


# --- targets ------------------------------------------------------------------------------------------------------

class Target:
    """One target: registers itself, checks X-Expect-Instance, runs up to `capacity` requests and queues a few."""

    def __init__(self, env, service, zone, number, capacity=8, work_ms=20, body=b"x" * 200, queue=16):
        self.env, self.service, self.zone = env, service, zone
        self.id = f"i-{service}-{number:03d}"
        self.capacity, self.queue, self.work_ms, self.body = capacity, queue, work_ms, body
        self.running = self.waiting = 0
        self.slots = asyncio.Semaphore(capacity)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.tasks = []
        self.born = int(time.time() * 1000)

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=1024)
        self.address = f"{ip}:{port}"
        await self.beat()
        self.tasks.append(asyncio.create_task(self.beats()))

    async def beat(self):
        self.sequence += 1
        await self.env.store.write("servers", self.id, {
            "backend": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "capacity": self.capacity, "state": self.state, "warmupLeftMs": 0, "sequence": self.sequence,
            "born": self.born})

    async def beats(self):
        while True:
            await asyncio.sleep(1.5)
            await self.beat()

    def load(self):
        return f"{self.running},{self.waiting},{self.capacity}"

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                await self.respond(writer, *message)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def respond(self, writer, first, headers, body):
        method, path, _ = first.split(" ")
        request_id = headers.get("x-request-id")
        answer = {"X-Instance-Id": self.id, "X-Server-Load": self.load(), "Keep-Alive": "timeout=20"}
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(head_bytes(f"HTTP/1.1 {status} X", {**answer, "Content-Length": 0}))
            return await writer.drain()
        if request_id is not None:
            answer["X-Request-Id"] = request_id
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            writer.write(head_bytes("HTTP/1.1 421 Misdirected Request", {**answer, "Content-Length": 0}))
            return await writer.drain()
        if request_id is None or self.running + self.waiting >= self.capacity + self.queue:
            status = 400 if request_id is None else 503
            writer.write(head_bytes(f"HTTP/1.1 {status} X", {**answer, "X-Not-Executed": 1, "Content-Length": 0}))
            return await writer.drain()
        self.waiting += 1
        await self.slots.acquire()
        self.waiting -= 1
        self.running += 1
        try:
            run = {"id": request_id, "at": now_ms(), "target": self.id, "method": method, "path": path,
                   "tenant": headers.get("x-tenant"), "body": len(body), "headers": headers}
            self.runs.append(run)
            await self.work(writer, answer, run)
            run["done"] = now_ms()
        finally:
            self.running -= 1
            self.slots.release()

    async def work(self, writer, answer, run):
        await asyncio.sleep(self.work_ms / 1000)
        answer["X-Server-Load"] = self.load()
        answer["X-Server-Stamp"] = f"stamp.{run['id']}"
        writer.write(head_bytes("HTTP/1.1 200 OK", {**answer, "Content-Length": len(self.body)}) + self.body)
        await writer.drain()


# --- gateways -----------------------------------------------------------------------------------------------------

class Gateway:
    """The deployed program as a process, with the settings that the deploy file's template gives."""

    def __init__(self, env, name, zone, region, ip, seeds, settings):
        self.env, self.name, self.zone, self.ip = env, name, zone, ip
        self.front = (ip, env.ports["front"])
        self.ready = (ip, env.ports["ready"])
        values = {
            "instance": name, "zone": zone, "region": region,
            "client_address": f"{ip}:{env.ports['front']}", "ready_address": f"{ip}:{env.ports['ready']}",
            "lookup_address": f"{ip}:{env.ports['directory']}", "peer_address": f"{ip}:{env.ports['peer']}",
            "seeds": seeds, "metrics_address": f"{ip}:{env.ports['metrics']}", "store_address": env.store.address,
            **DEFAULT_BOUNDS, "quota_uses_unused_burst": True, **settings,
        }
        text = "".join(f"{key} = {json.dumps(value)}\n" for key, value in values.items())
        text += "\n[regions]\n" + "".join(f"\"{one}\" = \"{of}\"\n" for one, of in env.zones.items())
        self.settings_file = env.folder / f"{name}.toml"
        self.settings_file.write_text(text)
        self.log_file = env.folder / f"{name}.log"
        self.process = None

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["DAMASKVANE_CONFIG"] = str(self.settings_file)
        with open(self.log_file, "ab") as log:
            self.process = subprocess.Popen([str(GATEWAY)], cwd=ROOT, env=environment, stdout=log, stderr=log,
                                            stdin=subprocess.DEVNULL)
        self.env.record.line(f"{self.name}: started")

    def kill(self, number=signal.SIGKILL):
        if self.process and self.process.poll() is None:
            self.env.record.line(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    def rss_mb(self):
        try:
            for line in open(f"/proc/{self.process.pid}/status", encoding="ascii"):
                if line.startswith("VmRSS"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    async def until_ready(self, timeout_s=15):
        until = now_ms() + timeout_s * 1000
        while now_ms() < until:
            try:
                reader, writer = await asyncio.open_connection(*self.ready)
                writer.write(head_bytes("GET /v1/ready HTTP/1.1", {"Host": "x", "Connection": "close"}))
                message = await read_message(reader)
                writer.close()
                if message and " 200" in message[0]:
                    self.env.record.line(f"{self.name}: ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")


# --- clients ------------------------------------------------------------------------------------------------------

class Clients:
    """Clients of one gateway, which keep connections open and send one request at a time on each."""

    def __init__(self, env, address):
        self.env, self.address, self.idle, self.answers = env, address, [], []

    async def request(self, request_id, method, path, headers, body=b"", timeout_s=10.0, fresh=False):
        """Sends a request; returns the status, 0 if the connection ended without an answer."""
        answer = {"id": request_id, "sent": now_ms(), "status": 0, "path": path, "kept": False}
        self.answers.append(answer)
        try:
            reader, writer = (None, None)
            while self.idle and not fresh:
                reader, writer = self.idle.pop()
                if not (reader.at_eof() or writer.is_closing()):
                    answer["kept"] = True
                    break
                writer.close()
                reader = None
            if reader is None:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.address, limit=1 << 20), 1.0)
            sent = {"Host": "desk.example", "X-Request-Id": request_id, **headers}
            if body or method != "GET":
                sent["Content-Length"] = len(body)
            answer["sent"] = now_ms()
            writer.write(head_bytes(f"{method} {path} HTTP/1.1", sent) + body)
            message = await asyncio.wait_for(read_message(reader), timeout_s)
            if message is None:
                writer.close()
            else:
                first, got, _ = message
                answer["status"] = int(first.split(" ")[1])
                answer["headers"] = got
                if got.get("connection", "").lower() == "close":
                    writer.close()
                else:
                    self.idle.append((reader, writer))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            answer["error"] = repr(error)
            if writer is not None:
                writer.close()
        answer["answered"] = now_ms()
        return answer


# --- a deployment -------------------------------------------------------------------------------------------------

def manifest(version, routes, services, limits=None, tenants=None):
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
              **(limits or {})}
    found = {"version": f"{version:08x}", "routes": routes, "limits": limits, "backends": [
        {"name": one, "healthPath": "/healthz", "maxConnections": 2000, "protocol": "h1", "tls": False,
         "warmupS": 3.0, "warmupPerS": 11.0} for one in services]}
    if tenants is not None:
        found["tenants"] = tenants
    return found


def route(name, prefix, kind, service, timeout_ms, aim_ms, **more):
    return {"name": name, "hostname": "desk.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout_ms,
            "aimMs": aim_ms, "priority": 1, "backend": service, "attempts": 2, "sessionAffinity": False,
            "allowedRegions": [], **more}


class Env:
    def __init__(self, folder, zones, store=Store):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="damaskvane-review-"))
        self.record = Record(folder)
        self.zones = zones
        self.net = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self.next_host = 10
        base = free_base(f"{self.net}.1")
        self.ports = {"front": base, "ready": base + 1, "directory": base + 2, "peer": base + 3, "metrics": base + 4}
        self.store_port, self.target_port = base + 5, base + 6
        self.store = store(self.record)
        self.gateways, self.targets, self.processes = [], [], []

    def host(self):
        self.next_host += 1
        return f"{self.net}.{self.next_host}"

    async def start_store(self):
        await self.store.start(f"{self.net}.1", self.store_port)

    async def add_target(self, target):
        await target.start(self.host(), self.target_port)
        self.targets.append(target)
        return target

    def add_gateway(self, name, zone, settings=None, ip=None):
        ip = ip or self.host()
        seeds = [f"{one.ip}:{self.ports['peer']}" for one in self.gateways[:3]]
        one = Gateway(self, name, zone, self.zones[zone], ip, seeds, settings or {})
        self.gateways.append(one)
        one.start()
        return one

    def runs(self):
        return [run for target in self.targets for run in target.runs]

    def stop(self):
        for one in self.gateways:
            if one.process and one.process.poll() is None:
                one.process.kill()
                one.process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def free_base(ip):
    for _ in range(200):
        base = random.randrange(20000, 32000)
        try:
            for port in range(base, base + 7):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return base
        except OSError:
            continue
    raise CannotRun("no free ports")


def play(folder, zones, case, limit_s=110, store=Store):
    """Runs a case; ends the process with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

    async def whole():
        env = Env(folder, zones, store)
        try:
            await env.start_store()
            broken = await asyncio.wait_for(case(env), limit_s)
            env.record.line(f"verdict: {'the rule was broken' if broken else 'the rule held'}")
            print("the rule was broken" if broken else "the rule held")
            code = 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            env.record.line(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            code = 2
        finally:
            env.stop()
        sys.stdout.flush()
        os._exit(code)

    if not GATEWAY.exists():
        print("could not run: the deployed program is not built")
        sys.exit(2)
    asyncio.run(whole())
