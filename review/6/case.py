"""A machine that gets SIGTERM resets connections whose clients have sent further requests; answers are lost."""
import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import *  # noqa: E402,F403

BODY = bytes(range(256)) * 800  # 200 KiB
CLIENTS = 8
PIPELINED = 4


async def respond(target, request, writer):
    """Works for a second, and sends its whole answer at once."""
    await asyncio.sleep(1.0)
    writer.write(success(target, request, BODY))


async def client(record, gateway, number):
    """Sends a request, and further ones behind it; returns whether the answer to the first one was whole."""
    loop = asyncio.get_running_loop()
    one = connect(gateway)
    name = f"c{number}-0"
    await loop.sock_sendall(one, request_bytes("GET", "/look/1", name, 3_000))

    async def further():
        for step in range(1, PIPELINED):
            await asyncio.sleep(0.1)
            await loop.sock_sendall(one, request_bytes("GET", "/look/1", f"c{number}-{step}", 3_000))

    sending = asyncio.create_task(further())
    head, body, end = await read_answer(one, 3.0)
    record.say(f"client of {name}: {head[:15].decode()}, {len(body)} of {len(BODY)} bytes of body, {end}")
    one.close()
    await asyncio.gather(sending, return_exceptions=True)
    return end == "whole" and body == BODY


async def case(record, gateways):
    store = Store()
    await store.start()
    store.put("config", "main", manifest(timeout_ms=3_000))
    target = Target(store, record, "i-1", respond)
    await target.start()
    gateway = Gateway(store, record, 1)
    gateways.append(gateway)
    gateway.start()
    await gateway.ready()
    await asyncio.sleep(4)
    clients = [asyncio.create_task(client(record, gateway, number)) for number in range(CLIENTS)]
    await asyncio.sleep(0.6)
    if has_trouble():
        gateway.signal(signal.SIGTERM)
    whole = await asyncio.gather(*clients)
    ran = [name for name in target.runs if name.endswith("-0")]
    if len(ran) != CLIENTS:
        raise RuntimeError("a request was not run")
    record.say(f"{CLIENTS - sum(whole)} of {CLIENTS} answers were not whole")
    return all(whole)


run(case, FOLDER)
