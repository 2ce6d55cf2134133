"""Directory updates for watchers: their content and when they are sent.

A watcher that knows a version of this incarnation of the daemon receives the changes since that
version. All others, and gateways that name no incarnation, receive the whole directory.
"""

from traystall.core.ids import new_id
from traystall.rpc.gen.wire.ttypes import WatchReply, WatchRequest
from traystall.rpc.records import to_record
from traystall.tables.gateways import GatewayTable

# A watch stays open for at least this long before directory changes alone answer it. The restart of
# a gateway makes three changes and the failure of a rack tens of them; batched, they cost one reply
# instead of one each. Decisions made from the directory tolerate the delay: a gateway that leaves
# also refuses requests itself, and one that has just started owns nothing for some seconds.
BATCH_SECONDS = 0.3


class DirectoryUpdates:
    """Add updates of a gateway table to watch replies; `epoch` identifies this incarnation."""

    def __init__(self, table: GatewayTable):
        self.epoch = new_id()
        self._table = table

    def has_changes(self, request: WatchRequest) -> bool:
        """Return whether the directory has changed since the version that a watcher knows."""
        return not request.without_directory and self._known_version(request) != self._table.version

    def batch_end(self, request: WatchRequest, began: float) -> float:
        """Return when directory changes alone may answer a watch that began at `began`.

        A watcher that knows no version yet is answered at once.
        """
        return began + BATCH_SECONDS if self._known_version(request) else began

    def add_directory(self, reply: WatchReply, request: WatchRequest, now: float) -> None:
        """Add the directory, or its changes, to the reply if the watcher's version is outdated."""
        if self.has_changes(request):
            # Gateways that timed out are reported as dropped in this reply, not a second later.
            self._table.expire(now)
            reply.directory_epoch = self.epoch
            if not self._add_changes(reply, request, now):
                reply.directory = [to_record(row, now) for row in self._table.live(now)]
        reply.directory_version = self._table.version

    def _known_version(self, request):
        """Return the version of this table that a watcher knows, 0 if none."""
        if not request.directory_epoch:
            return request.directory_version or 0
        return (request.directory_known or 0) if request.directory_epoch == self.epoch else 0

    def _add_changes(self, reply, request, now):
        """Add only the changes to the reply if they suffice; return whether they do."""
        known = self._known_version(request)
        delta = self._table.since(known) if request.directory_epoch else None
        if delta is None:
            return False
        reply.directory_base = known
        reply.directory_changed = [to_record(row, now) for row in delta.changed]
        reply.directory_dropped = delta.dropped
        reply.directory_check = self._table.check()
        return True
