"""A stand-in of a runner: registers itself, answers requests, and does what its options say.

Options: `bytes` of an answer's body, `seconds` of its work, and `unframed`: its answers name no
length and end with their connection, written in `parts` parts over `seconds`.
"""

import asyncio
import contextlib
import json
import os
import sys
import time

OPTIONS = json.loads(sys.argv[1])
PATH = f"/traystall/instances/{OPTIONS['id']}"
STATE = {"state": "ready", "seq": 0}


def note(what, **more):
    """Append a line to this runner's file."""
    with open(OPTIONS["file"], "a") as file:
        file.write(json.dumps({"what": what, "at": time.monotonic(), **more}) + "\n")


async def exchange(address, method, path, body):
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(1.0):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = [
                f"{method} {path} HTTP/1.1",
                f"Host: {address}",
                "Content-Type: application/json",
                f"Content-Length: {len(body)}",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            return int((await reader.readline()).split()[1])
        finally:
            writer.transport.abort()


def make_beat():
    STATE["seq"] += 1
    beat = {
        "service": OPTIONS["service"],
        "addr": OPTIONS["addr"],
        "zone": OPTIONS["zone"],
        "version": "v1",
        "slots": 6,
        "state": STATE["state"],
        "cold-left-ms": 0,
        "seq": STATE["seq"],
    }
    return json.dumps(beat).encode()


async def register(method="PUT"):
    """Send one heartbeat, to the first control daemon that acknowledges it."""
    body = make_beat() if method == "PUT" else b""
    state = STATE["state"]
    for address in list(OPTIONS["controls"]):
        with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
            status = await exchange(address, method, PATH, body)
            if 200 <= status < 300:
                # The next heartbeat goes to the same daemon until one fails there.
                OPTIONS["controls"].remove(address)
                OPTIONS["controls"].insert(0, address)
                note("acknowledged", state=state if method == "PUT" else "gone", by=address)
                return True
    return False


async def beat_forever():
    while STATE["state"] != "gone":
        await register()
        await asyncio.sleep(1.2)


async def beat_late(address, seconds):
    """Send a heartbeat that the network holds up for so long on its way to a daemon."""
    body = make_beat()
    note("sent", state=STATE["state"], seq=STATE["seq"], to=address)
    await asyncio.sleep(seconds)
    with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
        status = await exchange(address, "PUT", PATH, body)
        note("arrived", seq=json.loads(body)["seq"], status=status, at_daemon=address)


async def leave():
    """Announce the end with DELETE first, without having reported `draining`; serve on."""
    STATE["state"] = "gone"
    while not await register("DELETE"):
        await asyncio.sleep(0.1)


async def read_orders():
    """Read orders: `drain`, `leave`, `late ADDRESS SECONDS`, or `controls` with addresses."""
    late = set()
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := (await reader.readline()).decode().split():
        if line[0] == "drain":
            STATE["state"] = "draining"
            await register()
        elif line[0] == "leave":
            await leave()
        elif line[0] == "late":
            late.add(asyncio.create_task(beat_late(line[1], float(line[2]))))
        elif line[0] == "controls":
            OPTIONS["controls"][:] = line[1:]


async def serve(reader, writer):
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
        while await serve_one(reader, writer):
            pass
    writer.close()


async def serve_one(reader, writer):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, path, _ = head[0].split(" ", 2)
    headers = {}
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", 0)))
    request_id = headers.get("x-request-id", "")
    expected = headers.get("x-expect-instance", OPTIONS["id"])
    if expected != OPTIONS["id"]:
        writer.write(b"HTTP/1.1 421 Misdirected\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        return True
    if path in ("/health", "/traystall/report"):
        status = b"200 OK" if STATE["state"] == "ready" else b"503 Unavailable"
        own = f"X-Instance: {OPTIONS['id']}\r\n".encode()
        writer.write(b"HTTP/1.1 " + status + b"\r\n" + own + b"Content-Length: 2\r\n\r\n{}")
        return True
    note("run", id=request_id, path=path, method=method)
    body = os.urandom(8).hex().encode() * (OPTIONS.get("bytes", 800) // 16)
    seal = f"X-Request-Id: {request_id}\r\nX-Seal: {OPTIONS['id']}.{len(body)}\r\n"
    seconds = OPTIONS.get("seconds", 0.0)
    if OPTIONS.get("unframed"):
        writer.write(f"HTTP/1.1 200 OK\r\n{seal}Connection: close\r\n\r\n".encode())
        parts = OPTIONS.get("parts", 8)
        size = len(body) // parts
        for number in range(parts):
            writer.write(body[number * size : (number + 1) * size])
            await writer.drain()
            await asyncio.sleep(seconds / parts)
        note("answered", id=request_id, bytes=size * parts)
        return False
    await asyncio.sleep(seconds)
    ends = STATE["state"] != "ready"
    last = "Connection: close\r\n" if ends else ""
    writer.write(f"HTTP/1.1 200 OK\r\n{seal}{last}Content-Length: {len(body)}\r\n\r\n".encode())
    writer.write(body)
    await writer.drain()
    note("answered", id=request_id, bytes=len(body))
    return not ends


async def main():
    host, _, port = OPTIONS["addr"].rpartition(":")
    server = await asyncio.start_server(serve, host, int(port))
    tasks = [asyncio.create_task(beat_forever()), asyncio.create_task(read_orders())]
    async with server:
        await asyncio.gather(*tasks, return_exceptions=True)


asyncio.run(main())
