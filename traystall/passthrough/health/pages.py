"""HTTP endpoints for operators: list backoff periods and rate limits, and end a backoff period."""

import hmac

import msgspec

from traystall.core import clock
from traystall.core.logs import decision
from traystall.http.messages import Response
from traystall.http.request import Request
from traystall.http.router import Router
from traystall.passthrough.health.board import TargetBoard
from traystall.permits.permits import Permits

BACKOFFS_PATH = "/v1/rests"
LIMITS_PATH = "/v1/limits"
_SCHEME = "Bearer "
_JSON = [(b"Content-Type", b"application/json")]


class BackoffPages:
    """Serve GET /v1/rests and DELETE /v1/rests/TARGET.

    GET lists the targets in a backoff period and those that shut down; DELETE ends the backoff
    period of a target. If the cluster has a secret, DELETE requires it as
    `Authorization: Bearer SECRET`.
    """

    def __init__(self, board: TargetBoard, secret: str):
        self._board = board
        self._secret = secret

    def add_to(self, router: Router) -> None:
        """Register the endpoints at `router`."""
        router.add("GET", BACKOFFS_PATH, self._list)
        router.add("DELETE", BACKOFFS_PATH + "/{}", self._lift)

    async def _list(self, request: Request, _: str) -> Response:
        now = clock.monotonic()
        views = [
            view
            for view in self._board.views()
            if view.availability.is_backing_off(now) or view.availability.leaves
        ]
        return _json_response(200, {"targets": [_backoff_document(view, now) for view in views]})

    async def _lift(self, request: Request, target: str) -> Response:
        if not self._is_authorized(request):
            return _json_response(
                403, {"code": "forbidden", "detail": "The cluster's secret is missing."}
            )
        view = self._board.view(target)
        if view is None:
            return _json_response(
                404, {"code": "no-target", "detail": f"No target is named '{target}'."}
            )
        lifted = view.availability.is_backing_off(clock.monotonic())
        view.availability.lift()
        decision("rest-lifted", target=view.report.life, lifted=lifted)
        return _json_response(200, {"lifted": lifted})

    def _is_authorized(self, request):
        shown = (request.get("Authorization") or "").encode()
        return not self._secret or hmac.compare_digest(shown, (_SCHEME + self._secret).encode())


class LimitPages:
    """Serve GET /v1/limits: the rate limits that targets name for all gateways together.

    The page shows what is known at this gateway.
    """

    def __init__(self, board: TargetBoard, permits: Permits):
        self._board = board
        self._permits = permits

    def add_to(self, router: Router) -> None:
        """Register the endpoint at `router`."""
        router.add("GET", LIMITS_PATH, self._list)

    async def _list(self, request: Request, _: str) -> Response:
        now = clock.monotonic()
        limited = [view for view in self._board.views() if view.limit.is_limited]
        return _json_response(
            200, {"targets": [self._limit_document(view, now) for view in limited]}
        )

    def _limit_document(self, view, now):
        report, limit = view.report, view.limit
        return {
            "target": view.identity,
            "life": report.life,
            "pool": report.pool,
            "data_centre": report.data_centre,
            "per_second": limit.per_second,
            "limited_seconds": round(now - limit.since, 3),
            "told_by": limit.source,
            "closed_seconds": round(max(0.0, limit.closed_until - now), 3),
            "lenders": self._permits.lender_ranking.lenders(report.life, report.data_centre),
            "lent_here": self._permits.granted_count(report.life),
        }


def _backoff_document(view, now):
    return {
        "target": view.identity,
        "life": view.report.life,
        "pool": view.report.pool,
        "data_centre": view.report.data_centre,
        "rests_seconds": round(max(0.0, view.availability.backoff_until - now), 3),
        "leaves": view.availability.leaves,
        "request": view.availability.request,
    }


def _json_response(status, document):
    return Response(status, _JSON, msgspec.json.encode(document))
