"""The store's answer to one watch of the manifest is lost; two machines go on with the old manifest."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

CONFIG_S, CONTACT_S, OUTER_S = 2.0, 3.0, 5.0  # configMs, contactMs and outerMs of the site
JUDGED_FROM_S = CONFIG_S + CONTACT_S + OUTER_S  # all bounds added, though outerMs does not hold where an answer was lost
OBSERVED_S = 20.0


class LossyStore(Store):
    """Loses one answer; the connection on which it is lost returns nothing further."""

    record = None
    loses_next = False

    async def serve(self, reader, writer):
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
                if self.loses_next and "/config?watch=" in target and answer.get("events"):
                    self.loses_next, is_silent = False, True
                    self.record.say(f"the store loses its answer to {method} {target}")
                if is_silent:
                    continue
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def respond(target, request, writer):
    writer.write(success(target, request, target.service.encode()))


async def case(record, gateways):
    store = LossyStore()
    store.record = record
    await store.start()
    services = ("desk", "ops")
    store.put("config", "main", manifest(1, services=services))
    for service in services:
        for number in range(2):
            await Target(store, record, f"{service}-{number}", respond, service=service).start()
    for number in (1, 2):
        ports = gateways[0].ports if gateways else None
        gateways.append(Gateway(store, record, number, ports=ports))
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
    store.loses_next = has_trouble()
    acknowledged = now()
    store.put("config", "main", changed)
    record.say("version 3 is acknowledged: all routes go to ops")
    late, sent_count = [0, 0], 0
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
    if has_trouble() and store.loses_next:
        raise RuntimeError("no answer was lost")
    return late == [0, 0]


run(case, FOLDER)
