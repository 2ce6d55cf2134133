"""Hand a configuration to whoever watches: small changes in the reply, large ones in chunks."""

from collections.abc import Callable

from traystall.catalog.transfers import PackedCopies, PackedCopy, RevisionCopy
from traystall.rpc.gen.wire.ttypes import (
    Offer,
    TransferReply,
    TransferRequest,
    WatchReply,
    WatchRequest,
)


class CopySource:
    """Answer watches and requests for chunks of one process.

    `copy_from(base)` returns what leads from the revision with digest `base` to the newest one.
    """

    def __init__(self, copy_from: Callable[[bytes], RevisionCopy]):
        self._copy_from = copy_from
        self._packed = PackedCopies()

    def fill(self, reply: WatchReply, request: WatchRequest) -> None:
        """Put what the watcher lacks into `reply`, or an offer of it if it is large."""
        copy = self._copy_from(request.digest)
        if request.inline_bytes is None or _size(copy) <= request.inline_bytes:
            fill_reply(reply, copy)
            return
        packed = self._pack(copy)
        reply.offer = Offer(digest=packed.digest, size=len(packed.data))

    def chunk(self, request: TransferRequest) -> TransferReply:
        """Return a part of a packed copy, whichever source has offered it."""
        packed = self._packed.find(request.digest)
        if packed is None:
            # It was offered elsewhere: the same revisions give the same bytes here.
            copy = self._copy_from(request.base)
            if copy.result != request.result:
                return TransferReply(known=False)
            packed = self._pack(copy)
        if packed.digest != request.digest:
            return TransferReply(known=False)
        end = request.offset + request.length
        return TransferReply(known=True, data=packed.data[request.offset : end])

    def _pack(self, copy) -> PackedCopy:
        return self._packed.get(copy.base, copy.result, lambda: copy)


def fill_reply(reply: WatchReply, copy: RevisionCopy) -> None:
    """Put a copy into `reply`."""
    reply.full = copy.full
    reply.digest = copy.result
    reply.puts = copy.puts
    reply.deletes = copy.deletes
    if not copy.full:
        reply.base = copy.base


def _size(copy) -> int:
    """Return about how many bytes a copy takes, those of its keys included."""
    puts = sum(len(key) + len(value) for key, value in copy.puts.items())
    return puts + sum(len(key) for key in copy.deletes)
