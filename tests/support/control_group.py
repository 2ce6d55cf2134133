"""Control daemons in the test process that can be killed, wiped and replaced."""

import asyncio
import shutil

from tests.support.cluster import HOST, free_ports
from traystall.catalog.deltas import entities_digest
from traystall.conf.settings import load
from traystall.consensus.models import EntryKind
from traystall.control.daemon import ControlDaemon
from traystall.control.settings import SETTINGS, check_control
from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.rpc.gen.wire.ttypes import ApplyRequest, ReadRequest

_FAST_SETTINGS = {
    "election-min": "0.4",
    "election-max": "0.8",
    "heartbeat": "0.1",
    "number-rule": "highest",
    "self-repair": "true",
    "log-level": "warning",
}


def free_address():
    """Return a loopback address that is free and was not handed out before.

    The port is outside the range that the system assigns to outgoing connections. On a busy machine
    an outgoing connection took a port of that range between this call and the daemon's start, and
    the daemon could not listen on it.
    """
    return f"{HOST}:{free_ports(1)[0]}"


class ControlGroup:
    """Run control daemons by name; `founders` form the group, other daemons join it."""

    def __init__(self, root, founders=("a", "b", "c"), flags=None):
        self._root = root
        # Settings of all daemons that differ from the usual ones.
        self._flags = flags or {}
        self.addresses = {name: free_address() for name in founders}
        # Listening addresses of daemons that advertise the address of a relay instead.
        self.listening = {}
        self._founders = tuple(founders)
        self.daemons = {}
        self.http = {}
        self._member_delay = 0.0

    async def start(self, name, founding=False):
        """Start a daemon on its data folder, which is empty on the first start."""
        address = self.addresses.setdefault(name, free_address())
        values = {
            "cluster": "test",
            "instance": name,
            "data-centre": "here",
            "rpc-listen": self.listening.get(name, address),
            "rpc-advertise": address,
            "http-listen": self.http.setdefault(name, free_address()),
            "data-folder": self._root / name,
            "join": ",".join(self._join_addresses(name)),
            **_FAST_SETTINGS,
            **self._flags,
        }
        if founding:
            pairs = [f"{founder}={self.addresses[founder]}" for founder in self._founders]
            values["initial-members"] = ",".join(pairs)
        argv = [f"--{key}={value}" for key, value in values.items()]
        settings = load("traystall-control", SETTINGS, [check_control], argv, {})
        daemon = ControlDaemon(settings)
        await daemon.start()
        if self._member_delay:
            _delay_member_changes(daemon.node, self._member_delay)
        self.daemons[name] = daemon
        return daemon

    def _join_addresses(self, name):
        """Return the addresses for a join request: the founders and all running daemons."""
        names = {*self._founders, *self.daemons} - {name}
        return sorted(self.addresses[known] for known in names)

    def delay_member_changes(self, seconds):
        """Delay the sending of entries that change the member set, on all daemons."""
        self._member_delay = seconds
        for daemon in self.daemons.values():
            _delay_member_changes(daemon.node, seconds)

    async def stop(self, name, wipe=False):
        """Stop a daemon without notifying the others; `wipe` also deletes its data folder."""
        daemon = self.daemons.pop(name)
        await daemon.stop()
        _raise_failure(daemon)
        if wipe:
            shutil.rmtree(self._root / name)

    async def stop_all(self):
        for name in list(self.daemons):
            await self.stop(name)

    def leader(self):
        """Return the daemon that leads and holds a lease, or None."""
        now = clock.monotonic()
        leading = [d for d in self.daemons.values() if d.node.replica.holds_lease(now)]
        return leading[0] if leading else None

    def voters(self):
        """Return the names of the voters in the leader's committed member set."""
        return {identity.split("/")[0] for identity in self._voting_identities()}

    def _voting_identities(self):
        leader = self.leader()
        if leader is None:
            return set()
        return {m.identity for m in leader.node.replica.committed_members if m.voter}

    def live_voters(self):
        """Return the names of running daemons that vote under their current identity."""
        voting = self._voting_identities()
        return {
            name for name, daemon in self.daemons.items() if daemon.node.replica.identity in voting
        }

    async def until(self, condition, seconds=20):
        """Return once `condition` holds; fail after `seconds` or as soon as a daemon fails."""
        async with asyncio.timeout(seconds):
            while not condition():
                self.raise_failure()
                await asyncio.sleep(0.02)

    def raise_failure(self):
        """Raise the failure of a daemon whose background task has ended."""
        for daemon in self.daemons.values():
            _raise_failure(daemon)

    async def lead_with(self, daemon):
        """Return once `daemon` leads with a lease; it must be a voter with a complete log."""
        identity = daemon.node.replica.identity
        while self.leader() is not daemon:
            leader = self.leader()
            if leader is not None:
                leader.node.replica.hand_over(identity, clock.monotonic())
                leader.node.process_ready()
            await self.until(lambda former=leader: self.leader() not in (None, former))

    async def apply(self, name, number, content):
        """Send a configuration to one daemon; return its reply."""
        return await self.apply_entities(name, number, {"k": content})

    async def apply_entities(self, name, number, entities, seconds=5.0):
        """Send a whole configuration to one daemon; return its reply."""
        request = ApplyRequest(
            number=number, digest=entities_digest(entities), entities=entities, operator="test"
        )
        return await self.daemons[name].leader.call(request, seconds)

    async def read(self, name):
        """Return the number and content from one daemon, or None if its read fails."""
        try:
            reply = await self.daemons[name].leader.call(ReadRequest(sender="test"), 1.0)
        except RpcError:
            return None
        return reply.number, (reply.entities or {}).get("k")


def _raise_failure(daemon):
    for failed in (daemon.node.failed, daemon._background.failed):
        if failed.done():
            failed.result()


def _delay_member_changes(node, seconds):
    send_one = node._send_one

    async def send_later(address, message):
        if any(
            entry.kind == EntryKind.MEMBERS for entry in getattr(message, "entries", None) or ()
        ):
            await asyncio.sleep(seconds)
        await send_one(address, message)

    node._send_one = send_later
