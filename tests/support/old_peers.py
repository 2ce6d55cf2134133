"""Older control daemons and gateways, which send the gateway directory only as a whole."""

from traystall.rpc.gen.wire.ttypes import WatchReply, WatchRequest
from traystall.rpc.messages import decode, encode
from traystall.rpc.records import to_record
from traystall.tables.gateways import GatewayTable

# The highest field numbers that these releases know.
_LAST_REQUEST_FIELD = 3
_LAST_REPLY_FIELD = 10


class OldWatchRequest(WatchRequest):
    """A watch request as an older daemon decodes it."""

    __slots__ = ()
    thrift_spec = WatchRequest.thrift_spec[: _LAST_REQUEST_FIELD + 1]


class OldWatchReply(WatchReply):
    """A watch reply as an older gateway decodes it."""

    __slots__ = ()
    thrift_spec = WatchReply.thrift_spec[: _LAST_REPLY_FIELD + 1]


def as_old_reply(reply: bytes) -> WatchReply:
    """Return a reply as an older gateway decodes it, without the newer fields."""
    return decode(OldWatchReply, reply)


class OldControl:
    """Send the whole directory in reply to a watch with another directory version."""

    def __init__(self):
        self.table = GatewayTable()

    def answer(self, request: bytes, now: float) -> bytes:
        """Return the encoded reply to an encoded watch."""
        version = decode(OldWatchRequest, request).directory_version
        reply = WatchReply(directory_version=self.table.version)
        if version != self.table.version:
            reply.directory = [to_record(row, now) for row in self.table.live(now)]
        return encode(reply)
