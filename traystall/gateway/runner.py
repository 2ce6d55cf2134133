"""Run a request: its stages in order, under a claim if it is keyed and not repeatable.

Before a non-repeatable stage of a request with an idempotency key runs, the gateway claims the key
in the ledger of the control group, so that the work runs at most once. The claim is settled with
the outcome, released if nothing ran, and otherwise left open.
"""

import asyncio
import json

import msgspec

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.core.serialization import digest
from traystall.gateway import answers, problems
from traystall.gateway.context import GatewayContext
from traystall.gateway.ledger import LedgerUnavailable
from traystall.gateway.lookups import ResultLookup
from traystall.gateway.problems import Refusal
from traystall.gateway.stages import StageRun, StageRunner
from traystall.ledger.models import ClaimOutcome
from traystall.quarantine.guard import GuardedRun
from traystall.rpc.gen.wire.ttypes import (
    ClaimRequest,
    FetchResultRequest,
    HoldResultRequest,
    ReleaseRequest,
    SettleRequest,
)
from traystall.systems.residency import holder_candidates, is_allowed
from traystall.tables.requests import RequestRow, RunState, StageRecord

# Claimed work may continue for this long after the request's deadline.
LINGER_SECONDS = 60.0
# The fraction of the remaining time that a claim may take; the work itself needs the rest.
_CLAIM_TIME_RATIO = 0.8
# Work is sent under a claim only within this fraction of its retention, to allow for clock drift.
_SEND_WINDOW_RATIO = 0.9
# Number of gateways that keep a claimed result, including this one.
_RESULT_COPIES = 2
_RESULT_CALL_SECONDS = 0.5
_CLAIM_POLL_SECONDS = 0.2


class Claimed(msgspec.Struct, frozen=True):
    """Result of a claim: empty if it was won, else the stored answer or a stage's result."""

    answer: dict | None = None
    result: dict | None = None


