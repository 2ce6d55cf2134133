"""Send the configuration to subscribers: small changes in the reply, large ones in chunks."""

from collections.abc import Callable

from traystall.catalog.transfers import PackedCopy, PackedCopyCache, RevisionCopy
from traystall.rpc.gen.wire.ttypes import (
    Offer,
    TransferReply,
    TransferRequest,
    WatchReply,
    WatchRequest,
)


class CopySource:
    """Answer the watch and chunk requests that one process receives.

    `copy_from(base)` returns the copy that updates the revision with digest `base` to the newest.
    """

    def __init__(self, copy_from: Callable[[bytes], RevisionCopy]):
        self._copy_from = copy_from
        self._packed = PackedCopyCache()

    def fill(self, reply: WatchReply, request: WatchRequest) -> None:
        """Put the update for the subscriber into `reply`, or an offer if the update is large."""
        copy = self._copy_from(request.digest)
        if request.inline_bytes is None or _approximate_size(copy) <= request.inline_bytes:
            fill_reply(reply, copy)
            return
        packed = self._pack(copy)
        reply.offer = Offer(digest=packed.digest, size=len(packed.data))

    def chunk(self, request: TransferRequest) -> TransferReply:
        """Return a chunk of a packed copy, also of one that another source has offered."""
        packed = self._packed.find(request.digest)
        if packed is None:
            # Another source offered the copy; equal revisions pack to equal bytes everywhere.
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


def _approximate_size(copy) -> int:
    """Return the approximate size of a copy in bytes, including its keys."""
    puts = sum(len(key) + len(value) for key, value in copy.puts.items())
    return puts + sum(len(key) for key in copy.deletes)
