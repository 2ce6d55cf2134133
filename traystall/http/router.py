"""Route the requests of a small HTTP interface by method and path."""

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from traystall.http.messages import Response, text_response
from traystall.http.request import Request

# Takes the request and the value of the path parameter `{}`.
PathHandler = Callable[[Request, str], Awaitable[Response]]

_PARAMETER = "{}"


class Router:
    """Hold the routes of an interface; a path that ends in `{}` matches any last segment."""

    def __init__(self):
        self._handlers: dict[str, dict[str, PathHandler]] = {}

    def add(self, method: str, path: str, handler: PathHandler) -> None:
        """Register `handler` for requests with `method` at `path`."""
        self._handlers.setdefault(path, {})[method] = handler

    async def handle(self, request: Request) -> Response:
        """Return the response to a request."""
        head, _, last = request.path.rpartition("/")
        methods = self._handlers.get(request.path) or self._handlers.get(f"{head}/{_PARAMETER}")
        if methods is None or (not last and request.path not in self._handlers):
            return text_response(404, "not found\n")
        method = "GET" if request.method == "HEAD" else request.method
        handler = methods.get(method)
        if handler is None:
            return text_response(
                405, "method not allowed\n", [(b"Allow", ", ".join(methods).encode())]
            )
        return await handler(request, unquote(last))
