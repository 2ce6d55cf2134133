"""What a watcher is told of the directory of gateways, and when.

A watcher that knows a version of this life of the daemon is told what changed since;
anyone else, and every gateway that doesn't name a life, gets the whole.
"""

from traystall.core.ids import new_id
from traystall.rpc.gen.wire.ttypes import WatchReply, WatchRequest
from traystall.rpc.records import to_record
from traystall.tables.gateways import GatewayTable

# A watch is open this long, in seconds, before news of the directory alone answers it. A restart
# makes three changes and a failed rack tens: gathered, they cost a reply, not one each. What is
# decided from the directory bears it: a gateway that leaves also refuses whoever asks it, and
# one that has just started owns nothing for some seconds.
GATHER_SECONDS = 0.3


class DirectoryNews:
    """Tell watchers of a table; `epoch` names this life of the daemon."""

    def __init__(self, table: GatewayTable):
        self.epoch = new_id()
        self._table = table

    def is_news(self, request: WatchRequest) -> bool:
        """Return whether a watcher doesn't know the directory as it is."""
        return not request.without_directory and self._known(request) != self._table.version

    def gathered_at(self, request: WatchRequest, began: float) -> float:
        """Return when news of the directory alone may answer a watch that began at `began`.

        Who knows nothing yet isn't made to wait.
        """
        return began + GATHER_SECONDS if self._known(request) else began

    def tell(self, reply: WatchReply, request: WatchRequest, now: float) -> None:
        """Put into a reply what its watcher doesn't know of the directory."""
        if self.is_news(request):
            # Who fell silent is told as dropped along with the other news, not a second later.
            self._table.expire(now)
            reply.directory_epoch = self.epoch
            if not self._tell_changes(reply, request, now):
                reply.directory = [to_record(row, now) for row in self._table.live(now)]
        reply.directory_version = self._table.version

    def _known(self, request):
        """Return the version that a watcher knows of this table, 0 if none."""
        if not request.directory_epoch:
            return request.directory_version or 0
        return (request.directory_known or 0) if request.directory_epoch == self.epoch else 0

    def _tell_changes(self, reply, request, now):
        """Return whether the changes alone bring the watcher up to date; put them in if so."""
        known = self._known(request)
        delta = self._table.since(known) if request.directory_epoch else None
        if delta is None:
            return False
        reply.directory_base = known
        reply.directory_changed = [to_record(row, now) for row in delta.changed]
        reply.directory_dropped = delta.dropped
        reply.directory_check = self._table.check()
        return True
