"""The HTTP pages that every daemon serves: /metrics, /livez and /readyz."""

from collections.abc import Callable

from aiohttp import web

from traystall.core.metrics import render_metrics


def add_health_routes(app: web.Application, is_ready: Callable[[], bool]) -> None:
    """Add the pages to `app`; `is_ready` decides `/readyz`."""

    async def metrics(request: web.Request) -> web.Response:
        body, headers = render_metrics(request.headers.getall("Accept", []))
        return web.Response(body=body, headers=headers)

    async def live(request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def ready(request: web.Request) -> web.Response:
        if is_ready():
            return web.Response(text="ok\n")
        return web.Response(status=503, text="not ready\n")

    app.router.add_get("/metrics", metrics)
    app.router.add_get("/livez", live)
    app.router.add_get("/readyz", ready)
