"""An emulated target on plain sockets: services, stages with result memory, and event streams.

Faults are named and applied in order, each to one request. The requests that ran are kept in
`runs`, the rejected ones in `rejected`.
"""

import asyncio
import json
from bisect import bisect_left
from collections import deque

from traystall.core import clock
from traystall.passthrough.dialect import HeaderNames

BRITTLE_HEADER = "Traystall-Brittle"
# A brittle target ends when it rejects more requests than it tolerates within this time.
_REJECTION_WINDOW_SECONDS = 1.0
# Number of parts of a body that is written slowly, and the pause after each.
_SLOW_PARTS = 8
_SLOW_PART_SECONDS = 0.1
FAULTS = (
    "none",
    "not run",
    "misdirected",
    "closed unread",
    "reset after reading",
    "closed after running",
    "reset in the body",
    "cut in the body",
    "garbage",
    "failed",
    "shed without the mark",
    "another's answer",
    "answered twice",
    "unframed",
    "unframed and reset",
    "unframed slowly",
    "unsigned",
    "encoded",
    "silent",
)


STREAM_FAULTS = (
    "none",
    "reset in the body",
    "reset between events",
    "cut in the body",
    "cut before the first event",
)


class _Slots:
    """The slots and the queue of one incarnation."""

    def __init__(self):
        self.running = 0
        self.waiting = deque()


