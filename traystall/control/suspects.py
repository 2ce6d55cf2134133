"""Suspects: record reports of ended targets and of departures, grant trials, lift suspicions.

A suspect is a request after whose runs targets ended; it may run again only as a granted trial.
"""

import hmac
from collections.abc import Iterable

from traystall.control.node import Node
from traystall.core import clock
from traystall.core.exceptions import RpcRefused
from traystall.core.logs import decision
from traystall.core.serialization import pack
from traystall.departures.models import Departure
from traystall.quarantine.models import (
    BeginTrial,
    EndedRun,
    LiftSuspect,
    ReportRuns,
    SuspectUpdate,
)
from traystall.rpc.gen.wire import ttypes

# Timeout for a commit; the same as for a claim.
_COMMIT_TIMEOUT_SECONDS = 3.0


class SuspectService:
    """Handle calls on the leader; decisions are made by the log, so that all replicas keep them."""

    def __init__(self, node: Node, operator_token: str):
        self._node = node
        self._operator_token = operator_token

    async def report(self, request: ttypes.ReportRunsRequest) -> ttypes.ReportRunsReply:
        """Return once the reported ends are committed; a repeated report changes nothing."""
        command = ReportRuns(
            ended=tuple(_to_ended(one) for one in request.ended or ()),
            served=tuple(request.served or ()),
            released=tuple(request.released or ()),
            time=clock.wall_time(),
            served_parts=tuple(request.served_parts or ()),
            departures=tuple(_to_departure(one) for one in request.departures or ()),
        )
        self._log(await self._node.propose(pack(command), _COMMIT_TIMEOUT_SECONDS))
        return ttypes.ReportRunsReply(
            version=self._node.state.suspects.version, departures_kept=True
        )

    async def begin_trial(self, request: ttypes.TrialRequest) -> ttypes.TrialReply:
        """Return the verdict on whether a suspect may be sent now."""
        command = BeginTrial(
            request.digest,
            request.trial,
            clock.wall_time(),
            tuple(request.parts or ()),
            request.customer or "",
        )
        result = await self._node.propose(pack(command), _COMMIT_TIMEOUT_SECONDS)
        self._log(result.updates)
        parts = [digest.hex() for digest in command.parts]
        decision("trial", suspect=request.digest.hex(), parts=parts, verdict=result.verdict.value)
        return ttypes.TrialReply(verdict=result.verdict.value, seconds=result.seconds)

    async def lift(self, request: ttypes.LiftRequest) -> ttypes.LiftReply:
        """Clear the suspicion of a request on an operator's order."""
        token = request.token or ""
        if self._operator_token and not hmac.compare_digest(token, self._operator_token):
            raise RpcRefused("forbidden", "Operators' calls need the cluster's operator token.")
        command = LiftSuspect(request.digest or b"", request.operator or "", clock.wall_time())
        updates = await self._node.propose(pack(command), _COMMIT_TIMEOUT_SECONDS)
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


def _to_departure(record: ttypes.DepartureRecord) -> Departure:
    return Departure(record.identity, bool(record.gone), record.started or 0)


def _to_ended(record: ttypes.EndedRun) -> EndedRun:
    return EndedRun(
        digest=record.digest or b"",
        customer=record.customer or "",
        route=record.route or "",
        pool=record.pool or "",
        life=record.life or "",
        evidence=record.evidence or "",
        trial=record.trial or "",
        parts=tuple(record.parts or ()),
    )
