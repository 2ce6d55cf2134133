"""Clients leave while the stages of their requests run; the bodies are large."""

import asyncio
import os
import random
import secrets
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import pipelines  # noqa: E402
import stand_ins  # noqa: E402

STAGE_RUNNERS, ENGINES = 6, 3
# Three stages in a row, of one piece each.
STAGES = [
    {"service": "encoder", "since-rev": [], "bytes": 8000},
    {"service": "encoder", "since-rev": [0], "bytes": 60000},
    {"service": "encoder", "since-rev": [1], "bytes": 6000},
]
PIECES = "1,1,1"
REQUESTS_PER_SECOND = 14.0
SECONDS = 14.0
# Sizes of bodies, far below `max-body-bytes` (4,194,304). BODY_BYTES in the environment sets one.
MIN_BODY_BYTES, MAX_BODY_BYTES = 450_000, 720_000
# The disruption: in this time, this share of the clients leaves so long after the request was sent,
# as the site file's `give_up` with share 0.2, for_s 5.5.
LEAVING_FROM, LEAVING_UNTIL = 4.0, 9.5
LEAVING_SHARE = 0.2
LEAVES_AFTER_SECONDS = 0.1
# The rule's grace after a client has left. "More than a few" is read as more than this.
GRACE_SECONDS = 0.5
A_FEW = 3
# The rule's bound for the runs that go on.
WORKED_ON_BOUND = 0.25


class SlowEngine(pipelines.Engine):
    """A model runner that makes streams of some seconds."""

    events, event_seconds = 40, 0.05


class Outcomes:
    """What clients saw."""

    def __init__(self):
        self.statuses: list = []
        # By request: when its client closed the connection.
        self.left: dict[str, float] = {}


def _body() -> bytes:
    size = int(os.environ.get("BODY_BYTES", 0))
    return bytes(size or random.randrange(MIN_BODY_BYTES, MAX_BODY_BYTES))


async def send(deployment, outcomes, leaves):
    """Send one request as a client, which may leave before the answer."""
    name = secrets.token_hex(8)
    address = deployment.front_address(random.choice(deployment.gateways))
    headers = pipelines.request_headers(name, PIECES)
    body = _body()
    record = deployment.record
    try:
        async with asyncio.timeout(8.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                data = stand_ins.request_bytes("POST", "/brief/a", "brief.example", headers, body)
                writer.write(data)
                await writer.drain()
                record.write("sent", request=name, bytes=len(body), leaves=leaves)
                if leaves:
                    await asyncio.sleep(LEAVES_AFTER_SECONDS)
                    writer.close()
                    outcomes.left[name] = time.monotonic()
                    record.write("left", request=name)
                    await writer.wait_closed()
                    return
                answer = await stand_ins.read_message(reader)
                outcomes.statuses.append(answer.status if answer else "closed")
                record.write("answered", request=name, status=outcomes.statuses[-1])
            finally:
                writer.transport.abort()
    except (OSError, TimeoutError, EOFError, ValueError) as error:
        outcomes.statuses.append("failed")
        record.write("failed", request=name, why=repr(error))


async def case(deployment):
    """Return whether runners got no request of clients that had left, and worked on none."""
    results = pipelines.Results()
    stages = [pipelines.StageRunner(deployment, n, results) for n in range(STAGE_RUNNERS)]
    engines = [SlowEngine(deployment, 10 + n, results) for n in range(ENGINES)]
    deployment.start()
    for runner in (*stages, *engines):
        await runner.start()
    await deployment.until_configured(pipelines.document(STAGES))
    await deployment.until_ready()
    # From here on all machines are calm for longer than `contact-ms`.
    await asyncio.sleep(4.0)
    outcomes = Outcomes()
    tasks = []
    began = time.monotonic()
    while (now := time.monotonic() - began) < SECONDS:
        is_on = stand_ins.has_trouble() and LEAVING_FROM <= now < LEAVING_UNTIL
        leaves = is_on and random.random() < LEAVING_SHARE
        tasks.append(asyncio.create_task(send(deployment, outcomes, leaves)))
        await asyncio.sleep(random.expovariate(REQUESTS_PER_SECOND))
    await asyncio.gather(*tasks)
    await asyncio.sleep(4.0)
    for runner in (*stages, *engines):
        await runner.stop()
    return _judge(deployment.record, engines, outcomes)


def _judge(record, engines, outcomes) -> bool:
    late = counted = worked_on = 0
    for engine in engines:
        for name, began in engine.began.items():
            left = outcomes.left.get(name)
            if left is None:
                continue
            late += began > left + GRACE_SECONDS
            # Only a run that would have lasted until the end of the grace counts.
            whole = engine.prompt_seconds + engine.events * engine.event_seconds
            if began + whole > left + GRACE_SECONDS:
                counted += 1
                worked_on += engine.ended[name] > left + GRACE_SECONDS
            record.write(
                "run-without-client",
                request=name,
                began_after=f"{began - left:.2f}",
                ended_after=f"{engine.ended[name] - left:.2f}",
            )
    served = sum(status == 200 for status in outcomes.statuses)
    line = (
        f"stayed {len(outcomes.statuses)}, served {served}, left {len(outcomes.left)}; over "
        f"{GRACE_SECONDS} s after their clients had left {late} requests reached a model runner; "
        f"still worked on {worked_on} of {counted} runs"
    )
    record.write("summary", text=line)
    print(line)
    if served < len(outcomes.statuses) / 2:
        raise stand_ins.CannotRun("Most requests were not served.")
    return late <= A_FEW and worked_on <= counted * WORKED_ON_BOUND


if __name__ == "__main__":
    stand_ins.main(FOLDER, case)
