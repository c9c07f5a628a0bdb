"""One target of four spoils the status of a few answers; their clients get a success."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

REQUESTS = 1_200
TARGETS = 4  # one of them is faulty, a share of 0.25
SPOILED = 50  # every 50th of its answers, which is 0.02 of them

spoiled = set()


async def respond(target, request, writer):
    if has_trouble() and target.name == "i-0" and len(target.runs) % SPOILED == 0:
        spoiled.add(request["id"])
        body = b"spoiled bytes"
        writer.write(f"HTTP/1.1 000 Spoiled\r\nX-Request-Id: {request['id']}\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        target.record.say(f"{target.name} answers {request['id']} with the status line 'HTTP/1.1 000 Spoiled', no stamp")
    else:
        writer.write(success(target, request, f"booked by {target.name}".encode()))


async def case(record, gateways):
    store = Store()
    await store.start()
    store.put("config", "main", manifest(timeout_ms=2_500))
    for number in range(TARGETS):
        await Target(store, record, f"i-{number}", respond).start()
    gateway = Gateway(store, record, 1)
    gateways.append(gateway)
    gateway.start()
    await gateway.ready()
    await asyncio.sleep(4)
    loop = asyncio.get_running_loop()
    one, false = connect(gateway), 0
    for number in range(REQUESTS):
        name = f"c{number}"
        await loop.sock_sendall(one, request_bytes("POST", "/book/1", name, 3_000, b"one booking"))
        head, body, end = await read_answer(one, 5)
        line = head.split(b"\r\n")[0].decode()
        is_stamped = b"x-server-stamp" in head.lower()
        is_false = line.startswith("HTTP/1.1 2") and (not is_stamped or name in spoiled)
        if is_false or name in spoiled or end != "whole":
            record.say(f"client of {name} gets {line!r}, stamp {is_stamped}, body {body!r}, {end}")
        false += is_false
        if end != "whole" or b"connection: close" in head.lower():
            one.close()
            one = connect(gateway)
        await asyncio.sleep(0.005)
    record.say(f"{false} successes without a stamp, of {len(spoiled)} spoiled answers and {REQUESTS} requests")
    if has_trouble() and not spoiled:
        raise RuntimeError("no answer was spoiled")
    return false == 0


run(case, FOLDER)
