"""The directory of gateways as a control daemon tells it: the whole once, then what changes.

One directory is held, with the life of the control daemon that told it. Whatever doesn't fit what
is held makes the whole be asked for, so that no gateway stays listed that is long gone.
"""

import logging

from traystall.rpc.gen.wire.ttypes import WatchReply, WatchRequest
from traystall.rpc.records import to_row
from traystall.tables.gateways import GatewayRow, directory_check

logger = logging.getLogger(__name__)


class FollowedDirectory:
    """Hold `rows` in the order of their names; those not told anew stay as they were told."""

    def __init__(self):
        self.rows: list[GatewayRow] = []
        self._forget_base()

    def describe_base(self, request: WatchRequest, with_directory: bool = True) -> None:
        """Put into a request what is known, so that only the rest is told, or nothing at all.

        A daemon that names no life knows only `directory_version`. It is never given a number
        that another daemon counted, which might be the same as its own by chance.
        """
        request.directory_version = 0 if self._epoch else self._version
        if self._epoch:
            request.directory_epoch = self._epoch
            request.directory_known = self._version
        if not with_directory:
            request.without_directory = True

    def turn(self) -> None:
        """Turn to another control daemon, which by its life knows that it must tell the whole.

        A base with its life is kept: a gateway whose watch timed out and that comes back to the
        daemon it knows gets the changes, when the whole would fill its link again.
        """
        if not self._epoch:
            self._forget_base()

    def take(self, reply: WatchReply, now: float) -> bool:
        """Take in a reply; return whether something changed on which decisions depend."""
        before = _essentials(self.rows)
        if reply.directory is not None and reply.directory_version:
            self._keep(reply, _rows(reply.directory, now))
        elif reply.directory_base is not None:
            self._take_changes(reply, now)
        return before != _essentials(self.rows)

    def _take_changes(self, reply, now):
        if (reply.directory_epoch, reply.directory_base) != (self._epoch, self._version):
            self._refuse("changes of another base")
            return
        rows = {row.identity: row for row in self.rows}
        for identity in reply.directory_dropped or ():
            rows.pop(identity, None)
        rows.update((row.identity, row) for row in _rows(reply.directory_changed or (), now))
        if directory_check(rows.values()) != reply.directory_check:
            self._refuse("changes that lead elsewhere")
            return
        self._keep(reply, rows.values())

    def _keep(self, reply, rows):
        self.rows = sorted(rows, key=lambda row: row.identity)
        self._epoch = reply.directory_epoch or ""
        self._version = reply.directory_version

    def _refuse(self, why):
        logger.warning("directory refused", extra={"why": why})
        self._forget_base()

    def _forget_base(self):
        """Ask for the whole next; what is listed stays until it comes."""
        self._epoch = ""
        self._version = 0


def _rows(records, now):
    return [to_row(record, now - (record.age or 0.0), direct=False) for record in records]


def _essentials(rows):
    """Return what of the directory decisions depend on."""
    return [(row.identity, row.state, row.leaving) for row in rows]
