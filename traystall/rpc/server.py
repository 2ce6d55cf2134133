"""Accept links from other traystall processes and hand their messages to a handler."""

import asyncio
import contextlib
import logging

from traystall.core.exceptions import RpcError, RpcRefused
from traystall.core.peer_timeout import PeerTimeout
from traystall.core.sockets import enable_dead_peer_detection
from traystall.rpc import traffic
from traystall.rpc.framing import read_frame, refusal_reason, write_frame
from traystall.rpc.gen.wire.ttypes import Frame, Hello, Method, TunnelReply
from traystall.rpc.messages import REQUEST_TYPES, decode, encode

_HELLO_TIMEOUT_SECONDS = 5.0
# Before its greeting a peer may be anyone.
MAX_HELLO_BYTES = 16 * 1024
_MAX_UNGREETED_LINKS = 256
# Error code for a message that can't be decoded or lacks a required field.
BAD_MESSAGE = "bad-message"

logger = logging.getLogger(__name__)


async def _refuse_tunnel(request):
    raise RpcRefused("bad-method", "This process opens no tunnels.")


class RpcServer:
    """Serve framed calls; `handler(request)` returns a reply message or raises RpcRefused.

    `open_tunnel(request)` returns a `Tunnel` or raises RpcRefused. Without it, tunnels are refused.
    Of more than `max_ungreeted` links without a greeting, the oldest are closed.
    """

    def __init__(
        self,
        address: str,
        cluster: str,
        secret: str,
        handler,
        open_tunnel=None,
        max_ungreeted: float = _MAX_UNGREETED_LINKS,
    ):
        self._address = address
        self._cluster = cluster
        self._secret = secret
        self._handler = handler
        self._open_tunnel = open_tunnel or _refuse_tunnel
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        # Links whose peer has not greeted yet, the oldest first.
        self._ungreeted: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self._max_ungreeted = max_ungreeted

    async def start(self) -> None:
        """Bind the address and begin to accept links."""
        host, _, port = self._address.rpartition(":")
        self._server = await asyncio.start_server(self._serve_link, host, int(port))

    async def stop(self) -> None:
        """Stop accepting links and cancel the calls in progress."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve_link(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        enable_dead_peer_detection(writer.transport)
        try:
            self._ungreeted[task] = writer
            self._close_ungreeted()
            hello = await self._read_hello(reader, writer)
            self._ungreeted.pop(task, None)
            if hello is not None:
                traffic.watch_accepted(writer, hello.role)
                await self._serve_frames(reader, writer)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        except asyncio.CancelledError:
            pass  # Cancelled by `stop`; asyncio would log a raised error of the stream's task.
        except RpcError as error:
            logger.warning("link closed", extra={"why": str(error)})
        finally:
            self._tasks.discard(task)
            self._ungreeted.pop(task, None)
            traffic.unwatch(writer)
            writer.close()

    def _close_ungreeted(self):
        """Close the oldest links without a greeting; silent peers must not use up descriptors."""
        while len(self._ungreeted) > self._max_ungreeted:
            writer = self._ungreeted.pop(next(iter(self._ungreeted)))
            logger.info("link closed", extra={"why": "Too many links wait for a greeting."})
            writer.transport.abort()

    async def _read_hello(self, reader, writer) -> Hello | None:
        """Return the `Hello` of a link, or refuse the link and return None."""
        async with PeerTimeout(_HELLO_TIMEOUT_SECONDS):
            frame = await read_frame(reader, MAX_HELLO_BYTES)
        if frame.method != Method.HELLO:
            raise RpcError("A link must open with a greeting.")
        hello = decode(Hello, frame.body)
        reason = refusal_reason(hello, self._cluster, self._secret)
        if not reason:
            return hello
        logger.warning("link refused", extra={"why": reason})
        refusal = Frame(call_id=0, method=Method.HELLO, reply=True, error="refused", detail=reason)
        write_frame(writer, refusal)
        await writer.drain()
        return None

    async def _serve_frames(self, reader, writer):
        while True:
            frame = await read_frame(reader)
            kind = REQUEST_TYPES.get(frame.method)
            if kind is None:
                raise RpcError(f"Method {frame.method} is unknown.")
            try:
                request = decode(kind, frame.body)
            except RpcError as error:
                await self._refuse(writer, frame, error)
                continue
            if frame.method == Method.TUNNEL:
                await self._serve_tunnel(reader, writer, frame, request)
                return
            if frame.call_id == 0:
                await self._handle_one_way(request)
                continue
            task = asyncio.create_task(self._answer(writer, frame, request))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve_tunnel(self, reader, writer, frame, request):
        """Turn the connection into a tunnel; it carries no messages any more after the reply."""
        reply = Frame(call_id=frame.call_id, method=frame.method, reply=True)
        try:
            tunnel = await self._open_tunnel(request)
        except RpcRefused as error:
            reply.error, reply.detail = error.code, error.detail
            await self._write(writer, reply)
            return
        try:
            reply.body = encode(TunnelReply(identity=request.target, framed=tunnel.is_framed))
            await self._write(writer, reply)
            await tunnel.forward(reader, writer)
        finally:
            tunnel.close()

    async def _refuse(self, writer, frame, error):
        """Refuse one message that can't be decoded; the link stays open for other messages."""
        logger.warning("message refused", extra={"method": frame.method, "why": str(error)})
        if frame.call_id:
            refusal = Frame(call_id=frame.call_id, method=frame.method, reply=True)
            refusal.error, refusal.detail = BAD_MESSAGE, str(error)
            await self._write(writer, refusal)

    async def _handle_one_way(self, request):
        """Handle a one-way message; its error must not close the link."""
        try:
            await self._handler(request)
        except RpcRefused as error:
            logger.warning("message refused", extra={"why": str(error)})
        except Exception:  # noqa: BLE001 - the error affects this message alone.
            logger.exception("message failed")

    async def _answer(self, writer, frame, request):
        reply = Frame(call_id=frame.call_id, method=frame.method, reply=True)
        try:
            reply.body = encode(await self._handler(request))
        except RpcRefused as error:
            reply.error = error.code
            reply.detail = error.detail
        except Exception as error:  # noqa: BLE001 - the peer must get an answer; the log says why.
            logger.exception("call failed")
            reply.error = "internal"
            reply.detail = type(error).__name__
        await self._write(writer, reply)

    async def _write(self, writer, reply):
        # The peer may have disconnected; it then repeats the request over a new link.
        with contextlib.suppress(RuntimeError, OSError):
            write_frame(writer, reply)
            await writer.drain()
