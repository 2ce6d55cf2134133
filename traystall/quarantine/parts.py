"""The table of suspected prompt parts: a pure state machine, driven by the table of suspects.

A part that ends every target that begins to write on it never gets as far as an event, so an event
clears all parts of its prompt. Requests that run on a target that ends, and have no event yet, are
charged with its end, and so are all shared parts of their prompts. From some ends on, requests with
a part run only as trials. The parts of a trial that ended its target are refused together: a
request that holds only some of them is sent as another trial, which tells them apart.
"""

from collections import Counter

import msgspec

from traystall.quarantine.models import TRIAL_SECONDS, EndedRun, TrialResult, Verdict

# Number of ends from which a part is published, so that gateways report events on it.
PART_PUBLISH_MIN_ENDS = 2
# Number of ends without an event from which requests with a part run only as trials.
PART_TRIAL_MIN_ENDS = 4
# Trials of a part that may end targets before all requests with it are refused.
MAX_PART_TRIALS = 3
# How long parts are refused. One trial afterwards shows whether the targets have been fixed.
PART_REFUSAL_SECONDS = 3600.0
# A part is dropped this long after its last end.
_RETENTION_SECONDS = 600.0
_REFUSED_RETENTION_SECONDS = 24 * 3600.0
# At 0.5 KB each, all parts take 2 MB in memory and in snapshots.
MAX_PARTS = 4096
MAX_PARTS_PER_CUSTOMER = 512
_MAX_REFUSED_SETS = 64
# A part of a trial that ended its target is refused if its ends are at least this ratio of those of
# the part with the most. Parts that are seldom beside the others would make the set too special.
_REFUSED_MIN_ENDS_RATIO = 0.5
# Target incarnations kept for one part, and customers kept for a refused set.
_MAX_LIVES_PER_PART = 16
_MAX_CUSTOMERS_PER_SET = 8


class SuspectPart(msgspec.Struct):
    """A prompt part on which targets ended.

    `lives` names the target incarnations. `customer` is the one whose request was charged first.
    `version` is the version of the table of suspects at the last published change.
    """

    digest: bytes
    customer: str
    pool: str
    route: str
    since: float
    last: float
    lives: list[str] = []
    evidence: str = ""
    version: int = 0
    trials: int = 0
    trial: str = ""
    trial_until: float = 0.0
    is_restricted: bool = False
    # The number of ends and the restriction that gateways were told last; None if nothing was.
    published: tuple[int, bool] | None = None

    @property
    def ends(self) -> int:
        """Return the number of target incarnations that ended on it since its last event."""
        return len(self.lives)


class RefusedParts(msgspec.Struct):
    """Parts that are refused together from `at` on, because a trial with all of them ended.

    Requests of `customers` that hold all of them are refused, and those of anyone once the trials
    of a part are used up (`is_final`).
    """

    digests: list[bytes]
    customers: list[str]
    at: float
    is_final: bool = False

    def covers(self, digests: set[bytes], customer: str) -> bool:
        """Return whether a request with these parts is refused."""
        return digests.issuperset(self.digests) and (self.is_final or customer in self.customers)


