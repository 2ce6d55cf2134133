"""Run a batch of pieces with one call of a target."""

from collections.abc import Callable

from traystall.core import clock
from traystall.core.ids import new_id
from traystall.core.peer_timeout import PeerTimeout
from traystall.passthrough.dialect import HttpCall, PieceOrder, PieceResult
from traystall.passthrough.exceptions import NoAnswer
from traystall.passthrough.exchange.attempt import Attempt
from traystall.passthrough.health.board import TargetView
from traystall.passthrough.stages.batching import PieceJob
from traystall.passthrough.stages.workers import patience_with

# The reason of pieces whose call was never sent.
UNREACHABLE = "unreachable"
# The reason of pieces whose call the target refused without running it.
FULL = "full"
# Interval at which it is checked whether the answer to a call that takes long is still awaited.
_REVIEW_SECONDS = 0.1
_REFUSAL_PAUSE_SECONDS = 0.05
_MISDIRECTED = 421


async def call_worker(
    context,
    view: TargetView,
    batch: list[PieceJob],
    expected: float,
    awaits_answer: Callable[[], bool],
) -> list[PieceResult]:
    """Return the result of each piece; raise ExchangeError or TimeoutError if there is none.

    A call without an answer is ended after some time, but not while `awaits_answer()` is true.
    """
    now = clock.monotonic()
    call = context.stage_dialect.run([_to_order(job, now) for job in batch])
    call_id = new_id()
    headers = {
        context.names.expected_incarnation: view.identity,
        # A surplus answer to an earlier call would give its results to other requests.
        context.names.request_id: call_id,
    }
    patience = patience_with(expected)
    longest = max(patience, max(job.deadline for job in batch) - now)
    async with Attempt(view, context.names, call_id, is_own_call=True) as attempt:
        async with PeerTimeout(patience):
            await attempt.open(float("inf"), longest_seconds=longest)
        attempt.send(request_bytes(call, view.report.address, headers))
        if not await attempt.has_data_within(patience):
            await _wait_while(awaits_answer, attempt)
        async with PeerTimeout(patience):
            answer = await attempt.read_response()
    if attempt.has_not_run():
        if answer.head.status == _MISDIRECTED:
            view.is_replaced = True
        view.avoid_until = max(view.avoid_until, clock.monotonic() + _REFUSAL_PAUSE_SECONDS)
        return [PieceResult(reason=FULL)] * len(batch)
    if answer.head.status != 200:
        raise NoAnswer(f"The target answered {answer.head.status}.", sent=True)
    try:
        return context.stage_dialect.results(answer.body, len(batch))
    except ValueError as error:
        raise NoAnswer(f"The results can't be read: {error}.", sent=True) from error


async def _wait_while(awaits_answer, attempt):
    """Return once there is an answer to read; raise TimeoutError if it is not awaited any more."""
    while awaits_answer():
        if await attempt.has_data_within(_REVIEW_SECONDS):
            return
    raise TimeoutError


def request_bytes(call: HttpCall, host: str, headers: dict[str, str] | None = None) -> bytes:
    """Return the bytes of a gateway's own HTTP request with a JSON body."""
    lines = [
        f"{call.method} {call.path} HTTP/1.1",
        f"Host: {host}",
        "Content-Type: application/json",
        f"Content-Length: {len(call.body)}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + call.body


def _to_order(job, now) -> PieceOrder:
    return PieceOrder(
        request_id=job.request_id,
        stage=job.stage,
        piece=job.piece,
        key=job.key,
        inputs=job.inputs,
        seconds_left=max(0.0, job.deadline - now),
    )
