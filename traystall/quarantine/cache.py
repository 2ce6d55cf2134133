"""What a gateway knows of suspects: the highest version that any control daemon has told."""

import asyncio
import contextlib
from collections import Counter

import msgspec

from traystall.core import clock, metrics
from traystall.quarantine.models import TRIAL_ENDS
from traystall.rpc.gen.wire.ttypes import SuspectRecord, Suspects


class HeldSuspect(msgspec.Struct, frozen=True):
    """Hold what gateways are told of one suspect; refused until a monotonic time, in seconds."""

    digest: bytes
    customer: str
    route: str
    ends: int
    refused_until: float

    @property
    def needs_trial(self) -> bool:
        """Return whether it may be sent only with the leader's leave."""
        return self.ends >= TRIAL_ENDS or self.refused_until > float("-inf")


class SuspectCache:
    """Hold the suspects; `take` moves forward only.

    A control daemon that was cut off, or has just started, tells of a lower version: a request
    that was refused must not reach a target because of it.
    """

    def __init__(self):
        self.version = 0
        # Whether any control daemon has told of suspects, if only that there are none.
        self.is_told = False
        self._suspects: dict[bytes, HeldSuspect] = {}
        self._concerned: Counter[tuple[str, str]] = Counter()
        self._changed = asyncio.Event()

    def __len__(self):
        return len(self._suspects)

    def concerns(self, customer: str, route: str) -> bool:
        """Return whether any suspect has this customer and route; others need no digest."""
        return bool(self._suspects) and (customer, route) in self._concerned

    def get(self, digest: bytes) -> HeldSuspect | None:
        """Return one suspect, or None."""
        return self._suspects.get(digest)

    def take(self, told: Suspects | None) -> bool:
        """Take in what a control daemon tells; return whether it is newer than what is held."""
        if told is None:
            return False
        self.is_told = True
        if (told.version or 0) <= self.version:
            return False
        now = clock.monotonic()
        if told.full:
            self._suspects.clear()
        for record in told.changed or ():
            self._suspects[record.digest] = _from_record(record, now)
        for digest in told.removed or ():
            self._suspects.pop(digest, None)
        self.version = told.version
        self._on_change()
        return True

    def to_wire(self) -> Suspects | None:
        """Return all of it for a neighbour that starts; nothing if no control daemon told."""
        if not self.is_told:
            return None
        now = clock.monotonic()
        changed = [_to_record(row, now) for row in self._suspects.values()]
        return Suspects(version=self.version, full=True, changed=changed, removed=[])

    async def wait(self, seconds: float) -> None:
        """Return once something has changed, or after `seconds`."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await changed.wait()

    def _on_change(self):
        rows = self._suspects.values()
        self._concerned = Counter((row.customer, row.route) for row in rows)
        metrics.suspects.set({}, len(self._suspects))
        now = clock.monotonic()
        metrics.quarantined.set({}, sum(1 for row in rows if row.refused_until > now))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _from_record(record: SuspectRecord, now: float) -> HeldSuspect:
    refused = record.refused or 0.0
    return HeldSuspect(
        digest=record.digest,
        customer=record.customer or "",
        route=record.route or "",
        ends=record.ends or 0,
        refused_until=now + refused if refused > 0 else float("-inf"),
    )


def _to_record(row: HeldSuspect, now: float) -> SuspectRecord:
    return SuspectRecord(
        digest=row.digest,
        customer=row.customer,
        route=row.route,
        ends=row.ends,
        refused=max(0.0, row.refused_until - now),
    )
