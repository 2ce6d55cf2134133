"""Serve the health check and metrics pages of a daemon."""

from collections.abc import Callable

from traystall.core import health
from traystall.http.messages import Response
from traystall.http.request import Request
from traystall.http.router import Router


def add_health_pages(router: Router, is_ready: Callable[[], bool]) -> None:
    """Add the pages to `router`; `is_ready` decides `/readyz`."""

    async def metrics(request: Request, _: str) -> Response:
        return _response(health.metrics_page([request.get("Accept")]))

    async def live(request: Request, _: str) -> Response:
        return _response(health.live_page())

    async def ready(request: Request, _: str) -> Response:
        return _response(health.ready_page(is_ready()))

    router.add("GET", health.METRICS_PATH, metrics)
    router.add("GET", health.LIVE_PATH, live)
    router.add("GET", health.READY_PATH, ready)


def _response(page):
    return Response(page.status, [(b"Content-Type", page.content_type.encode())], page.body)
