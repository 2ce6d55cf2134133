"""A worker's surplus answer gives no request the results of another."""

import asyncio
import json

import pytest

from tests.support.emulator.gateway import EmulatedGateway, run, table
from traystall.core import clock
from traystall.core.exceptions import GatewayError
from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.stages.batching import PieceJob
from traystall.passthrough.stages.piece_calls import FULL, call_worker

CALLS = 6
_ID_HEADER = HeaderNames().request_id
_REFUSAL = (
    b"HTTP/1.1 503 Full\r\n" + HeaderNames().not_run.encode() + b": 1\r\nContent-Length: 0\r\n\r\n"
)


class _Worker:
    """Answer calls one after the other; send some answers twice, the second one late."""

    def __init__(self, surplus_after, echoes=True, refused=()):
        self.identity, self.version, self.address = "w-1", "", ""
        self._surplus_after = surplus_after
        self._echoes = echoes
        # Calls that are refused by an answer without an id.
        self._refused = refused
        self._calls = 0

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        return server

    async def _serve(self, reader, writer):
        previous = b""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                headers = dict(
                    line.split(": ", 1) for line in head.decode().split("\r\n")[1:] if line
                )
                items = json.loads(await reader.readexactly(int(headers["Content-Length"])))
                names = [item["request_id"] for item in items["items"]]
                body = json.dumps({"items": [{"handle": f"w/{name}"} for name in names]}).encode()
                call_id = headers.get(_ID_HEADER) if self._echoes else None
                lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}"]
                lines += [f"{_ID_HEADER}: {call_id}"] if call_id else []
                answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
                if self._calls in self._refused:
                    answer = _REFUSAL
                self._calls += 1
                if previous and self._calls - 1 in self._surplus_after:
                    writer.write(previous)
                    await asyncio.sleep(0.02)
                writer.write(answer)
                previous = answer
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


def _job(name):
    return PieceJob(name, name, 0, 0, "", (), 0, clock.monotonic(), clock.monotonic() + 5, 10)


async def _call_one_by_one(worker):
    server = await worker.start()
    results = {}
    async with EmulatedGateway(table(), [("batches", worker)]) as gateway:
        view = gateway.context.board.view("w-1")
        for n in range(CALLS):
            name = f"request-{n}"
            try:
                call = call_worker(gateway.context, view, [_job(name)], 0.05, lambda: True)
                (result,) = await call
                results[name] = result.handle or result.reason
            except GatewayError:
                results[name] = None
    server.close()
    return results


@pytest.mark.parametrize("surplus_after", [(1,), (1, 2), (2, 4)])
def test_surplus_answer_is_not_taken_for_the_answer_to_the_next_call(surplus_after):
    """The call carried no id, so each later answer on the connection went to the wrong request."""
    results = run(_call_one_by_one(_Worker(surplus_after)))
    assert results == {f"request-{n}": f"w/request-{n}" for n in range(CALLS)}


def test_worker_that_sends_no_ids_back_is_used():
    results = run(_call_one_by_one(_Worker((), echoes=False)))
    assert results == {f"request-{n}": f"w/request-{n}" for n in range(CALLS)}


def test_refusal_without_an_id_is_taken_for_the_answer_to_its_call():
    """Error responses may omit the id, also those of a worker that sends ids back otherwise."""
    results = run(_call_one_by_one(_Worker((), refused=(2,))))
    expected = {f"request-{n}": f"w/request-{n}" for n in range(CALLS)}
    assert results == expected | {"request-2": FULL}
