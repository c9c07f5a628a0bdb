"""The store is silent to one of three machines for 0.2 s; all three go on with the old manifest for 15 s."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

CONFIG_S, CONTACT_S, OUTER_S = 2.0, 3.0, 5.0  # configMs, contactMs and outerMs of the site
JUDGED_FROM_S = CONFIG_S + CONTACT_S + OUTER_S  # all bounds added, though outerMs does not hold while the store is silent
OBSERVED_S = 20.0
MACHINES = 3
SILENCE_S = 0.2


class SilentStore(Store):
    """Has an address for each machine, and is silent for a moment at the one of the first machine."""

    record = None
    is_armed = False  # the silence begins after the next health check of the first machine
    silent_until = 0.0
    silenced = None

    async def address_for(self, machine):
        port = free_port(self.ip)

        async def serve(reader, writer):
            await self.serve_machine(machine, reader, writer)
        await asyncio.start_server(serve, self.ip, port)
        return Address(self.ip, port)

    async def serve_machine(self, machine, reader, writer):
        is_silent = False
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ")
                status, answer = await self.answer(method, target, body)
                if machine == 1 and now() < self.silent_until:
                    is_silent = True
                    self.record.say(f"the store is silent to edge 1: no answer to {method} {target}")
                if is_silent:  # "A connection on which a response is lost returns nothing further."
                    continue
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
                if self.is_armed and machine == 1 and "/instances/" in target and "staleOk" in target:
                    self.is_armed = False
                    self.silent_until = now() + SILENCE_S
                    self.record.say(f"the store is silent to edge 1 for {SILENCE_S} s")
                    self.silenced.set()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Address:
    def __init__(self, ip, port):
        self.ip, self.port = ip, port


async def respond(target, request, writer):
    writer.write(success(target, request, target.service.encode()))


async def case(record, gateways):
    store = SilentStore()
    store.record, store.silenced = record, asyncio.Event()
    await store.start()
    services = ("desk", "ops")
    store.put("config", "main", manifest(1, services=services))
    for service in services:
        for number in range(2):
            await Target(store, record, f"{service}-{number}", respond, service=service).start()
    for number in range(1, MACHINES + 1):
        ports = gateways[0].ports if gateways else None
        gateways.append(Gateway(await store.address_for(number), record, number, ports=ports))
        gateways[-1].start()
    for gateway in gateways:
        await gateway.ready()
    await asyncio.sleep(5)
    store.put("config", "main", manifest(2, timeout_ms=9_000, services=services))
    record.say("version 2 is acknowledged: only timeoutMs changes")
    await asyncio.sleep(1)
    changed = manifest(3, services=services)
    for route in changed["routes"]:
        route["backend"] = "ops"
    if has_trouble():
        store.is_armed = True
        await store.silenced.wait()
        await asyncio.sleep(SILENCE_S / 2)
    acknowledged = now()
    store.put("config", "main", changed)
    record.say("version 3 is acknowledged: all routes go to ops")
    late, sent_count = [0] * MACHINES, 0
    while now() - acknowledged < OBSERVED_S:
        for index, gateway in enumerate(gateways):
            sent_count += 1
            name = f"c{sent_count}"
            after_s = now() - acknowledged
            one = connect(gateway)
            await asyncio.get_running_loop().sock_sendall(
                one, request_bytes("POST", "/book/1", name, 2_500, b"one booking"))
            head, body, end = await read_answer(one, 3)
            one.close()
            record.say(f"edge {index + 1} answers {name}, sent {after_s:.2f} s after the acknowledgement: "
                       f"{head[:15].decode()}, {end}, run by {body.decode()!r}")
            if body == b"desk" and after_s > JUDGED_FROM_S:
                late[index] += 1
        await asyncio.sleep(0.25)
    record.say(f"run by the old service later than {JUDGED_FROM_S} s after the acknowledgement: {late}")
    return late == [0] * MACHINES


run(case, FOLDER)
