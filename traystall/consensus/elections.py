"""Elections: requesting votes, and granting them only if no leader can still hold a lease.

This is a mixin of `Replica`, which holds the state that these methods read and change.
"""

from traystall.consensus.models import HardState, Role
from traystall.consensus.quorum import is_majority
from traystall.rpc.gen.wire.ttypes import VoteReply, VoteRequest


class Elections:
    """Run for leader, and answer the vote requests of other replicas."""

    def _start_pre_vote(self, now):
        self.role = Role.PRE_CANDIDATE
        self.leader = ""
        self._votes = {self.identity}
        self._reset_election_timer(now)
        if is_majority(self._votes, self.voters):
            self._start_election(now, handover=False)
            return
        self._ready.messages += self._vote_requests(self.term + 1, pre_vote=True, handover=False)

    def _start_election(self, now, handover):
        self.role = Role.CANDIDATE
        self.leader = ""
        self._set_hard_state(HardState(term=self.term + 1, vote=self.identity))
        self._votes = set()
        self._reset_election_timer(now)
        requests = self._vote_requests(self.term, pre_vote=False, handover=handover)
        # The own vote is sent as a message too, so that it counts only after it is synced.
        own_vote = VoteReply(
            **self._envelope(self.identity),
            granted=True,
            pre_vote=False,
        )
        self._ready.messages_after_sync += [*requests, own_vote]

    def _vote_requests(self, term, pre_vote, handover):
        return [
            VoteRequest(
                **self._envelope(voter, term),
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                pre_vote=pre_vote,
                handover=handover,
            )
            for voter in sorted(self.voters)
            if voter != self.identity
        ]

    def _on_vote_request(self, request, now):
        if not self._may_answer_vote(request, now):
            return
        if request.term > self.term and not request.pre_vote:
            self._become_follower(request.term, "", now)
        granted = self._grants_vote(request)
        if granted and not request.pre_vote:
            self._set_hard_state(HardState(term=self.term, vote=request.sender))
            self._reset_election_timer(now)
        term = request.term if granted and request.pre_vote else self.term
        reply = VoteReply(
            **self._envelope(request.sender, term),
            granted=granted,
            pre_vote=request.pre_vote,
        )
        self._ready.messages_after_sync.append(reply)

    def _may_answer_vote(self, request, now):
        """Return False while a leader may hold a lease that relies on this replica's silence."""
        if now < self._may_vote_after and not self._has_no_state():
            return False
        if request.handover:
            return True
        if self.is_leader and not request.term <= self.term:
            return now > self._quorum_contact_at() + self.timing.election_min
        return now >= self._leader_contact_at + self.timing.election_min

    def _has_no_state(self):
        return self.term == 0 and self.log.last_index == 0

    def _grants_vote(self, request):
        if request.term < self.term:
            return False
        up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.pre_vote:
            return up_to_date and request.term > self.term
        free = self.hard_state.vote in ("", request.sender)
        return up_to_date and free and self.role is Role.FOLLOWER

    def _on_pre_vote_granted(self, reply, now):
        if self.role is not Role.PRE_CANDIDATE or reply.term != self.term + 1:
            return
        self._votes.add(reply.sender)
        if is_majority(self._votes, self.voters):
            self._start_election(now, handover=False)

    def _on_vote_reply(self, reply, now):
        if self.role is not Role.CANDIDATE or reply.term != self.term or reply.pre_vote:
            return
        if reply.granted:
            self._votes.add(reply.sender)
        if is_majority(self._votes, self.voters):
            self._become_leader(now)

    def _on_timeout_now(self, message, now):
        if message.term == self.term and self.identity in self.voters and not self.is_leader:
            self._start_election(now, handover=True)