class PartTable:
    """Suspected parts by digest, and the sets that are refused; times are log time in seconds.

    `changed` and `removed` collect the digests of published parts that changed or were removed,
    `is_refusal_changed` whether the refused sets changed.
    """

    def __init__(self):
        self.changed: set[bytes] = set()
        self.removed: set[bytes] = set()
        self.is_refusal_changed = False
        self.rows: dict[bytes, SuspectPart] = {}
        self.refused: list[RefusedParts] = []

    def count_end(self, ended: EndedRun, time: float) -> None:
        """Charge the parts of a run with the end of its target; it may have been their trial."""
        charged = []
        for digest in dict.fromkeys(ended.parts):
            row = self.rows.get(digest) or self._add(digest, ended, time)
            if ended.life not in row.lives:
                row.lives = [*row.lives, ended.life][-_MAX_LIVES_PER_PART:]
                row.last, row.pool, row.evidence = time, ended.pool, ended.evidence
            charged.append(row)
        if ended.trial and any(row.trial == ended.trial for row in charged):
            self._refuse(charged, ended.customer, time)
        self._review()

    def clear(self, digest: bytes) -> bool:
        """Remove a part, on which a target has written an event; return whether it was known."""
        row = self.rows.get(digest)
        if row is None:
            return False
        self._remove(row)
        self._review()
        return True

    def begin_trial(
        self, digests: tuple[bytes, ...], customer: str, trial: str, time: float
    ) -> TrialResult:
        """Decide whether a request with these parts may be sent now."""
        self._reopen_expired(time)
        found = [row for d in digests if (row := self.rows.get(d)) and row.is_restricted]
        if not found:
            return TrialResult(Verdict.FREE)
        covering = [one for one in self.refused if one.covers(set(digests), customer)]
        if covering:
            return TrialResult(Verdict.REFUSED, max(self.seconds_left(o, time) for o in covering))
        if any(row.trials >= MAX_PART_TRIALS for row in found):
            return TrialResult(Verdict.REFUSED, PART_REFUSAL_SECONDS)
        pools = {row.pool for row in found}
        if any(r.trial and r.trial_until > time for r in self.rows.values() if r.pool in pools):
            return TrialResult(Verdict.WAIT)
        for row in found:
            row.trials += 1
            row.trial, row.trial_until = trial, time + TRIAL_SECONDS
        return TrialResult(Verdict.TRIAL)

    def release(self, trials: tuple[str, ...]) -> None:
        """End trials that finished without an event and without the end of their target."""
        for row in self.rows.values():
            if row.trial and row.trial in trials:
                _end_trial(row)
                row.trials -= 1

    def seconds_left(self, refused: RefusedParts, time: float) -> float:
        """Return the seconds for which a set stays refused."""
        return max(0.0, refused.at + PART_REFUSAL_SECONDS - time)

    def refused_seconds(self, row: SuspectPart, time: float) -> float:
        """Return the seconds for which any set with a part stays refused, 0 if there is none."""
        sets = [one for one in self.refused if row.digest in one.digests]
        return max((self.seconds_left(one, time) for one in sets), default=0.0)

    def remove_explained(self, lives: set[str], kept: set[bytes] = frozenset()) -> None:
        """Drop the ends that something else has been shown to have caused, but for parts `kept`."""
        for row in list(self.rows.values()):
            if row.digest in kept or self._is_refused(row) or lives.isdisjoint(row.lives):
                continue
            row.lives = [life for life in row.lives if life not in lives]
            if not row.lives:
                self._remove(row)
        self._review()

    def expire(self, time: float) -> None:
        """Remove the parts whose last end is too long ago."""
        for row in list(self.rows.values()):
            is_refused = self._is_refused(row)
            if time - row.last > (_REFUSED_RETENTION_SECONDS if is_refused else _RETENTION_SECONDS):
                self._remove(row)
        self._review()

    def _refuse(self, charged, customer, time):
        """Refuse the parts of a trial that ended its target; drop the sets that this explains."""
        most = max(row.ends for row in charged)
        members = [row for row in charged if row.ends >= most * _REFUSED_MIN_ENDS_RATIO]
        digests = {row.digest for row in members}
        customers = {customer}
        for one in list(self.refused):
            if digests.issubset(one.digests):
                customers.update(one.customers)
                self.refused.remove(one)
        for row in charged:
            _end_trial(row)
        kept = sorted(customers)[:_MAX_CUSTOMERS_PER_SET]
        self.refused.append(RefusedParts(sorted(digests), kept, time))
        del self.refused[:-_MAX_REFUSED_SETS]
        self.is_refusal_changed = True
        # Together they explain the ends that all of them had.
        lives = set.intersection(*(set(row.lives) for row in members))
        self.remove_explained(lives, digests)

    def _reopen_expired(self, time):
        """Allow one more trial of the parts whose refusal has expired."""
        for one in [one for one in self.refused if not self.seconds_left(one, time)]:
            self.refused.remove(one)
            self.is_refusal_changed = True
            for digest in one.digests:
                if digest in self.rows:
                    self.rows[digest].trials = MAX_PART_TRIALS - 1
        self._review()

    def _is_refused(self, row):
        return any(row.digest in one.digests for one in self.refused)

    def _review(self):
        """Decide which parts are restricted, and note what gateways have to be told."""
        all_lives = {
            frozenset(row.lives) for row in self.rows.values() if row.ends >= PART_TRIAL_MIN_ENDS
        }
        for row in self.rows.values():
            lives = frozenset(row.lives)
            # The ends of a part beside another one with more ends are explained by that one.
            is_first = lives in all_lives and not any(lives < other for other in all_lives)
            row.is_restricted = is_first or self._is_refused(row)
            self._note_change(row)
        for one in self.refused:
            trials = [self.rows[digest].trials for digest in one.digests]
            is_final = max(trials) >= MAX_PART_TRIALS
            self.is_refusal_changed |= is_final != one.is_final
            one.is_final = is_final

    def _note_change(self, row):
        is_published = row.ends >= PART_PUBLISH_MIN_ENDS or row.is_restricted
        published = (row.ends, row.is_restricted) if is_published else None
        if published == row.published:
            return
        row.published = published
        if published is None:
            self.changed.discard(row.digest)
            self.removed.add(row.digest)
        else:
            self.changed.add(row.digest)

    def _add(self, digest, ended, time) -> SuspectPart:
        self._evict_if_full(ended.customer)
        row = SuspectPart(digest, ended.customer, ended.pool, ended.route, time, time)
        self.rows[digest] = row
        return row

    def _evict_if_full(self, customer):
        """Evict a part of `customer` at its limit, or of the largest customer at the total."""
        if len(self.rows) < MAX_PARTS_PER_CUSTOMER:
            return
        counts = Counter(row.customer for row in self.rows.values())
        if counts[customer] >= MAX_PARTS_PER_CUSTOMER:
            self._evict_from(customer)
        elif len(self.rows) >= MAX_PARTS:
            self._evict_from(max(sorted(counts), key=counts.__getitem__))

    def _evict_from(self, customer):
        own = [row for row in self.rows.values() if row.customer == customer]
        self._remove(min(own, key=lambda r: (self._is_refused(r), r.ends, r.last, r.digest)))

    def _remove(self, row):
        del self.rows[row.digest]
        self.changed.discard(row.digest)
        if row.published is not None:
            self.removed.add(row.digest)
        for one in [one for one in self.refused if row.digest in one.digests]:
            one.digests.remove(row.digest)
            self.is_refusal_changed = True
        # A set without parts would refuse every request.
        self.refused = [one for one in self.refused if one.digests]


def _end_trial(row):
    row.trial, row.trial_until = "", 0.0
