"""Automatic repair of the control group: admit newcomers, remove lost members, request to join.

The leader decides on changes with `traystall.systems.repair`. A daemon that is not a voter, or that
hears from no leader, asks the others for admission.
"""

import asyncio
import logging

from traystall.consensus.models import MemberRecord
from traystall.control.exceptions import ControlError
from traystall.control.members import to_member_record
from traystall.control.node import Node
from traystall.core import clock
from traystall.core.exceptions import ConsensusError, RpcError, RpcRefused
from traystall.core.logs import decision
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire import ttypes
from traystall.rpc.records import to_wire_member
from traystall.systems.repair import SILENT_SECONDS, GroupView, next_members

_REVIEW_INTERVAL_SECONDS = 0.1
_JOIN_INTERVAL_SECONDS = 0.3
_JOIN_TIMEOUT_SECONDS = 0.5
_CHANGE_TIMEOUT_SECONDS = 3.0
# How long a request to join stays valid; the newcomer repeats it until it is a voter.
_JOIN_REQUEST_LIFETIME_SECONDS = 2.0

logger = logging.getLogger(__name__)


class GroupRepair:
    """Repair the group as the leader, and request admission as a newcomer.

    `addresses` returns control daemons to ask in addition to the members in this daemon's log.
    """

    def __init__(self, node: Node, links: LinkPool, own: MemberRecord, addresses):
        self._node = node
        self._links = links
        self._own = own
        self._addresses = addresses
        self._joining: dict[str, tuple[MemberRecord, float]] = {}
        self._leading_since: float | None = None

    async def join(self, request: ttypes.JoinRequest) -> ttypes.JoinReply:
        """Record a daemon's request to become a member; only the leader accepts it."""
        replica = self._node.replica
        if not replica.is_leader:
            raise RpcRefused("not-leader", self._node.leader_address())
        record = to_member_record(request.member, voter=False)
        self._joining[record.identity] = (record, clock.monotonic())
        return ttypes.JoinReply(
            outcome="noted", members=[to_wire_member(m) for m in replica.members]
        )

    async def review_forever(self) -> None:
        """Carry out one membership change after the other while this replica is the leader."""
        while True:
            await asyncio.sleep(_REVIEW_INTERVAL_SECONDS)
            try:
                await self._review()
            except (ConsensusError, ControlError) as error:
                # An election may replace the change at any step, with an error of either base
                # class. If this loop ended, so would the daemon, just after the group lost another
                # member.
                logger.info("members not changed", extra={"why": str(error)})

    async def request_join_forever(self) -> None:
        """Request admission whenever this replica is not a voter of a working group."""
        while True:
            await asyncio.sleep(_JOIN_INTERVAL_SECONDS)
            if self._is_voting_member():
                continue
            request = ttypes.JoinRequest(member=to_wire_member(self._own))
            await asyncio.gather(
                *(self._request_join(address, request) for address in self._known_addresses())
            )

    def _is_voting_member(self):
        replica = self._node.replica
        return replica.identity in replica.voters and self._node.is_fresh()

    def _known_addresses(self):
        members = {member.address for member in self._node.replica.members}
        return sorted((members | set(self._addresses())) - {self._own.address})

    async def _request_join(self, address, request):
        try:
            await self._links.link(address).call(request, _JOIN_TIMEOUT_SECONDS)
        except RpcError as error:
            logger.debug("join request failed", extra={"peer": address, "why": str(error)})

    async def _review(self):
        replica = self._node.replica
        now = clock.monotonic()
        if not replica.holds_lease(now):
            self._leading_since = None
            return
        if self._leading_since is None:
            self._leading_since = now
        members = next_members(self._group_view(now))
        if members is None:
            return
        await self._node.change_members(members, _CHANGE_TIMEOUT_SECONDS)
        decision("members", voters=[m.identity for m in members if m.voter], count=len(members))

    def _group_view(self, now):
        replica = self._node.replica
        self._joining = {
            identity: (record, at)
            for identity, (record, at) in self._joining.items()
            if now - at < _JOIN_REQUEST_LIFETIME_SECONDS
        }
        others = [m.identity for m in replica.members if m.identity != replica.identity]
        silent = {identity for identity in others if self._is_silent(identity, now)}
        caught_up = {identity for identity in others if self._has_caught_up(identity)}
        return GroupView(
            members=tuple(replica.members),
            joining=tuple(record for record, _ in self._joining.values()),
            silent=frozenset(silent),
            caught_up=frozenset(caught_up),
            own_identity=replica.identity,
        )

    def _is_silent(self, identity, now):
        """Return whether a member has been silent too long since its last reply or the election."""
        last_contact_at = max(
            self._node.replica.last_contact_at(identity), self._leading_since or now
        )
        return now - last_contact_at > SILENT_SECONDS

    def _has_caught_up(self, identity):
        progress = self._node.replica.progress.get(identity)
        answered = progress is not None and progress.acked_round > 0
        return answered and self._node.replica.caught_up(identity)
