"""Stand-ins for the runners of stages and for model runners, and a configuration for them."""

import asyncio
import json
import secrets
import time

import stand_ins

# What `pieces` of the configuration says: calls that may wait, pieces a call, and how long results
# are kept.
QUEUE, BATCH, RESULT_LIFETIME_SECONDS = 2, 4, 4.0
CALL_SECONDS, PIECE_SECONDS = 0.15, 0.016
# A result is kept for its lifetime after the call that made it.
_LONGEST_CALL_SECONDS = 0.5
KEY = "k" + secrets.token_hex(8)


class Results:
    """The results of stages, by handle, with the id of the request that each is for."""

    def __init__(self):
        self.owners: dict[str, str] = {}

    def make(self, address: str, request_id: str) -> str:
        """Return the handle of a new result; it is kept for a while."""
        handle = f"{address}/{secrets.token_hex(6)}"
        self.owners[handle] = request_id
        loop = asyncio.get_running_loop()
        seconds = RESULT_LIFETIME_SECONDS + _LONGEST_CALL_SECONDS
        loop.call_later(seconds, self.owners.pop, handle, None)
        return handle


class StageRunner(stand_ins.Runner):
    """A runner of a stage's service: one call at a time, a few wait, results are kept a while."""

    def __init__(self, deployment, number, results: Results, service="encoder"):
        super().__init__(deployment, service, number)
        self._results = results
        self._turn = asyncio.Lock()
        self._calls = 0
        # Pieces that were made of results of other requests.
        self.foreign_pieces: list[str] = []

    async def serve(self, request, writer):
        """Answer one call."""
        if request.path == "/traystall/stage-run":
            await self._run(request, writer)
        elif request.path == "/traystall/stage-free":
            for handle in json.loads(request.body)["handles"]:
                self._results.owners.pop(handle, None)
            self.reply(writer, request, 200)
        else:
            report = {"num-waiting": max(0, self._calls - 1), "busy-slots": False, "free-mb": 28.0}
            self.reply(writer, request, 200, json.dumps(report).encode())

    async def answered(self, request, writer, body: bytes, headers: dict[str, str]) -> None:
        """Act after a call was answered; a sound runner does nothing."""

    async def _run(self, request, writer):
        if self._calls > QUEUE:
            self.reply(writer, request, 503, X_Not_Run="1")
            return
        items = json.loads(request.body)["items"]
        names = ",".join(item["id"] for item in items)
        self.record.write("stage-call", runner=self.identity, ids=names)
        self._calls += 1
        try:
            async with self._turn:
                made = [self._make(item) for item in items]
                await asyncio.sleep(CALL_SECONDS + PIECE_SECONDS * len(items))
        finally:
            self._calls -= 1
        body = json.dumps({"items": made}).encode()
        headers = {"Content_Type": "application/json", "X_Load": f"{self._calls},0,1"}
        self.reply(writer, request, 200, body, **headers)
        self.record.write("stage-answer", runner=self.identity, ids=names)
        await self.answered(request, writer, body, headers)

    def _make(self, item):
        inputs = item.get("inputs", [])
        if any(handle not in self._results.owners for handle in inputs):
            return {"reason": "gone"}
        if any(self._results.owners[handle] != item["id"] for handle in inputs):
            self.foreign_pieces.append(item["id"])
        return {"handle": self._results.make(self.address, item["id"])}


class Engine(stand_ins.Runner):
    """A model runner: it fetches the inputs, reads the prompt and streams events."""

    prompt_seconds = 0.28
    events, event_seconds = 10, 0.03

    def __init__(self, deployment, number, results: Results):
        super().__init__(deployment, "engine", number, slots=64)
        self._results = results
        # By request: when it arrived, and when its run ended or was dropped.
        self.began: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        # Requests that ran with inputs of other requests.
        self.foreign: list[str] = []

    async def serve(self, request, writer):
        """Run one request."""
        handles = [word for word in (request.get("X-Inputs") or "").split(",") if word]
        if not handles:
            self.reply(writer, request, 400, X_Not_Run="1")
            return
        if any(handle not in self._results.owners for handle in handles):
            self.reply(writer, request, 409, X_Not_Run="1")
            return
        name = request.get("X-Request-Id")
        owners = [self._results.owners[handle] for handle in handles]
        self.record.write("run", engine=self.identity, request=name, inputs_of=",".join(owners))
        if any(owner != name for owner in owners):
            self.foreign.append(name)
        self.began[name] = time.monotonic()
        try:
            await self._stream(writer, name, owners)
        finally:
            self.ended[name] = time.monotonic()
            self.record.write("run-ended", engine=self.identity, request=name)

    async def _stream(self, writer, name, owners):
        await asyncio.sleep(self.prompt_seconds)
        head = [
            "HTTP/1.1 200 OK",
            f"X-Request-Id: {name}",
            f"X-Seal: {self.identity}.{name}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: made from {','.join(owners)}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(self.event_seconds)
        writer.write(b"0\r\n\r\n")


def document(stages: list[dict]) -> dict:
    """Return a configuration with one streaming route over `stages`."""
    route = {
        "name": "r-1",
        "host": "brief.example",
        "path-prefix": "/brief/",
        "kind": "streaming",
        "timeout-ms": 8000,
        "goal-ms": 1600,
        "priority": 0,
        "service": "engine",
        "max-attempts": 2,
        "stages": stages,
        "public": False,
        "sticky": True,
        "resumable": False,
        "gap-target-ms": 200,
    }
    engine = {"slots": 64, "kv-capacity": 614608, "stride": 1, "models": [{"name": "m"}]}
    pieces = {
        "slots": 1,
        "queue": QUEUE,
        "batch": BATCH,
        "call-ms": CALL_SECONDS * 1000,
        "item-ms": PIECE_SECONDS * 1000,
        "headroom-mb": 28.0,
        "handle-s": RESULT_LIFETIME_SECONDS,
        "link-mbps": 10000,
    }
    services = sorted({stage["service"] for stage in stages})
    return {
        "version": 1,
        "routes": [route],
        "services": [
            {"name": "engine", "health-path": "/health", "max-conns": 370, "engine": engine},
            *(
                {"name": name, "health-path": "/health", "max-conns": 370, "pieces": pieces}
                for name in services
            ),
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "t-1", "api-keys": [KEY], "priority": 1}],
    }


def request_headers(name: str, pieces: str) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "X-Request-Id": name,
        "X-Model": "m",
        "X-Token-Count": "17000,50",
        "X-Prompt-Prefix": f"{secrets.token_hex(4)}:17000",
        "X-Pieces": pieces,
        "X-Piece-Key": secrets.token_hex(6),
        "X-Deadline-Ms": "8000",
        "Authorization": f"Token {KEY}",
    }
