"""At a gateway: may a request be sent, and what became of it, by what ended its earlier runs."""

import msgspec

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError
from traystall.core.ids import new_id
from traystall.core.logs import decision
from traystall.quarantine.cache import HeldSuspect, SuspectCache
from traystall.quarantine.digests import request_digest
from traystall.quarantine.ends import EndWatch
from traystall.quarantine.local import LocalTrials
from traystall.quarantine.models import TRIAL_ENDS, Verdict
from traystall.quarantine.reports import RunReports
from traystall.rpc.gen.wire.ttypes import EndedRun, TrialRequest
from traystall.rpc.leader import LeaderLink

# The leader is asked for a trial within so many seconds; a commit takes some round trips.
_ASK_SECONDS = 1.0
# While another trial is under way the leader is asked again after so many seconds, or sooner when
# suspects change.
_ASK_AGAIN_SECONDS = 0.1
# When to come back where another trial is under way, in seconds.
WAIT_RETRY_AFTER = 1.0


class GuardedRun:
    """Name one request for the guard; its digest is worked out only when it is wanted."""

    def __init__(self, customer: str, route: str, path: str, body: bytes):
        self.customer = customer
        self.route = route
        # The trial as which it is sent, whether this gateway granted it by itself, and whether a
        # connection broke under it and the target's end is being looked into.
        self.trial = ""
        self.is_local = False
        self.is_broken = False
        self._path = path
        self._body = body
        self._digest = b""

    def digest(self, key: bytes) -> bytes:
        """Return the digest by the cluster's key; the body is not held any longer then."""
        if not self._digest:
            self._digest = request_digest(key, self.customer, self._path, self._body)
            self._path, self._body = "", b""
        return self._digest


class Admission(msgspec.Struct, frozen=True):
    """Say whether a request may be sent; if not, after how many seconds it may come back."""

    may_send: bool
    retry_after: float = 0.0
    why: str = ""


_FREE = Admission(True)


class RequestGuard:
    """Keep requests from targets that ended their earlier ones, for one gateway.

    `key` is the cluster's key of digests.
    """

    def __init__(self, key: bytes, leader: LeaderLink):
        self.held = SuspectCache()
        self.reports = RunReports(leader, self._is_understood)
        self.ends = EndWatch(self)
        # Returns whether all control daemons that are heard know of suspects.
        self.daemons_support_suspects = lambda: self.held.is_told
        self._key = key
        self._leader = leader
        self._local = LocalTrials()

    async def admit(self, run: GuardedRun, patience: float) -> Admission:
        """Return whether a request may be sent now, waiting up to `patience` seconds for a trial.

        It costs nothing while no request of its customer and route is suspected.
        """
        suspect = self.suspect(run)
        if suspect is not None and suspect.needs_trial:
            left = suspect.refused_until - clock.monotonic()
            if left > 0:
                return self._refused(run, left, f"{suspect.ends} targets ended under it")
            return await self._ask_for_trial(run, suspect, clock.monotonic() + patience)
        waiting = self._waiting_ends(run)
        if waiting >= TRIAL_ENDS:
            return self._try_here(run, waiting)
        return _FREE

    def suspect(self, run: GuardedRun) -> HeldSuspect | None:
        """Return what is held against a request, or None."""
        if not self.held.concerns(run.customer, run.route):
            return None
        return self.held.get(run.digest(self._key))

    def name(self, run: GuardedRun) -> None:
        """Work out a request's digest, so that its body need not be held for it."""
        run.digest(self._key)

    def ended(self, run: GuardedRun, pool: str, life: str, evidence: str) -> None:
        """Take in that a life of a target ended while it ran a request."""
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
        """Take in that a request got a whole answer, which clears it."""
        waiting, suspect = self._waiting_ends(run), self.suspect(run)
        if not waiting and suspect is None:
            return
        digest = run.digest(self._key)
        self._local.served(digest, suspect.ends if suspect is not None else waiting)
        if waiting:
            self.reports.forget_ends(digest)
        if suspect is not None:
            self.reports.add_served(digest)

    def on_finished(self, run: GuardedRun) -> None:
        """Take in that nothing more is sent of a request: its trial is over, if it was one."""
        if not run.trial:
            return
        if run.is_local:
            self._local.on_finished(run.digest(self._key))
        elif not run.is_broken:
            self.reports.add_released(run.trial)

    async def _ask_for_trial(self, run, suspect, deadline) -> Admission:
        request = TrialRequest(digest=run.digest(self._key), trial=new_id())
        while True:
            try:
                reply = await self._leader.call(request, _ASK_SECONDS)
            except RpcError:
                return self._try_here(run, suspect.ends)
            self._local.forget()
            if reply.verdict == Verdict.REFUSED:
                return self._refused(run, reply.seconds, "its trials ended targets")
            if reply.verdict != Verdict.WAIT:
                run.trial = request.trial if reply.verdict == Verdict.TRIAL else ""
                return _FREE
            left = deadline - clock.monotonic()
            if left <= 0:
                return self._refused(run, WAIT_RETRY_AFTER, "another trial is under way")
            await self.held.wait(min(left, _ASK_AGAIN_SECONDS))
            if self.suspect(run) is None:
                return _FREE

    def _try_here(self, run, ends) -> Admission:
        """Decide without the leader, which can't be asked or has not heard of the ends yet."""
        digest = run.digest(self._key)
        if self._local.is_cleared(digest, ends):
            return _FREE
        if not self._local.begin(digest, clock.monotonic()):
            return self._refused(run, WAIT_RETRY_AFTER, "the leader can't be asked about its ends")
        run.trial, run.is_local = new_id(), True
        return _FREE

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

    def _waiting_ends(self, run) -> int:
        if not self.reports.concern(run.customer, run.route):
            return 0
        return self.reports.waiting_ends(run.digest(self._key))

    def _is_understood(self) -> bool:
        return self.held.is_told and self.daemons_support_suspects()
