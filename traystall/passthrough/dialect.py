"""The words in which gateways, callers and targets speak; another platform brings its own.

Decisions never see these names: they are read and written at the edges only.
"""

from typing import Protocol

import msgspec

from traystall.systems.target_limits import LIMIT_HEADER


class HeaderNames(msgspec.Struct, frozen=True):
    """Name the headers that mean something to a gateway."""

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
    pieces: str = "Traystall-Pieces"
    piece_key: str = "Traystall-Piece-Key"
    inputs: str = "Traystall-Inputs"
    prompt_parts: str = "Traystall-Prompt-Parts"
    token_counts: str = "Traystall-Token-Counts"
    # Headers that only a gateway may set: a caller's are not passed on.
    gateway_only: tuple[str, ...] = ()
    # The scheme of an Authorization header that carries a customer's key.
    key_scheme: str = "Token"


class PieceOrder(msgspec.Struct, frozen=True):
    """Ask a target for one piece; `seconds_left` bounds when it is still of use.

    A piece of a stage without earlier stages carries `key`, any other its `inputs`.
    """

    request_id: str
    stage: int
    piece: int
    key: str = ""
    inputs: tuple[str, ...] = ()
    seconds_left: float = 0.0


class PieceResult(msgspec.Struct, frozen=True):
    """Hold what became of one piece: a handle of its result, or why there is none."""

    handle: str = ""
    reason: str = ""


class HttpCall(msgspec.Struct, frozen=True):
    """Hold a small call to a target."""

    method: str
    path: str
    body: bytes = b""


class StageDialect(Protocol):
    """Turn pieces into calls of a target and its answers back."""

    def run(self, orders: list[PieceOrder]) -> HttpCall:
        """Return the call that asks for pieces."""

    def results(self, body: bytes, count: int) -> list[PieceResult]:
        """Return the results in `body`; raise ValueError if it holds no `count` results."""

    def free(self, handles: list[str]) -> HttpCall:
        """Return the call that gives results up."""

    def report(self) -> HttpCall:
        """Return the call that asks a target how it is."""

    def free_bytes(self, body: bytes) -> int:
        """Return how much room a target has left at the most; raise ValueError if `body` is none.

        A target that tells it roughly is taken for emptier than it may be.
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
    """Speak traystall's own form: JSON with the names of this module's messages."""

    def run(self, orders: list[PieceOrder]) -> HttpCall:
        """Return the call that asks for pieces."""
        return HttpCall("POST", "/v1/pieces/run", msgspec.json.encode(_RunBody(orders)))

    def results(self, body: bytes, count: int) -> list[PieceResult]:
        """Return the results in `body`; raise ValueError if it holds no `count` results."""
        items = msgspec.json.decode(body, type=_ResultBody).items
        if len(items) != count:
            raise ValueError(f"{len(items)} results came for {count} pieces")
        return items

    def free(self, handles: list[str]) -> HttpCall:
        """Return the call that gives results up."""
        return HttpCall("POST", "/v1/pieces/free", msgspec.json.encode(_FreeBody(handles)))

    def report(self) -> HttpCall:
        """Return the call that asks a target how it is."""
        return HttpCall("GET", "/v1/report")

    def free_bytes(self, body: bytes) -> int:
        """Return how much room a target has left; raise ValueError if `body` does not tell."""
        return msgspec.json.decode(body, type=_ReportBody).free_bytes

    def worker(self, handle: str) -> str:
        """Return the IP:PORT of the target that holds a result."""
        return handle.partition("/")[0]
