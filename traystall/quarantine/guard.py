"""The gateway side of the quarantine: admission of requests and reports of their outcomes."""

import msgspec

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError
from traystall.core.ids import new_id
from traystall.core.logs import decision
from traystall.quarantine.cache import CachedSuspect, SuspectCache
from traystall.quarantine.digests import request_digest
from traystall.quarantine.ends import EndDetector
from traystall.quarantine.local import LocalTrials
from traystall.quarantine.models import TRIAL_MIN_ENDS, Verdict
from traystall.quarantine.reports import RunReporter
from traystall.rpc.gen.wire.ttypes import EndedRun, TrialRequest
from traystall.rpc.leader import LeaderLink

# Timeout of a trial request to the leader, which needs some round trips to commit it.
_TRIAL_CALL_TIMEOUT_SECONDS = 1.0
# Interval of trial requests while another trial is running, unless suspects change earlier.
_TRIAL_RETRY_SECONDS = 0.1
# Retry-After of a request that needs a trial while none can start.
_RETRY_AFTER_SECONDS = 1.0


class GuardedRun:
    """One request as the guard knows it; its digest is computed on first use."""

    def __init__(self, customer: str, route: str, path: str, body: bytes):
        self.customer = customer
        self.route = route
        # Id of the trial if the request is sent as one.
        self.trial = ""
        # Whether this gateway granted the trial without the leader.
        self.is_local = False
        # Whether its connection broke and the end of the target is not decided yet.
        self.is_end_pending = False
        self._path = path
        self._body = body
        self._digest = b""

    def digest(self, key: bytes) -> bytes:
        """Return the digest for the cluster's key, and release the body."""
        if not self._digest:
            self._digest = request_digest(key, self.customer, self._path, self._body)
            self._path, self._body = "", b""
        return self._digest


class Admission(msgspec.Struct, frozen=True):
    """Whether a request may be sent and, if not, the seconds after which to retry and why."""

    may_send: bool
    retry_after: float = 0.0
    why: str = ""


_ADMITTED = Admission(True)


class RequestGuard:
    """Refuse or delay requests under which targets ended, for one gateway.

    `key` is the cluster's digest key.
    """

    def __init__(self, key: bytes, leader: LeaderLink):
        self.held = SuspectCache()
        self.reports = RunReporter(leader, self._can_report)
        self.ends = EndDetector(self)
        # Returns whether all control daemons in contact support suspects.
        self.daemons_support_suspects = lambda: self.held.is_initialized
        self._key = key
        self._leader = leader
        self._local = LocalTrials()

    async def admit(self, run: GuardedRun, patience: float) -> Admission:
        """Return whether a request may be sent now, waiting up to `patience` seconds for a trial.

        No digest is computed while no request of the same customer and route is suspected.
        """
        suspect = self.suspect(run)
        if suspect is not None and suspect.needs_trial:
            left = suspect.refused_until - clock.monotonic()
            if left > 0:
                return self._refused(run, left, f"{suspect.ends} targets ended under it")
            return await self._request_trial(run, suspect, clock.monotonic() + patience)
        waiting = self._unreported_ends(run)
        if waiting >= TRIAL_MIN_ENDS:
            return self._admit_locally(run, waiting)
        return _ADMITTED

    def suspect(self, run: GuardedRun) -> CachedSuspect | None:
        """Return the suspect of a request, or None."""
        if not self.held.may_contain(run.customer, run.route):
            return None
        return self.held.get(run.digest(self._key))

    def name(self, run: GuardedRun) -> None:
        """Compute the digest of a request, so that its body can be released."""
        run.digest(self._key)

    def ended(self, run: GuardedRun, pool: str, life: str, evidence: str) -> None:
        """Record that an incarnation of a target ended while it ran a request."""
        digest = run.digest(self._key)
        if run.is_local:
            self._local.ended(digest, clock.monotonic())
        record = EndedRun(
            digest=digest,
            customer=run.customer,
            route=run.route,
            pool=pool,
            life=life,
            evidence=evidence,
            trial=run.trial,
        )
        self.reports.add_end(record)

    def served(self, run: GuardedRun) -> None:
        """Record that a request received a complete response, which clears it."""
        waiting, suspect = self._unreported_ends(run), self.suspect(run)
        if not waiting and suspect is None:
            return
        digest = run.digest(self._key)
        self._local.served(digest, suspect.ends if suspect is not None else waiting)
        if waiting:
            self.reports.drop_ends(digest)
        if suspect is not None:
            self.reports.add_served(digest)

    def on_finished(self, run: GuardedRun) -> None:
        """Record that a request has finished, and with it its trial, if it was one."""
        if not run.trial:
            return
        if run.is_local:
            self._local.on_finished(run.digest(self._key))
        elif not run.is_end_pending:
            self.reports.add_released(run.trial)

    async def _request_trial(self, run, suspect, deadline) -> Admission:
        request = TrialRequest(digest=run.digest(self._key), trial=new_id())
        while True:
            try:
                reply = await self._leader.call(request, _TRIAL_CALL_TIMEOUT_SECONDS)
            except RpcError:
                return self._admit_locally(run, suspect.ends)
            self._local.forget()
            if reply.verdict == Verdict.REFUSED:
                return self._refused(run, reply.seconds, "its trials ended targets")
            if reply.verdict != Verdict.WAIT:
                run.trial = request.trial if reply.verdict == Verdict.TRIAL else ""
                return _ADMITTED
            left = deadline - clock.monotonic()
            if left <= 0:
                return self._refused(run, _RETRY_AFTER_SECONDS, "another trial is under way")
            await self.held.wait(min(left, _TRIAL_RETRY_SECONDS))
            if self.suspect(run) is None:
                return _ADMITTED

    def _admit_locally(self, run, ends) -> Admission:
        """Decide without the leader, which is unreachable or has not received the ends yet."""
        digest = run.digest(self._key)
        if self._local.is_cleared(digest, ends):
            return _ADMITTED
        if not self._local.try_begin(digest, clock.monotonic()):
            return self._refused(
                run, _RETRY_AFTER_SECONDS, "the leader can't be asked about its ends"
            )
        run.trial, run.is_local = new_id(), True
        return _ADMITTED

    def _refused(self, run, seconds, why) -> Admission:
        metrics.quarantine_refusals_total.inc({"route": run.route})
        decision(
            "quarantined",
            suspect=run.digest(self._key).hex(),
            customer=run.customer,
            route=run.route,
            why=why,
            retry_after=round(seconds, 1),
        )
        return Admission(False, seconds, why)

    def _unreported_ends(self, run) -> int:
        if not self.reports.has_end_of(run.customer, run.route):
            return 0
        return self.reports.unreported_ends(run.digest(self._key))

    def _can_report(self) -> bool:
        return self.held.is_initialized and self.daemons_support_suspects()
