"""Open a tunnel: ask another gateway for a connection to a target."""

import asyncio
import logging

from traystall.core.exceptions import RpcError, RpcRefused, RpcUnavailable
from traystall.core.peer_timeout import PeerTimeout
from traystall.passthrough.exchange.connection import ConnectionObserver, TargetConnection
from traystall.passthrough.tunnels.framing import FrameDecoder
from traystall.rpc.client import LinkIdentity
from traystall.rpc.framing import split_frame, write_frame
from traystall.rpc.gen.wire.ttypes import Frame, Method, TunnelReply, TunnelRequest
from traystall.rpc.messages import decode, encode
from traystall.tables.gateways import GatewayRow

_CALL_ID = 1

logger = logging.getLogger(__name__)


class _Handshake(asyncio.Protocol):
    """Read the frame that accepts or refuses a tunnel, and keep the bytes that follow it."""

    def __init__(self):
        self._received = bytearray()
        self.reply: asyncio.Future[Frame] = asyncio.get_running_loop().create_future()
        # Nobody awaits the reply of an attempt that was cancelled; its error is no lost one.
        self.reply.add_done_callback(lambda reply: reply.cancelled() or reply.exception())

    def data_received(self, data):
        """Collect bytes until the frame is complete."""
        self._received += data
        if self.reply.done():
            return
        try:
            found = split_frame(bytes(self._received))
        except RpcError as error:
            self.reply.set_exception(error)
            return
        if found is not None:
            frame, rest = found
            self._received = bytearray(rest)
            self.reply.set_result(frame)

    def connection_lost(self, exc):
        """Fail the handshake if the gateway closes the connection before it replies."""
        if not self.reply.done():
            self.reply.set_exception(RpcUnavailable(f"The gateway closed: {exc or 'no reason'}."))

    def hand_over(self, transport, protocol: asyncio.Protocol) -> None:
        """Let `protocol` continue on the transport."""
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        if self._received:
            protocol.data_received(bytes(self._received))


class _FramedTunnel(asyncio.Protocol):
    """Hand what the frames of a tunnel carry to the connection to a target.

    Only the end mark ends the target's side in order; without it the end of the tunnel breaks a
    response that lasts until the target closes.
    """

    def __init__(self, connection: TargetConnection):
        self._connection = connection
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport):
        """Give the transport to the connection, which writes requests to it as they are."""
        self._transport = transport
        self._connection.connection_made(transport)

    def data_received(self, data):
        """Pass on the contents of frames, and the end mark as the target's close."""
        try:
            for content in self._decoder.feed(data):
                if self._transport.is_closing():
                    return
                self._connection.data_received(content)
        except RpcError as error:
            logger.warning("tunnel closed", extra={"why": str(error)})
            self._transport.abort()
            return
        if self._decoder.has_ended:
            self._connection.eof_received()
            self._transport.abort()

    def connection_lost(self, exc):
        """Pass on the end; TargetConnection takes it for an orderly one after the end mark only."""
        self._connection.connection_lost(exc)


async def open_tunnel(
    gateway: GatewayRow,
    request: TunnelRequest,
    identity: LinkIdentity,
    observer: ConnectionObserver,
    timeout: float,
) -> TargetConnection:
    """Return a connection to a target through `gateway`; raise an RpcError within `timeout`."""
    host, _, port = gateway.rpc_address.rpartition(":")
    loop = asyncio.get_running_loop()
    transport = None
    is_open = False
    try:
        async with PeerTimeout(timeout):
            transport, handshake = await loop.create_connection(_Handshake, host, int(port))
            hello = encode(identity.hello())
            write_frame(transport, Frame(call_id=0, method=Method.HELLO, reply=False, body=hello))
            body = encode(request)
            frame = Frame(call_id=_CALL_ID, method=Method.TUNNEL, reply=False, body=body)
            write_frame(transport, frame)
            reply = await handshake.reply
        if reply.error:
            raise RpcRefused(reply.error, reply.detail or "")
        if transport.is_closing():
            raise RpcUnavailable(f"The tunnel through {gateway.instance} broke.")
        is_framed = bool(decode(TunnelReply, reply.body).framed)
        # A gateway of an earlier release forwards bytes without frames.
        connection = TargetConnection(observer, gateway.identity, is_close_an_end=is_framed)
        handshake.hand_over(transport, _FramedTunnel(connection) if is_framed else connection)
        is_open = True
        return connection
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        # ValueError and OverflowError: the gateway has reported an invalid address.
        raise RpcUnavailable(f"No tunnel through {gateway.instance}: {error}.") from error
    finally:
        if transport is not None and not is_open:
            transport.abort()
