"""The machine that watches the store for its region stands still while targets leave."""
import asyncio
import pathlib
import random
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "parts2"))
import standins as s

FOLDER = pathlib.Path(__file__).resolve().parent
ZONES = {"pirkanmaa-a": "pirkanmaa", "pirkanmaa-b": "pirkanmaa"}
DRAIN_MS, CONTACT_MS = 2500, 4000
ROUND_TRIP_S, JITTER = 0.11, 0.3  # the store stands in another region: 55 ms one way
HISTORY_S = 8.0  # "It may discard its history sooner than `historyS`"
TARGETS, LEAVING = 16, 4
TIMES, EVERY_S = 8, 12.0
FROZEN_AFTER_S, FROZEN_S = 0.4, 4.0
PER_S = 60  # at each gateway


def trip():
    return asyncio.sleep(ROUND_TRIP_S / 2 * (1 + JITTER * random.uniform(-1, 1)))


class FarStore(s.Store):
    """A store in another region, which keeps its history for HISTORY_S."""

    def __init__(self, record):
        super().__init__(record)
        self.written = []

    async def announce(self, kind, item, deleted):
        self.written.append((s.now_ms(), self.revision))
        await super().announce(kind, item, deleted)

    async def serve(self, reader, writer):
        await trip()
        await trip()  # the handshake
        await super().serve(reader, writer)

    async def answer(self, first, headers, body):
        await trip()
        answer = None
        if "watch=" in first:
            since = int(first.split("watch=")[1].split("&")[0].split(" ")[0])
            gone = max((revision for at, revision in self.written if at < s.now_ms() - HISTORY_S * 1000), default=0)
            if since < gone:
                answer = 410, {}
        answer = answer or await super().answer(first, headers, body)
        await trip()
        return answer


class LeavingTarget(s.Target):
    """A target that may leave: it says so in the store, answers 503 to health checks and closes its connections."""

    left_at = None

    async def leave(self):
        self.state = "draining"
        await self.beat()
        await trip()
        self.left_at = s.now_ms()
        self.env.record.line(f"store: acknowledged that {self.id} is draining")

    async def respond(self, writer, first, headers, body):
        arrived = s.now_ms()
        if "/healthz" not in first and headers.get("x-expect-instance", self.id) == self.id:
            self.env.arrivals.append((arrived, self, headers.get("x-request-id", "")))
        await super().respond(writer, first, headers, body)

    async def work(self, writer, answer, run):
        if self.state == "draining":
            answer["Connection"] = "close"
        await super().work(writer, answer, run)

    async def end(self):
        for task in self.tasks:
            task.cancel()
        await self.env.store.delete("servers", self.id)


async def load(env, gateway, until):
    clients, number, tasks = s.Clients(env, gateway.front), 0, []
    while s.now_ms() < until:
        number += 1
        tasks.append(asyncio.create_task(clients.request(
            f"{gateway.name}/{number}", "GET", f"/log/{number}", {"X-Deadline-Ms": 3000})))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)


async def case(env):
    env.arrivals = []
    await env.store.write("config", "main", s.manifest(7, [
        s.route("r-log", "/log/", "idempotent", "logbook", 1200, 500)], ["logbook"]))
    number = 0

    async def add():
        nonlocal number
        number += 1
        return await env.add_target(LeavingTarget(env, "logbook", list(ZONES)[number % 2], number, capacity=9, queue=27))

    current = [await add() for _ in range(TARGETS)]
    settings = {"contact_ms": CONTACT_MS, "retry_slack": 64}
    for name, zone in (("a-1", "pirkanmaa-a"), ("b-1", "pirkanmaa-b"), ("a-2", "pirkanmaa-a"), ("b-2", "pirkanmaa-b"),
                       ("a-3", "pirkanmaa-a"), ("b-3", "pirkanmaa-b")):
        env.add_gateway(f"edge-pirkanmaa-{name}", zone, settings)
        await asyncio.sleep(0.06)
    for one in env.gateways:
        await one.until_ready()
    watcher, others = env.gateways[0], env.gateways[1:]
    started = s.now_ms()
    await asyncio.sleep(2)
    until = started + (12 + TIMES * EVERY_S - EVERY_S + FROZEN_S) * 1000
    loads = [asyncio.create_task(load(env, one, until)) for one in others]
    await asyncio.sleep(10)
    for _ in range(TIMES):
        begun = s.now_ms()
        leaving = [current.pop(0) for _ in range(LEAVING)]
        await asyncio.gather(*(one.leave() for one in leaving))
        await asyncio.sleep(max(0.0, FROZEN_AFTER_S - (s.now_ms() - begun) / 1000))
        if s.TROUBLE:
            watcher.kill(signal.SIGSTOP)
        await asyncio.sleep(FROZEN_S)
        if s.TROUBLE:
            watcher.kill(signal.SIGCONT)
        for one in leaving:
            await one.end()
        for _ in range(LEAVING):
            current.append(await add())
        await asyncio.sleep(max(0.0, EVERY_S - (s.now_ms() - begun) / 1000))
    await asyncio.gather(*loads)
    late = []
    for at, target, request_id in env.arrivals:
        if target.left_at is not None and at > target.left_at + DRAIN_MS:
            late.append(at - target.left_at)
            env.record.line(f"{request_id} reached {target.id} {at - target.left_at:.0f} ms after the acknowledgement")
    text = f"{len(env.arrivals)} requests reached targets, {len(late)} of them later than {DRAIN_MS} ms after the " \
           f"acknowledgement that the target leaves; the latest {max(late, default=0):.0f} ms"
    env.record.line(text)
    print(text)
    return bool(late)


s.play(FOLDER, ZONES, case, limit_s=116, store=FarStore)
