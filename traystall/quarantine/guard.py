"""The gateway side of the quarantine: admission of requests and reports of their outcomes."""

import msgspec

from traystall.core import clock, metrics
from traystall.core.exceptions import RpcError
from traystall.core.ids import new_id
from traystall.core.logs import decision
from traystall.quarantine.cache import CachedPart, CachedSuspect, SuspectCache
from traystall.quarantine.digests import part_digest, request_digest
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
# Parts of one prompt that are charged with an end. Callers choose how many they list.
_MAX_PARTS_PER_RUN = 16
# Retry-After of a request that needs a trial while none can start.
_RETRY_AFTER_SECONDS = 1.0


class GuardedRun:
    """One request as the guard knows it; its digests are computed on first use.

    `parts` names the parts of its prompt that other requests may share.
    """

    def __init__(
        self, customer: str, route: str, path: str, body: bytes, parts: tuple[str, ...] = ()
    ):
        self.customer = customer
        self.route = route
        # Id of the trial if the request is sent as one.
        self.trial = ""
        # Whether this gateway granted the trial without the leader.
        self.is_local = False
        # The digest, of the request or of a prompt part, that such a trial is about.
        self.local_digest = b""
        # Whether its connection broke and the end of the target is not decided yet.
        self.is_end_pending = False
        # Whether a target has written an event, or a complete response, to it.
        self.has_event = False
        self._parts = tuple(dict.fromkeys(parts))[:_MAX_PARTS_PER_RUN]
        self._part_digests: tuple[bytes, ...] | None = None
        self._path = path
        self._body = body
        self._digest = b""

    def digest(self, key: bytes) -> bytes:
        """Return the digest for the cluster's key, and release the body."""
        if not self._digest:
            self._digest = request_digest(key, self.customer, self._path, self._body)
            self._path, self._body = "", b""
        return self._digest

    def part_digests(self, key: bytes) -> tuple[bytes, ...]:
        """Return the digests of the shared parts of its prompt for the cluster's key."""
        if self._part_digests is None:
            self._part_digests = tuple(part_digest(key, name) for name in self._parts)
        return self._part_digests


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
        # Returns whether all control daemons in contact count prompt parts.
        self.daemons_support_parts = lambda: self.held.supports_parts
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
            request = TrialRequest(digest=run.digest(self._key), trial=new_id())
            return await self._request_trial(
                run, request, suspect.ends, patience, lambda: self.suspect(run) is not None
            )
        waiting = self._unreported_ends(run)
        if waiting >= TRIAL_MIN_ENDS:
            return self._admit_locally(run, run.digest(self._key), waiting)
        return await self._admit_parts(run, patience)

    def suspect(self, run: GuardedRun) -> CachedSuspect | None:
        """Return the suspect of a request, or None."""
        if not self.held.may_contain(run.customer, run.route):
            return None
        return self.held.get(run.digest(self._key))

    def is_restricted(self, run: GuardedRun) -> bool:
        """Return whether a request could be sent as a trial only, or not at all."""
        return (
            self.suspect(run) is not None
            or self._unreported_ends(run) >= TRIAL_MIN_ENDS
            or bool(self._restricted_parts(run))
        )

    async def _admit_parts(self, run, patience) -> Admission:
        """Return whether a request may be sent in spite of the parts of its prompt."""
        restricted = self._restricted_parts(run)
        if not restricted:
            return _ADMITTED
        digests, now = run.part_digests(self._key), clock.monotonic()
        for refusal in self.held.refused_parts:
            if refusal.covers(digests, run.customer, now):
                why = "targets ended on parts of its prompt"
                return self._refused(run, refusal.until - now, why)
        request = TrialRequest(
            digest=b"", trial=new_id(), parts=list(digests), customer=run.customer
        )
        return await self._request_trial(
            run,
            request,
            max(part.ends for part in restricted),
            patience,
            lambda: bool(self._restricted_parts(run)),
        )

    def _restricted_parts(self, run) -> list[CachedPart]:
        """Return the parts of a request's prompt that may only be sent as trials."""
        if not self.held.has_parts:
            return []
        found = self.held.parts(run.part_digests(self._key))
        return [part for part in found if part.is_restricted]

    def event_received(self, run: GuardedRun) -> None:
        """Record the first event of a request, which clears all parts of its prompt."""
        run.has_event = True
        if not self.held.has_parts:
            return
        for part in self.held.parts(run.part_digests(self._key)):
            self._local.served(part.digest, part.ends)
            self.reports.add_served_part(part.digest)

    def name(self, run: GuardedRun) -> None:
        """Compute the digest of a request, so that its body can be released."""
        run.digest(self._key)

    def ended(
        self, run: GuardedRun, pool: str, life: str, evidence: str, with_parts: bool = True
    ) -> None:
        """Record that an incarnation of a target ended while it ran a request.

        With `with_parts` it may have ended on a part of the prompt, if it had sent no event.
        """
        digest = run.digest(self._key)
        if run.is_local:
            self._local.ended(run.local_digest, clock.monotonic())
        record = EndedRun(
            digest=digest,
            customer=run.customer,
            route=run.route,
            pool=pool,
            life=life,
            evidence=evidence,
            trial=run.trial,
            parts=self._charged_parts(run) if with_parts else [],
        )
        self.reports.add_end(record)

    def _charged_parts(self, run) -> list[bytes]:
        """Return the digests of the prompt parts on which the target of a run may have ended.

        A control daemon that counts no parts would replicate a different state than the others.
        """
        if run.has_event or not self.daemons_support_parts():
            return []
        return list(run.part_digests(self._key))

    def served(self, run: GuardedRun) -> None:
        """Record that a request received a complete response, which clears it."""
        if not run.has_event:
            self.event_received(run)
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
            self._local.on_finished(run.local_digest)
        elif not run.is_end_pending:
            self.reports.add_released(run.trial)

    async def _request_trial(self, run, request, ends, patience, is_suspected) -> Admission:
        """Ask the leader for a trial until it decides, nothing is suspected, or `patience` ends."""
        deadline = clock.monotonic() + patience
        while True:
            try:
                reply = await self._leader.call(request, _TRIAL_CALL_TIMEOUT_SECONDS)
            except RpcError:
                digest = request.digest or self._restricted_digest(run)
                return self._admit_locally(run, digest, ends)
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
            if not is_suspected():
                return _ADMITTED

    def _restricted_digest(self, run) -> bytes:
        """Return the digest by which this gateway decides on a prompt without the leader."""
        restricted = self._restricted_parts(run)
        return max(restricted, key=lambda part: part.ends).digest if restricted else b""

    def _admit_locally(self, run, digest, ends) -> Admission:
        """Decide without the leader, which is unreachable or has not received the ends yet."""
        if self._local.is_cleared(digest, ends):
            return _ADMITTED
        if not self._local.try_begin(digest, clock.monotonic()):
            return self._refused(
                run, _RETRY_AFTER_SECONDS, "the leader can't be asked about its ends"
            )
        run.trial, run.is_local, run.local_digest = new_id(), True, digest
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
