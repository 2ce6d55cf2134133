"""Hosts of a group some of which run an older release that cannot send parts of entries."""

from tests.support.hosts import Breach, Host
from traystall.consensus.replica import Replica
from traystall.rpc.gen.wire.ttypes import AppendReply, EntryPart, EntryPartReply


class ReplicaWithoutParts(Replica):
    """Send and receive whole entries only; a part ends the link, as an unknown method does."""

    # Whether this identity ran a release with parts before: one may then still be in transit.
    ran_with_parts = False

    def receive(self, message, now):
        if isinstance(message, EntryPart | EntryPartReply):
            if message.to == self.identity and not self.ran_with_parts:
                raise Breach(
                    f"{self.identity} received {type(message).__name__}, which it does not know"
                )
            return
        if isinstance(message, AppendReply):
            message.takes_parts = None
        super().receive(message, now)

    def _reply_append(self, request, success, match, hint):
        super()._reply_append(request, success, match, hint)
        self._ready.messages_after_sync[-1].takes_parts = None

    def _send_part(self, peer, entry, now):
        raise AssertionError("This release sends no parts.")


class RollingHost(Host):
    """Start with a random release at each boot."""

    ran_with_parts = False

    def boot(self):
        self.replica_class = self.group.random.choice((Replica, ReplicaWithoutParts))
        self.ran_with_parts |= self.replica_class is Replica
        super().boot()
        self.replica.ran_with_parts = self.ran_with_parts

    def wipe(self):
        self.ran_with_parts = False
        super().wipe()