class Runner:
    """Serve one target on a free loopback port."""

    def __init__(self, identity="r-1", names=None, faults=(), events=0, batch=0, room=10**9):
        self.identity = identity
        self.names = names or HeaderNames()
        self.faults = deque(faults)
        self.events = events
        # Whether streams come without chunks and end with their connection, the protocol version in
        # responses, and the bytes of each write (None: all at once).
        self.is_unframed = False
        self.http_version = "1.1"
        self.write_size = None
        # Software version that each event names after its text, if it is set.
        self.version = ""
        self.batch = batch
        self.room = room
        # Bytes that a report counts for each result.
        self.result_bytes = 10
        # Size of the answers to requests whose path ends in /large.
        self.large_bytes = 0
        self.loses = 0
        # Number of calls that free results and are reset before the target reads them.
        self.resets_frees = 0
        self.call_seconds = 0.0
        self.event_seconds = 0.0
        self.stop_after_events = None
        self.runs = []
        self.rejected = []
        self.calls = []
        self.held = {}
        self.freed = []
        self.dropped = 0
        self.connections = 0
        # A request with this text in its body ends the target as soon as it starts to run.
        self.ends_on = b""
        # Prompt parts that end the target a short time after it began to write on one of them.
        self.ends_on_parts = frozenset()
        self.end_delay_seconds = 0.08
        self.ends = 0
        self.ended_at = []
        self.is_up = False
        # Retry-After values: each of the next requests is rejected with one of them. The flag tells
        # whether the response also states that the request has not run.
        self.rests = deque()
        self.rests_marked = True
        # Times of the requested backoffs (monotonic seconds) with their lengths, and the arrival
        # time of each request.
        self.asked_at = []
        self.asked_for = []
        self.arrivals = []
        # Whether all responses state that the target is leaving, and the time of the first one.
        self.leaves = False
        self.left_at = None
        # Limit that all responses announce, in requests a second from all gateways together (None:
        # no limit is announced), and the time of the first announcement.
        self.limit = None
        self.limit_announced_at = None
        # Number of requests that run at once (None: any number) and that may wait for a slot.
        self.slots = None
        self.queue_size = 0
        # Rejections a second that all responses declare to be too many (None: not declared), times
        # of rejections for lack of room, and what is called when there were too many.
        self.brittle = None
        self.rejected_at = []
        self.on_fall = None
        self._slots_in_use = _Slots()
        self.address = ""
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.is_up = True
        return self

    async def start_again(self, identity=None):
        """Start a new incarnation at the last address, under the same identity or another."""
        self.identity = identity or self.identity
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        self.is_up = True

    async def stop(self):
        self.end()

    def end(self):
        """End at once like a killed process: the port closes and every connection breaks."""
        self.is_up = False
        self._server.close()
        self._slots_in_use = _Slots()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.connections += 1
        self._writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        request = await self._read(reader)
        self.arrivals.append((clock.monotonic(), request["path"]))
        if self.rests and not request["path"].endswith(("/pieces/free", "/report")):
            self._request_backoff(writer, request)
            return True
        if request["path"].endswith("/pieces/run"):
            return await self._run_pieces(writer, request)
        if request["path"].endswith("/pieces/free"):
            if self.resets_frees:
                self.resets_frees -= 1
                writer.transport.abort()
                return False
            return self._free(writer, request)
        if request["path"].endswith("/report"):
            return self._report(writer, request)
        fault = self.faults.popleft() if self.faults else "none"
        if fault == "closed unread":
            return False
        if fault in ("not run", "misdirected", "inputs lost"):
            self.rejected.append(request)
            status = {"not run": 503, "misdirected": 421, "inputs lost": 409}[fault]
            mark = {} if fault == "misdirected" else {self.names.not_run: "1"}
            self._answer(writer, request, status, b"", mark, signed=False)
            return True
        if fault == "reset after reading":
            writer.transport.abort()
            return False
        if self.names.expected_incarnation.lower() in request["headers"]:
            wanted = request["headers"][self.names.expected_incarnation.lower()]
            if wanted != self.identity:
                self.rejected.append(request)
                self._answer(writer, request, 421, b"", signed=False)
                return True
        if self.slots is not None:
            return await self._run_in_slot(writer, request, fault)
        return await self._run(writer, request, fault)

    async def _run_in_slot(self, writer, request, fault):
        in_use = self._slots_in_use
        if in_use.running >= self.slots:
            if len(in_use.waiting) >= self.queue_size:
                return self._reject_full(writer, request)
            turn = asyncio.get_running_loop().create_future()
            in_use.waiting.append(turn)
            await turn
        else:
            in_use.running += 1
        try:
            return await self._run(writer, request, fault)
        finally:
            if in_use.waiting:
                in_use.waiting.popleft().set_result(None)
            else:
                in_use.running -= 1

    def _reject_full(self, writer, request):
        self.rejected.append(request)
        self._answer(writer, request, 503, b"", {self.names.not_run: "1"}, signed=False)
        now = clock.monotonic()
        self.rejected_at.append(now)
        recent = [at for at in self.rejected_at if now - at < _REJECTION_WINDOW_SECONDS]
        if self.brittle is not None and len(recent) > self.brittle and self.is_up:
            self.rejected_at.clear()
            self.on_fall()
        return True

    async def _run(self, writer, request, fault):
        self.runs.append(request | {"at": clock.monotonic()})
        if self.ends_on and self.ends_on in request["body"]:
            self.ends += 1
            self.end()
            return False
        if self.ends_on_parts.intersection(_shared_parts(request, self.names)):
            return await self._end_on_part(writer, request)
        if self.events and fault in STREAM_FAULTS:
            return await self._stream(writer, request, fault)
        return await self._answer_fault(writer, request, fault)

    async def _end_on_part(self, writer, request):
        self._write_head(writer, request, 200, None, {"Transfer-Encoding": "chunked"})
        await writer.drain()
        await asyncio.sleep(self.end_delay_seconds)
        if self.is_up:
            self.ends += 1
            self.ended_at.append(clock.monotonic())
            self.end()
        return False

    async def _read(self, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ", 2)
        raw = [line.partition(": ")[::2] for line in head[1:] if line]
        headers = {name.lower(): value for name, value in raw}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        return {"method": method, "path": path, "headers": headers, "raw": raw, "body": body}

    def reached_within(self, begin, end):
        """Return the paths of the requests that arrived between `begin` and `end`.

        Both are in seconds after the first time that the target requested a backoff.
        """
        requested_at = self.asked_at[0]
        return [
            path for at, path in self.arrivals if requested_at + begin < at < requested_at + end
        ]

    def reached_since_left(self, seconds):
        """Return the paths of requests later than `seconds` after the target announced leaving."""
        return [path for at, path in self.arrivals if at > self.left_at + seconds]

    def most_within(self, seconds, begin, end=float("inf")):
        """Return the largest number of requests in any span of `seconds`.

        Only requests between `begin` and `end` seconds after the first announced limit count.
        """
        first, last = self.limit_announced_at + begin, self.limit_announced_at + end
        times = [at for at, _ in self.arrivals if first < at < last]
        return max((bisect_left(times, at + seconds) - n for n, at in enumerate(times)), default=0)

    def _request_backoff(self, writer, request):
        self.rejected.append(request)
        mark = {self.names.not_run: "1"} if self.rests_marked else {}
        extra = {"Retry-After": self.rests.popleft()} | mark
        self._answer(writer, request, 503, b"", extra, signed=False)
        self.asked_at.append(clock.monotonic())
        self.asked_for.append(extra["Retry-After"])

    async def _answer_fault(self, writer, request, fault):
        body = b"answer to " + request["body"]
        if request["path"].endswith("/large"):
            body = bytes(self.large_bytes)
        if fault == "closed after running":
            return False
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "garbage":
            writer.write(b"\x00\x01 no answer at all\r\n\r\n")
            return False
        if fault == "failed":
            self._answer(writer, request, 500, b"it failed")
            return True
        if fault == "shed without the mark":
            self._answer(writer, request, 503, b"", signed=False)
            return True
        if fault == "another's answer":
            self._answer(writer, request, 200, b"another's", {self.names.request_id: "other"})
            return True
        if fault == "unsigned":
            self._answer(writer, request, 200, b"who says so", signed=False)
            return True
        if fault == "encoded":
            self._answer(writer, request, 200, body, {"Content-Encoding": "gzip"})
            return True
        if fault in ("unframed", "unframed and reset"):
            self._write_head(writer, request, 200, None, {})
            writer.write(body)
            await writer.drain()
            if fault == "unframed and reset":
                await asyncio.sleep(0.02)
                _reset(writer)
            return False
        if fault == "unframed slowly":
            await self._answer_slowly(writer, request, body)
            return False
        if fault in ("reset in the body", "cut in the body"):
            self._write_head(writer, request, 200, len(body), {})
            writer.write(body[: len(body) // 2])
            await writer.drain()
            if fault == "reset in the body":
                await asyncio.sleep(0.02)
                _reset(writer)
            return False
        if self.call_seconds:
            await asyncio.sleep(self.call_seconds)
        self._answer(writer, request, 200, body)
        if fault == "answered twice":
            self._answer(writer, request, 200, b"once more")
        return True

    async def _answer_slowly(self, writer, request, body):
        """Write a body without a length in parts, with a pause after each."""
        self._write_head(writer, request, 200, None, {})
        size = -(-len(body) // _SLOW_PARTS)
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await writer.drain()
            await asyncio.sleep(_SLOW_PART_SECONDS)

    def _answer(self, writer, request, status, body, extra=None, signed=True):
        self._write_head(writer, request, status, len(body), extra or {}, signed)
        writer.write(body)

    def _write_head(self, writer, request, status, length, extra, signed=True):
        headers = {}
        request_id = request["headers"].get(self.names.request_id.lower())
        if request_id:
            headers[self.names.request_id] = request_id
        if signed:
            headers[self.names.signature] = f"signed by {self.identity}"
        if length is not None:
            headers["Content-Length"] = str(length)
        headers |= extra
        if self.leaves:
            headers[self.names.leaving] = "1"
            self.left_at = self.left_at or clock.monotonic()
        if self.brittle is not None:
            headers[BRITTLE_HEADER] = str(self.brittle)
        if self.limit is not None:
            headers[self.names.limit] = self.limit
            self.limit_announced_at = self.limit_announced_at or clock.monotonic()
        lines = [f"HTTP/{self.http_version} {status} X"] + [f"{k}: {v}" for k, v in headers.items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    # ---- engines ----

    async def _stream(self, writer, request, fault):
        chunked = {} if self.is_unframed else {"Transfer-Encoding": "chunked"}
        self._write_head(writer, request, 200, None, chunked | {"X-Kind": "stream"})
        if fault == "cut before the first event":
            await writer.drain()
            return False
        first = int(request["headers"].get("last-event-id", 0)) + 1
        for number in range(first, self.events + 1):
            text = f"event {number} {self.version}".rstrip()
            event = f"id: {number}\ndata: {text}\n\n".encode()
            if fault != "none" and number == first + 2:
                if fault != "reset between events":
                    await self._chunk(writer, event[:7])
                await writer.drain()
                await asyncio.sleep(0.02)
                if fault != "cut in the body":
                    _reset(writer)
                return False
            await self._chunk(writer, event)
            try:
                await writer.drain()
                await asyncio.sleep(self.event_seconds)
            except ConnectionError:
                self.dropped += 1
                raise
            if writer.is_closing():
                self.dropped += 1
                return False
        if self.is_unframed:
            return False
        writer.write(b"0\r\n\r\n")
        return True

    async def _chunk(self, writer, data):
        if not self.is_unframed:
            data = f"{len(data):x}\r\n".encode() + data + b"\r\n"
        size = self.write_size or len(data)
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await asyncio.sleep(0)

    # ---- stages ----

    async def _run_pieces(self, writer, request):
        items = json.loads(request["body"])["items"]
        fault = self.faults.popleft() if self.faults else "none"
        if fault == "not run":
            self.rejected.append(request)
            self._answer(writer, request, 503, b"", {self.names.not_run: "1"}, signed=False)
            return True
        self.calls.append(items)
        if self.ends_on and self.ends_on in request["body"]:
            self.ends += 1
            self.end()
            return False
        if fault == "closed after running":
            return False
        if fault == "silent":
            await asyncio.sleep(3600)
        await asyncio.sleep(self.call_seconds)
        results = [self._run_piece(item) for item in items]
        self._answer(writer, request, 200, json.dumps({"items": results}).encode(), signed=False)
        return True

    def _run_piece(self, item):
        if self.loses:
            self.loses -= 1
            return {"reason": "gone"}
        if len(self.held) >= self.room:
            return {"reason": "room"}
        name = f"{item['request_id']}.{item['stage']}.{item['piece']}.{len(self.calls)}"
        handle = f"{self.address}/{name}"
        self.held[handle] = item
        return {"handle": handle}

    def _free(self, writer, request):
        for handle in json.loads(request["body"])["handles"]:
            self.held.pop(handle, None)
            self.freed.append(handle)
        self._answer(writer, request, 200, b"", signed=False)
        return True

    def _report(self, writer, request):
        free = max(0, self.room - len(self.held)) * self.result_bytes
        body = json.dumps({"free_bytes": free}).encode()
        self._answer(writer, request, 200, body, signed=False)
        return True


def _shared_parts(request, names):
    """Return the names of all prompt parts of a request but the last."""
    listed = request["headers"].get(names.prompt_parts.lower(), "")
    return [word.partition(":")[0] for word in listed.split(",") if word][:-1]


def _reset(writer):
    """Reset the connection instead of closing it in order."""
    import socket
    import struct

    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
