"""The directory of gateways, received from a control daemon: a full copy first, then changes.

The directory is kept with the epoch (the incarnation) of the control daemon that sent it. Changes
that don't apply to it cause a request for a full copy, so that stopped gateways don't stay listed.
"""

import logging

from traystall.rpc.gen.wire.ttypes import WatchReply, WatchRequest
from traystall.rpc.records import to_row
from traystall.tables.gateways import GatewayRow, directory_check

logger = logging.getLogger(__name__)


class DirectoryCache:
    """The rows of the known gateways, sorted by identity; rows without changes are kept."""

    def __init__(self):
        self.rows: list[GatewayRow] = []
        self._forget_base()

    def add_known_version(self, request: WatchRequest, with_directory: bool = True) -> None:
        """Add the known version to a request, so that the reply has only the changes since.

        Without `with_directory` the reply has no directory at all. Old daemons send no epoch and
        know only `directory_version`. They never get the version of a daemon with an epoch, which
        could equal their own by chance.
        """
        request.directory_version = 0 if self._epoch else self._version
        if self._epoch:
            request.directory_epoch = self._epoch
            request.directory_known = self._version
        if not with_directory:
            request.without_directory = True

    def switch_source(self) -> None:
        """Prepare to watch another control daemon.

        A version with an epoch is kept: another daemon sees the foreign epoch and sends a full
        copy. A gateway whose watch timed out, and that returns to the same daemon, gets only the
        changes, since a full copy would fill its link again.
        """
        if not self._epoch:
            self._forget_base()

    def take(self, reply: WatchReply, now: float) -> bool:
        """Apply a reply; return whether a field changed that decisions depend on."""
        before = _decision_fields(self.rows)
        if reply.directory is not None and reply.directory_version:
            self._replace(reply, _rows(reply.directory, now))
        elif reply.directory_base is not None:
            self._apply_changes(reply, now)
        return before != _decision_fields(self.rows)

    def _apply_changes(self, reply, now):
        if (reply.directory_epoch, reply.directory_base) != (self._epoch, self._version):
            self._reject("changes are based on another version")
            return
        rows = {row.identity: row for row in self.rows}
        for identity in reply.directory_dropped or ():
            rows.pop(identity, None)
        rows.update((row.identity, row) for row in _rows(reply.directory_changed or (), now))
        if directory_check(rows.values()) != reply.directory_check:
            self._reject("checksum mismatch after changes")
            return
        self._replace(reply, rows.values())

    def _replace(self, reply, rows):
        self.rows = sorted(rows, key=lambda row: row.identity)
        self._epoch = reply.directory_epoch or ""
        self._version = reply.directory_version

    def _reject(self, why):
        logger.warning("directory refused", extra={"why": why})
        self._forget_base()

    def _forget_base(self):
        """Request a full copy next; the current rows stay until it arrives."""
        self._epoch = ""
        self._version = 0


def _rows(records, now):
    return [to_row(record, now - (record.age or 0.0), direct=False) for record in records]


def _decision_fields(rows):
    """Return the fields of the directory that decisions depend on."""
    return [(row.identity, row.state, row.leaving) for row in rows]
