"""The protocol between gateways, callers and targets: header names and the format of piece calls.

A platform can replace both. Only the code that reads and writes messages depends on them.
"""

from typing import Protocol

import msgspec

from traystall.systems.target_limits import LIMIT_HEADER


class HeaderNames(msgspec.Struct, frozen=True):
    """Names of the headers that a gateway reads or writes."""

    request_id: str = "Traystall-Request-Id"
    deadline_ms: str = "Traystall-Deadline-Ms"
    signature: str = "Traystall-Signature"
    customer: str = "Traystall-Customer"
    incarnation: str = "Traystall-Incarnation"
    expected_incarnation: str = "Traystall-Expected-Incarnation"
    load: str = "Traystall-Load"
    not_run: str = "Traystall-Not-Run"
    leaving: str = "Traystall-Leaving"
    limit: str = LIMIT_HEADER
    brittle: str = "Traystall-Brittle"
    pieces: str = "Traystall-Pieces"
    piece_key: str = "Traystall-Piece-Key"
    inputs: str = "Traystall-Inputs"
    prompt_parts: str = "Traystall-Prompt-Parts"
    token_counts: str = "Traystall-Token-Counts"
    # The id of the request in which the caller received the first event of a stream that this one
    # continues.
    resumes: str = "Traystall-Resumes"
    # Headers that only a gateway may set; they are removed from callers' requests.
    gateway_only: tuple[str, ...] = ()
    # The scheme of an Authorization header that carries a customer's key.
    key_scheme: str = "Token"


class PieceOrder(msgspec.Struct, frozen=True):
    """Request to run one piece at a target; the result is useless after `seconds_left`.

    A piece of a first stage carries a `key`; a piece of any later stage carries its `inputs`, the
    handles of earlier results.
    """

    request_id: str
    stage: int
    piece: int
    key: str = ""
    inputs: tuple[str, ...] = ()
    seconds_left: float = 0.0


class PieceResult(msgspec.Struct, frozen=True):
    """Outcome of one piece: the handle of its result, or the reason why there is none."""

    handle: str = ""
    reason: str = ""


class HttpCall(msgspec.Struct, frozen=True):
    """HTTP request to a target."""

    method: str
    path: str
    body: bytes = b""


class StageDialect(Protocol):
    """Encode calls to a target's piece interface and decode the responses."""

    def run(self, orders: list[PieceOrder]) -> HttpCall:
        """Return the call that runs pieces."""

    def results(self, body: bytes, count: int) -> list[PieceResult]:
        """Return the results in `body`; raise ValueError if there are not exactly `count`."""

    def free(self, handles: list[str]) -> HttpCall:
        """Return the call that frees results."""

    def report(self) -> HttpCall:
        """Return the call that requests a target's status report."""

    def free_bytes(self, body: bytes) -> int:
        """Return an upper bound of a target's free result memory from the body of its report.

        A target that reports it in coarse steps may have less. Raise ValueError if `body` is not
        a report.
        """

    def worker(self, handle: str) -> str:
        """Return the IP:PORT of the target that holds a result."""


class _RunBody(msgspec.Struct):
    items: list[PieceOrder]


class _ResultBody(msgspec.Struct):
    items: list[PieceResult]


class _FreeBody(msgspec.Struct):
    handles: list[str]


class _ReportBody(msgspec.Struct):
    free_bytes: int


class PlainStageDialect:
    """Use traystall's own format: JSON with the field names of this module's messages."""

    def run(self, orders: list[PieceOrder]) -> HttpCall:
        """Return the call that runs pieces."""
        return HttpCall("POST", "/v1/pieces/run", msgspec.json.encode(_RunBody(orders)))

    def results(self, body: bytes, count: int) -> list[PieceResult]:
        """Return the results in `body`; raise ValueError if there are not exactly `count`."""
        items = msgspec.json.decode(body, type=_ResultBody).items
        if len(items) != count:
            raise ValueError(f"{len(items)} results came for {count} pieces")
        return items

    def free(self, handles: list[str]) -> HttpCall:
        """Return the call that frees results."""
        return HttpCall("POST", "/v1/pieces/free", msgspec.json.encode(_FreeBody(handles)))

    def report(self) -> HttpCall:
        """Return the call that requests a target's status report."""
        return HttpCall("GET", "/v1/report")

    def free_bytes(self, body: bytes) -> int:
        """Return a target's free result memory; raise ValueError if `body` is not a report."""
        return msgspec.json.decode(body, type=_ReportBody).free_bytes

    def worker(self, handle: str) -> str:
        """Return the IP:PORT of the target that holds a result."""
        return handle.partition("/")[0]
