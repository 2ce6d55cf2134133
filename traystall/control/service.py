"""RPC service of a control daemon for gateways, peers and operators."""

import asyncio
import hmac
import logging
from collections.abc import Callable

from traystall.catalog.deltas import entities_digest, make_delta
from traystall.catalog.models import ApplyBundle, ApplyOutcome, NumberRule, SupersedeBundle
from traystall.control.evacuation import EvacuationOrders
from traystall.control.exceptions import CommitInDoubt, InvalidCommand, LeaderElsewhere, NoRoom
from traystall.control.members import MemberChanges
from traystall.control.node import Node
from traystall.control.subscribers import Subscribers
from traystall.core import clock
from traystall.core.exceptions import ConsensusError, RpcRefused
from traystall.core.logs import decision
from traystall.core.serialization import pack
from traystall.ledger.models import Claim, Release, Settle
from traystall.quarantine.wire import to_details
from traystall.rpc.gen.wire import ttypes
from traystall.rpc.messages import PEER_MESSAGES
from traystall.rpc.pacing import transfer_seconds
from traystall.rpc.records import to_wire_member

COMMIT_TIMEOUT_SECONDS = 3.0
_MAX_REBASES = 20
_MAX_DOUBTFUL_SHOWN = 100
_MAX_SUSPECTS_SHOWN = 100

# Takes the held and the new entities; returns the new ones under the keys to hold them by.
ArrangeEntities = Callable[[dict[str, bytes], dict[str, bytes]], dict[str, bytes]]

logger = logging.getLogger(__name__)


def keep_as_sent(_: dict[str, bytes], entities: dict[str, bytes]) -> dict[str, bytes]:
    """Return the entities of a new configuration unchanged."""
    return entities


