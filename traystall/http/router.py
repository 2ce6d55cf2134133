"""Find who answers a request of a small interface, by its method and path."""

from collections.abc import Awaitable, Callable
from urllib.parse import unquote

from traystall.http.messages import Response, text_response
from traystall.http.request import Request

# Gets the request and what stands in place of `{}` in its path.
PathHandler = Callable[[Request, str], Awaitable[Response]]

_GAP = "{}"


class Router:
    """Hold the paths of an interface; one that ends in `{}` takes any last part."""

    def __init__(self):
        self._handlers: dict[str, dict[str, PathHandler]] = {}

    def add(self, method: str, path: str, handler: PathHandler) -> None:
        """Let `handler` answer what comes with `method` at `path`."""
        self._handlers.setdefault(path, {})[method] = handler

    async def handle(self, request: Request) -> Response:
        """Return the answer to a request."""
        head, _, last = request.path.rpartition("/")
        methods = self._handlers.get(request.path) or self._handlers.get(f"{head}/{_GAP}")
        if methods is None or (not last and request.path not in self._handlers):
            return text_response(404, "not found\n")
        method = "GET" if request.method == "HEAD" else request.method
        handler = methods.get(method)
        if handler is None:
            return text_response(
                405, "method not allowed\n", [(b"Allow", ", ".join(methods).encode())]
            )
        return await handler(request, unquote(last))
