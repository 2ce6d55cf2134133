"""A gateway's cache of suspects, at the highest version received from any control daemon."""

import asyncio
import contextlib
from collections import Counter

import msgspec

from traystall.core import clock, metrics
from traystall.quarantine.models import TRIAL_MIN_ENDS
from traystall.rpc.gen.wire.ttypes import (
    RefusedPartsRecord,
    SuspectPartRecord,
    SuspectRecord,
    Suspects,
)


class CachedSuspect(msgspec.Struct, frozen=True):
    """The published part of a suspect; `refused_until` is in monotonic seconds."""

    digest: bytes
    customer: str
    route: str
    ends: int
    refused_until: float

    @property
    def needs_trial(self) -> bool:
        """Return whether it may be sent only if the leader allows it."""
        return self.ends >= TRIAL_MIN_ENDS or self.refused_until > float("-inf")


class CachedPart(msgspec.Struct, frozen=True):
    """The published part of a suspected prompt part."""

    digest: bytes
    ends: int
    is_restricted: bool


class CachedRefusal(msgspec.Struct, frozen=True):
    """Prompt parts that are refused together; `until` is in monotonic seconds."""

    digests: frozenset[bytes]
    customers: frozenset[str]
    until: float
    is_final: bool

    def covers(self, digests: tuple[bytes, ...], customer: str, now: float) -> bool:
        """Return whether a request with these parts is refused now."""
        if now >= self.until or not self.digests <= set(digests):
            return False
        return self.is_final or customer in self.customers


class SuspectCache:
    """The suspects in force at a gateway; `take` ignores versions below the current one.

    A control daemon that was partitioned or has just started sends a lower version. A refused
    request must not reach a target because of it.
    """

    def __init__(self):
        self.version = 0
        # Whether any control daemon has sent suspects, even an empty list.
        self.is_initialized = False
        # Whether the last update came from a daemon that counts prompt parts.
        self.supports_parts = False
        self._suspects: dict[bytes, CachedSuspect] = {}
        self._parts: dict[bytes, CachedPart] = {}
        self.refused_parts: list[CachedRefusal] = []
        self._customer_routes: Counter[tuple[str, str]] = Counter()
        self._changed = asyncio.Event()

    def __len__(self):
        return len(self._suspects)

    def may_contain(self, customer: str, route: str) -> bool:
        """Return whether any suspect has this customer and route; if not, no digest is needed."""
        return bool(self._suspects) and (customer, route) in self._customer_routes

    def get(self, digest: bytes) -> CachedSuspect | None:
        """Return one suspect, or None."""
        return self._suspects.get(digest)

    @property
    def has_parts(self) -> bool:
        """Return whether any prompt part is known here; if not, no digest of one is needed."""
        return bool(self._parts)

    def parts(self, digests: tuple[bytes, ...]) -> list[CachedPart]:
        """Return those of these prompt parts on which targets have ended."""
        return [self._parts[digest] for digest in digests if digest in self._parts]

    def take(self, message: Suspects | None) -> bool:
        """Apply an update from a control daemon; return whether it was newer than the cache."""
        if message is None:
            return False
        self.is_initialized = True
        self.supports_parts = message.parts is not None
        if (message.version or 0) <= self.version:
            return False
        now = clock.monotonic()
        if message.full:
            self._suspects.clear()
            self._parts.clear()
        for record in message.changed or ():
            self._suspects[record.digest] = _from_record(record, now)
        for part in message.parts or ():
            self._parts[part.digest] = CachedPart(
                part.digest, part.ends or 0, bool(part.restricted)
            )
        if message.refused_parts is not None:
            self.refused_parts = [_from_refused_record(one, now) for one in message.refused_parts]
        for digest in message.removed or ():
            self._suspects.pop(digest, None)
            self._parts.pop(digest, None)
        self.version = message.version
        self._notify_changed()
        return True

    def to_wire(self) -> Suspects | None:
        """Return all suspects for a peer that is starting, or None before the first update."""
        if not self.is_initialized:
            return None
        now = clock.monotonic()
        changed = [_to_record(row, now) for row in self._suspects.values()]
        found = Suspects(version=self.version, full=True, changed=changed, removed=[])
        if self.supports_parts:
            found.parts = [
                SuspectPartRecord(digest=row.digest, ends=row.ends, restricted=row.is_restricted)
                for row in self._parts.values()
            ]
            found.refused_parts = [_to_refused_record(one, now) for one in self.refused_parts]
        return found

    async def wait(self, seconds: float) -> None:
        """Return after the next change, or after `seconds`."""
        changed = self._changed
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await changed.wait()

    def _notify_changed(self):
        rows = self._suspects.values()
        self._customer_routes = Counter((row.customer, row.route) for row in rows)
        metrics.suspects.set({}, len(self._suspects))
        now = clock.monotonic()
        metrics.quarantined.set({}, sum(1 for row in rows if row.refused_until > now))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _from_record(record: SuspectRecord, now: float) -> CachedSuspect:
    refused = record.refused or 0.0
    return CachedSuspect(
        digest=record.digest,
        customer=record.customer or "",
        route=record.route or "",
        ends=record.ends or 0,
        refused_until=now + refused if refused > 0 else float("-inf"),
    )


def _to_record(row: CachedSuspect, now: float) -> SuspectRecord:
    return SuspectRecord(
        digest=row.digest,
        customer=row.customer,
        route=row.route,
        ends=row.ends,
        refused=max(0.0, row.refused_until - now),
    )


def _from_refused_record(record: RefusedPartsRecord, now: float) -> CachedRefusal:
    return CachedRefusal(
        digests=frozenset(record.digests),
        customers=frozenset(record.customers or ()),
        until=now + (record.seconds or 0.0),
        is_final=bool(record.final),
    )


def _to_refused_record(refusal: CachedRefusal, now: float) -> RefusedPartsRecord:
    return RefusedPartsRecord(
        digests=sorted(refusal.digests),
        customers=sorted(refusal.customers),
        seconds=max(0.0, refusal.until - now),
        final=refusal.is_final,
    )
