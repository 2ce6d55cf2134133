"""Serve metrics and health checks from an aiohttp application."""

from collections.abc import Callable

from aiohttp import web

from traystall.core import health


def add_health_routes(app: web.Application, is_ready: Callable[[], bool]) -> None:
    """Add the routes to `app`; `is_ready` decides the status of `/readyz`."""

    async def metrics(request: web.Request) -> web.Response:
        return _response(health.metrics_page(request.headers.getall("Accept", [])))

    async def live(request: web.Request) -> web.Response:
        return _response(health.live_page())

    async def ready(request: web.Request) -> web.Response:
        return _response(health.ready_page(is_ready()))

    app.router.add_get(health.METRICS_PATH, metrics)
    app.router.add_get(health.LIVE_PATH, live)
    app.router.add_get(health.READY_PATH, ready)


def _response(page):
    headers = {"Content-Type": page.content_type}
    return web.Response(status=page.status, body=page.body, headers=headers)