class ControlService:
    """Dispatch RPC requests to the replicated state and the subscribers."""

    def __init__(
        self,
        node: Node,
        subscribers: Subscribers,
        members: MemberChanges,
        evacuations: EvacuationOrders,
        operator_token: str,
        rule: NumberRule = NumberRule.EXACT,
        arrange_entities: ArrangeEntities = keep_as_sent,
    ):
        self._node = node
        self._subscribers = subscribers
        self._members = members
        self._evacuations = evacuations
        self._operator_token = operator_token
        self._rule = rule
        self._arrange_entities = arrange_entities
        # Apply requests that wait for their commit, by term, number and digest.
        self._applying: dict[tuple[int, int, bytes], asyncio.Task] = {}
        self._handlers = {
            ttypes.ProbeRequest: self._probe,
            ttypes.ApplyRequest: self._apply,
            ttypes.StatusRequest: self._status,
            ttypes.WatchRequest: subscribers.watch,
            ttypes.TransferRequest: subscribers.transfer,
            ttypes.DigestRequest: self._digest,
            ttypes.ClaimRequest: self._claim,
            ttypes.SettleRequest: self._settle,
            ttypes.ReleaseRequest: self._release,
            ttypes.MembersRequest: self._change_members,
            ttypes.HandoverRequest: self._handover,
            ttypes.ReadRequest: self._read,
            ttypes.EvacuateRequest: self._evacuate,
        }

    def add_handler(self, request_type, handler) -> None:
        """Pass requests of the generated class `request_type` to `handler`."""
        self._handlers[request_type] = handler

    async def handle(self, request):
        """Return the reply to one request; None for consensus messages."""
        handler = self._handlers.get(type(request))
        if handler is None:
            if not isinstance(request, PEER_MESSAGES):
                raise RpcRefused("bad-method", "A control daemon does not serve this call.")
            self._node.deliver(request)
            return None
        try:
            return await handler(request)
        except LeaderElsewhere as error:
            raise RpcRefused("not-leader", error.leader) from error
        except CommitInDoubt as error:
            raise RpcRefused("in-doubt", str(error)) from error
        except InvalidCommand as error:
            raise RpcRefused("bad-request", str(error)) from error
        except NoRoom as error:
            raise RpcRefused("no-room", str(error)) from error
        except ConsensusError as error:
            raise RpcRefused("refused", str(error)) from error

    # ---- peers ----

    async def _probe(self, request):
        replica = self._node.replica
        return ttypes.ProbeReply(
            identity=replica.identity,
            empty=replica.log.last_index == 0,
            term=replica.term,
            leader=self._node.leader_address(),
            members=[to_wire_member(member) for member in replica.members],
        )

    async def _digest(self, request):
        return self._subscribers.merge_peer_gateways(request)

    # ---- catalog ----

    async def _apply(self, request):
        self._require_operator(request.token)
        if entities_digest(request.entities or {}) != request.digest:
            raise RpcRefused("bad-digest", "The bundle does not have the digest it came with.")
        self._require_lease()
        # Operators repeat requests that are not confirmed in time. A repeated request waits for the
        # running task, since proposing a large bundle again would queue it behind its own copies.
        # After an election the outcome may differ, so the term is part of the key.
        key = (self._node.replica.term, request.number, request.digest)
        running = self._applying.get(key)
        if running is None:
            running = asyncio.create_task(self._apply_until_decided(request))
            self._applying[key] = running
            running.add_done_callback(lambda task: self._forget_apply(key, task))
        return await asyncio.shield(running)

    def _forget_apply(self, key, task):
        del self._applying[key]
        if not task.cancelled() and task.exception() is not None:
            logger.info("apply ended", extra={"number": key[1], "why": str(task.exception())})

    async def _apply_until_decided(self, request):
        for _ in range(_MAX_REBASES):
            result = await self._apply_once(request)
            if result.outcome is not ApplyOutcome.REBASE:
                decision(
                    "apply",
                    number=request.number,
                    operator=request.operator,
                    outcome=result.outcome,
                    current=result.current,
                )
                return _to_apply_reply(result)
        raise RpcRefused("busy", "Other operators keep changing the configuration; try again.")

    async def _apply_once(self, request):
        catalog = self._node.state.catalog
        self._require_lease()
        if self._rule is NumberRule.HIGHEST:
            decided = catalog.lookup_highest(request.number)
            command_type = SupersedeBundle
        else:
            decided = catalog.lookup(request.number, request.digest)
            command_type = ApplyBundle
        if decided is not None:
            return decided
        entities = self._arrange_entities(catalog.entities, request.entities or {})
        command = command_type(
            number=request.number,
            digest=request.digest,
            operator=request.operator,
            delta=make_delta(catalog.entities, entities),
        )
        packed = pack(command)
        # The leader sends the command to two peers over one link.
        seconds = COMMIT_TIMEOUT_SECONDS + 2 * transfer_seconds(len(packed))
        return await self._node.propose(packed, seconds)

    async def _read(self, request):
        """Return the newest revision; refuse without a lease: another leader may have a newer."""
        self._require_lease()
        catalog = self._node.state.catalog
        return ttypes.ReadReply(
            number=catalog.number, digest=catalog.digest, entities=catalog.entities
        )

    async def _status(self, request):
        self._require_operator(request.token)
        replica = self._node.replica
        if not replica.is_leader and self._node.is_fresh():
            # Only the leader answers; without contact to one, this daemon reports its own state.
            raise LeaderElsewhere(self._node.leader_address())
        catalog = self._node.state.catalog
        unsettled = self._node.state.ledger.unsettled()
        doubtful = [
            f"{entry.customer} {entry.claim_id} {entry.stage}"
            for entry in unsettled
            if not self._subscribers.is_live(entry.claimant)
        ]
        return ttypes.StatusReply(
            identity=replica.identity,
            leader=self._node.leader_address(),
            term=replica.term,
            commit=replica.commit_index,
            number=catalog.number,
            digest=catalog.digest,
            gateways=self._subscribers.records(),
            members=[to_wire_member(member) for member in replica.committed_members],
            lease=replica.holds_lease(clock.monotonic()),
            doubtful=doubtful[:_MAX_DOUBTFUL_SHOWN],
            claims=len(self._node.state.ledger),
            evacuation_version=self._node.state.evacuations.places.version,
            evacuations=self._evacuations.records(),
            suspects=to_details(self._node.state.suspects)[:_MAX_SUSPECTS_SHOWN],
        )

    # ---- ledger ----

    async def _claim(self, request):
        command = Claim(
            customer=request.customer,
            key=request.key,
            fingerprint=request.fingerprint,
            claim_id=request.claim_id,
            claimant=request.claimant,
            stage=request.stage or "",
            retention=request.retention,
            time=clock.wall_time(),
        )
        result = await self._node.propose(pack(command), COMMIT_TIMEOUT_SECONDS)
        return ttypes.ClaimReply(
            outcome=result.outcome.value,
            claim_id=result.claim_id,
            claimant=result.claimant,
            claimant_alive=self._subscribers.is_live(result.claimant),
            digest=result.digest,
            holders=result.holders,
        )

    async def _settle(self, request):
        command = Settle(
            customer=request.customer,
            key=request.key,
            claim_id=request.claim_id,
            digest=request.digest,
            holders=request.holders or [],
            time=clock.wall_time(),
        )
        outcome = await self._node.propose(pack(command), COMMIT_TIMEOUT_SECONDS)
        return ttypes.SettleReply(outcome=outcome.value)

    async def _release(self, request):
        command = Release(
            customer=request.customer,
            key=request.key,
            claim_id=request.claim_id,
            time=clock.wall_time(),
        )
        outcome = await self._node.propose(pack(command), COMMIT_TIMEOUT_SECONDS)
        return ttypes.ReleaseReply(outcome=outcome.value)

    # ---- evacuations ----

    async def _evacuate(self, request):
        self._require_operator(request.token)
        return await self._evacuations.order(request)

    # ---- members ----

    async def _change_members(self, request):
        self._require_operator(request.token)
        return await self._members.handle(request)

    async def _handover(self, request):
        self._require_operator(request.token)
        await self._members.hand_over()
        return ttypes.HandoverReply(leader=self._node.leader_address())

    def _require_operator(self, token):
        if self._operator_token and not hmac.compare_digest(token or "", self._operator_token):
            raise RpcRefused("forbidden", "Operators' calls need the cluster's operator token.")

    def _require_lease(self):
        if not self._node.replica.holds_lease(clock.monotonic()):
            raise LeaderElsewhere(self._node.leader_address())


def _to_apply_reply(result):
    revision = result.revision
    return ttypes.ApplyReply(
        outcome=result.outcome.value,
        number=revision.number if revision else 0,
        digest=revision.digest if revision else b"",
        winner=revision.operator if revision else "",
        current=result.current,
        resent=result.resent,
    )
