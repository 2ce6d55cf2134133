"""Machines of a group of which some run a release that knows no parts of entries."""

from tests.support.hosts import Breach, Host
from traystall.consensus.replica import Replica
from traystall.rpc.gen.wire.ttypes import AppendReply, EntryPart, EntryPartReply


class ReplicaWithoutParts(Replica):
    """Take and send whole entries only; a part ends its link, as an unknown method does."""

    # Whether this identity ran a release that knows parts: one may still be on its way then.
    knew_parts = False

    def receive(self, message, now):
        if isinstance(message, EntryPart | EntryPartReply):
            if message.to == self.identity and not self.knew_parts:
                raise Breach(f"{self.identity} got {type(message).__name__}, which it never knew")
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
    """Come up with another release at random."""

    knew_parts = False

    def boot(self):
        self.replica_class = self.group.random.choice((Replica, ReplicaWithoutParts))
        self.knew_parts |= self.replica_class is Replica
        super().boot()
        self.replica.knew_parts = self.knew_parts

    def wipe(self):
        self.knew_parts = False
        super().wipe()
