"""The pages that every daemon serves: /metrics, /livez and /readyz."""

import msgspec

from traystall.core.metrics import render_metrics

METRICS_PATH = "/metrics"
LIVE_PATH = "/livez"
READY_PATH = "/readyz"
_TEXT = "text/plain; charset=utf-8"


class Page(msgspec.Struct, frozen=True):
    """Hold one page independently of the HTTP server that sends it."""

    status: int
    body: bytes
    content_type: str = _TEXT


def metrics_page(accept: list[str]) -> Page:
    """Return the metrics in a format that the `Accept` headers allow."""
    body, headers = render_metrics(accept)
    return Page(200, body, headers.get("Content-Type", _TEXT))


def live_page() -> Page:
    """Return the liveness page."""
    return Page(200, b"ok\n")


def ready_page(is_ready: bool) -> Page:
    """Return the readiness page: 503 while the daemon should receive no work."""
    return Page(200, b"ok\n") if is_ready else Page(503, b"not ready\n")
