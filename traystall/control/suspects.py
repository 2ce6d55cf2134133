"""Take reports of ended targets, grant trials of suspects, and lift what is held against one."""

import hmac
from collections.abc import Iterable

from traystall.control.node import Node
from traystall.core import clock
from traystall.core.exceptions import RpcRefused
from traystall.core.logs import decision
from traystall.core.serialization import pack
from traystall.quarantine.models import (
    BeginTrial,
    EndedRun,
    LiftSuspect,
    ReportRuns,
    SuspectUpdate,
)
from traystall.rpc.gen.wire import ttypes

# How long the members may take to confirm, in seconds; as for a claim.
_COMMIT_TIMEOUT = 3.0


class SuspectCalls:
    """Answer at the leader; every decision is made by the log, so that all replicas keep it."""

    def __init__(self, node: Node, operator_token: str):
        self._node = node
        self._operator_token = operator_token

    async def report(self, request: ttypes.ReportRunsRequest) -> ttypes.ReportRunsReply:
        """Return once the ends are committed; a report that comes again changes nothing."""
        command = ReportRuns(
            ended=tuple(_to_ended(one) for one in request.ended or ()),
            served=tuple(request.served or ()),
            released=tuple(request.released or ()),
            time=clock.wall(),
        )
        self._log(await self._node.propose(pack(command), _COMMIT_TIMEOUT))
        return ttypes.ReportRunsReply(version=self._node.state.suspects.version)

    async def begin_trial(self, request: ttypes.TrialRequest) -> ttypes.TrialReply:
        """Answer whether a suspect may be sent now."""
        command = BeginTrial(request.digest, request.trial, clock.wall())
        result = await self._node.propose(pack(command), _COMMIT_TIMEOUT)
        self._log(result.updates)
        decision("trial", suspect=request.digest.hex(), verdict=result.verdict.value)
        return ttypes.TrialReply(verdict=result.verdict.value, seconds=result.seconds)

    async def lift(self, request: ttypes.LiftRequest) -> ttypes.LiftReply:
        """Forget what is held against a request, by an operator's order."""
        token = request.token or ""
        if self._operator_token and not hmac.compare_digest(token, self._operator_token):
            raise RpcRefused("forbidden", "Operators' calls need the cluster's operator token.")
        command = LiftSuspect(request.digest or b"", request.operator or "", clock.wall())
        updates = await self._node.propose(pack(command), _COMMIT_TIMEOUT)
        self._log(updates)
        return ttypes.LiftReply(lifted=bool(updates))

    def _log(self, updates: Iterable[SuspectUpdate]):
        for one in updates:
            decision(
                f"suspect-{one.event.value}",
                suspect=one.digest.hex(),
                customer=one.customer,
                route=one.route,
                ends=one.ends,
                why=one.why,
                age=round(one.age, 3),
            )


def _to_ended(record: ttypes.EndedRun) -> EndedRun:
    return EndedRun(
        digest=record.digest or b"",
        customer=record.customer or "",
        route=record.route or "",
        pool=record.pool or "",
        life=record.life or "",
        evidence=record.evidence or "",
        trial=record.trial or "",
    )