class RequestRunner:
    """Run requests of this gateway."""

    def __init__(self, context: GatewayContext):
        self._context = context
        self._stages = StageRunner(context)
        self._result_lookup = ResultLookup(context)

    async def run(self, row: RequestRow, body: dict, on_token) -> dict:
        """Return the complete response document, or raise Refusal."""
        name = row.pipeline.name
        guarded = GuardedRun(row.customer, name, name, row.fingerprint)
        try:
            return await self._run_stages(row, body, on_token, guarded)
        except Refusal as refusal:
            await self._close_claim(row, refusal)
            raise
        finally:
            self._context.guard.on_finished(guarded)

    async def _run_stages(self, row, body, on_token, guarded):
        results: dict[str, dict] = {}
        for index, stage in enumerate(row.pipeline.stages):
            if row.key and not row.claimed and not row.is_repeatable(stage):
                claimed = await self._claim(row, stage)
                if claimed.answer is not None:
                    return claimed.answer
                if claimed.result is not None:
                    results[stage.name] = claimed.result
                    continue
            record = StageRecord(stage.name)
            row.stages.append(record)
            run = StageRun(
                row=row,
                index=index,
                body=body,
                results=results,
                record=record,
                on_token=on_token,
                run_until=self._run_until(row),
                guarded=guarded,
            )
            reply = await self._stages.run(run)
            results[stage.name] = reply.result
        row.finished = True
        self._context.guard.served(guarded)
        return await self._finish(row, answers.whole_document(row, results[stage.name]))

    def _run_until(self, row):
        """Return the time limit of stages; claimed work may exceed the deadline, not its claim."""
        if not row.claimed:
            return row.deadline
        return min(row.deadline + LINGER_SECONDS, row.claim_ends_at)

    async def _finish(self, row, answer):
        if row.claimed:
            await self._settle(row, answer)
        row.closed = True
        return answer

    # ---- claims ----

    async def _claim(self, row, stage) -> "Claimed":
        """Win the claim, or return the result of an earlier run."""
        try:
            return await self._request_claim(row, stage)
        except asyncio.CancelledError:
            # The claim may be committed, but no work will be sent under it.
            self._release(row)
            raise

    async def _request_claim(self, row, stage):
        request = ClaimRequest(
            customer=row.customer,
            key=row.key,
            fingerprint=row.fingerprint,
            claim_id=row.claim_id,
            claimant=self._context.identity,
            retention=row.pipeline.retention,
            stage=stage.name,
        )
        while True:
            seconds = self._remaining(row) * _CLAIM_TIME_RATIO
            ends_at = clock.monotonic() + row.pipeline.retention * _SEND_WINDOW_RATIO
            try:
                reply = await self._context.ledger.claim(request, seconds)
            except LedgerUnavailable as error:
                if error.in_doubt:
                    self._release(row)
                raise Refusal(problems.LEDGER_UNAVAILABLE, str(error), 2) from error
            decision("claim", request=row.request_id, stage=stage.name, outcome=reply.outcome)
            if reply.outcome == ClaimOutcome.WON:
                self._require_time_left(row, ends_at)
                row.on_claimed(ends_at)
                return Claimed()
            if reply.outcome != ClaimOutcome.HELD:
                return Claimed(answer=await self._claimed_answer(row, reply))
            result = await self._find_result(row, stage, reply)
            if result is not None:
                return Claimed(result=result)
            if not reply.claimant_alive or self._remaining(row) <= _CLAIM_POLL_SECONDS:
                raise Refusal(problems.CLAIM_HELD, run=RunState.MAY_HAVE_RUN, retry_after=2)
            await asyncio.sleep(_CLAIM_POLL_SECONDS)

    def _remaining(self, row):
        return row.deadline - clock.monotonic()

    async def _find_result(self, row, stage, reply) -> dict | None:
        """Look for the result of an unsettled claim at targets that support key lookups.

        A result found there is the result of the claimed work. A target that does not know the
        key proves nothing: the request may still be on its way.
        """
        later = row.pipeline.stages[row.pipeline.stages.index(stage) + 1 :]
        if not all(row.is_repeatable(other) for other in later):
            return None
        result = await self._result_lookup.find(row, stage)
        if result is None:
            return None
        decision("claim-settled-by-target", request=row.request_id, stage=stage.name)
        row.adopt_claim(reply.claim_id)
        return result

    def _require_time_left(self, row, ends_at):
        """Refuse to send work too late: this process may have been suspended in the meantime."""
        if clock.monotonic() >= min(row.deadline, ends_at):
            self._release(row)
            raise Refusal(problems.TOO_LATE, "The claim came after the deadline.")

    async def _claimed_answer(self, row, reply) -> dict:
        """Return the stored answer of a settled claim; raise Refusal if there is none."""
        if reply.outcome == ClaimOutcome.MISMATCH:
            raise Refusal(problems.KEY_MISMATCH)
        if reply.outcome == ClaimOutcome.EXPIRED:
            raise Refusal(problems.KEY_EXPIRED, run=RunState.MAY_HAVE_RUN)
        if reply.outcome == ClaimOutcome.RELEASED:
            raise Refusal(problems.LEDGER_UNAVAILABLE, "The claim was given back.")
        data = await self._fetch(row, reply)
        if data is None:
            raise Refusal(problems.RESULT_GONE, f"Digest {reply.digest.hex()}.", run=RunState.RAN)
        return json.loads(data) | {"replayed": True}

    async def _fetch(self, row, reply) -> bytes | None:
        own = self._context.results.get(reply.claim_id, row.customer, clock.monotonic())
        if own is not None:
            return own
        request = FetchResultRequest(
            claim_id=reply.claim_id,
            customer=row.customer,
            data_centre=self._context.data_centre,
        )
        for address in reply.holders or ():
            try:
                found = await self._context.links.link(address).call(request, _RESULT_CALL_SECONDS)
            except RpcError:
                continue
            if found.found and digest(found.result) == reply.digest:
                return found.result
        return None

    async def _settle(self, row, answer) -> None:
        """Store the answer at two gateways and commit the outcome, before the caller gets it."""
        data = json.dumps(answer).encode()
        holders = await self._store_result(row, data)
        request = SettleRequest(
            customer=row.customer,
            key=row.key,
            claim_id=row.claim_id,
            digest=digest(data),
            holders=holders,
        )
        try:
            await self._context.ledger.settle(request, LINGER_SECONDS)
        except LedgerUnavailable as error:
            raise Refusal(
                problems.LEDGER_UNAVAILABLE, "The outcome is not recorded.", run=RunState.RAN
            ) from error

    async def _store_result(self, row, data) -> list[str]:
        context = self._context
        customer = context.tables.customer(row.customer)
        if customer is None or not is_allowed(customer, context.data_centre):
            return []
        now = clock.monotonic()
        context.results.put(row.claim_id, row.customer, data, row.pipeline.retention, now)
        holders = [context.settings.rpc_listen]
        request = HoldResultRequest(
            claim_id=row.claim_id,
            customer=row.customer,
            result=data,
            retention=row.pipeline.retention,
        )
        others = holder_candidates(
            customer, context.follower.directory, context.identity, context.data_centre
        )
        for other in others:
            if len(holders) >= _RESULT_COPIES:
                break
            if await self._store_at(other, request):
                holders.append(other.rpc_address)
        return holders

    async def _store_at(self, gateway, request) -> bool:
        try:
            reply = await self._context.links.link(gateway.rpc_address).call(
                request, _RESULT_CALL_SECONDS
            )
        except RpcError:
            return False
        return bool(reply.held)

    async def _close_claim(self, row, refusal) -> None:
        """Release the claim after a refusal if nothing ran under it, else leave it open."""
        if not row.claimed:
            return
        if row.may_have_run_since_claim:
            # The outcome is unknown: it must be recorded neither as run nor as not run.
            decision("claim-in-doubt", request=row.request_id, why=refusal.problem.code)
            return
        self._release(row)

    def _release(self, row):
        row.claimed = False
        self._context.ledger.release_later(
            ReleaseRequest(customer=row.customer, key=row.key, claim_id=row.claim_id)
        )
