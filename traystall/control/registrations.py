"""Registration of targets: their reports, and departures that outlive the daemons.

A departure takes effect in this daemon's registry at once. It is acknowledged only when it is in
the replicated log, so that neither a restart of all daemons nor the loss of a disk revokes it.
"""

import logging

from traystall.control.exceptions import DepartureNotKept, InvalidTarget
from traystall.control.leader import LeaderClient
from traystall.control.state import StateMachine
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.departures.models import Departure
from traystall.registry.models import RegisteredState, TargetReport
from traystall.registry.service import RegistryService
from traystall.rpc.gen.wire.ttypes import DepartureRecord, ReportRunsRequest

# Bounds the size of the replicated departures.
MAX_IDENTITY_BYTES = 256
# Targets try another daemon after one second without a response.
_KEEP_TIMEOUT_SECONDS = 0.8

logger = logging.getLogger(__name__)


class Registrations:
    """Accept what targets report of themselves; `leader` commits their departures."""

    def __init__(self, registry: RegistryService, state: StateMachine, leader: LeaderClient):
        self._registry = registry
        self._state = state
        self._leader = leader
        # The version of the committed departures that the registry has.
        self._merged_version = 0

    async def report(self, report: TargetReport) -> None:
        """Merge a report; return once it is kept if the target leaves.

        Raise InvalidTarget, or DepartureNotKept if no majority confirmed a departure in time.
        """
        _check_identity(report.identity)
        self._registry.report(report)
        self._log_if_late(report)
        if report.state is not RegisteredState.READY:
            gone = report.state is RegisteredState.GONE
            await self._keep(Departure(report.identity, gone, report.started))

    async def leave(self, identity: str) -> None:
        """Record that a target is gone, and return once that is kept; raise as `report` does."""
        _check_identity(identity)
        self._registry.leave(identity)
        started = self._registry.registry.get(identity).report.started
        await self._keep(Departure(identity, True, started))

    def merge_departures(self) -> None:
        """Merge the departures that were committed since the last call into the registry."""
        table = self._state.departures
        if table.version == self._merged_version:
            return
        # A snapshot of an earlier release has no departures: their versions begin anew.
        since = self._merged_version if table.version > self._merged_version else 0
        self._merged_version = table.version
        self._registry.merge_departures(table.since(since))

    def _log_if_late(self, report):
        held = self._registry.registry.get(report.identity).report
        if report.state is RegisteredState.READY and held.state is not RegisteredState.READY:
            extra = {"target": report.identity, "held": held.state, "sequence": report.sequence}
            logger.info("late report ignored", extra=extra)

    async def _keep(self, departure):
        if self._state.departures.holds(departure):
            return
        record = DepartureRecord(
            identity=departure.identity, gone=departure.gone, started=departure.started
        )
        request = ReportRunsRequest(ended=[], served=[], released=[], departures=[record])
        try:
            reply = await self._leader.call(request, _KEEP_TIMEOUT_SECONDS)
        except RpcError as error:
            logger.warning(
                "departure not kept", extra={"target": departure.identity, "why": str(error)}
            )
            raise DepartureNotKept(
                f"The departure is in force at this daemon, but not kept: {error}."
            ) from error
        # A leader of an earlier release leaves the field out and keeps departures in memory only.
        kept = bool(reply.departures_kept)
        decision("departure", target=departure.identity, gone=departure.gone, kept=kept)


def _check_identity(identity):
    size = len(identity.encode())
    if size > MAX_IDENTITY_BYTES:
        raise InvalidTarget(
            f"The target's identity has {size} bytes; at most {MAX_IDENTITY_BYTES} are allowed."
        )
