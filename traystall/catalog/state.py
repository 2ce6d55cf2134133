"""The catalog: a pure state machine of accepted revisions.

At most one content is accepted for each number. Applying the same number and content
again returns the same result and changes nothing, whatever was accepted since.
"""

import msgspec

from traystall.catalog.deltas import EMPTY_DIGEST, Delta, apply_delta, entities_digest
from traystall.catalog.models import (
    ApplyBundle,
    ApplyOutcome,
    ApplyResult,
    Revision,
    SupersedeBundle,
)
from traystall.core.exceptions import DeltaMismatch
from traystall.core.serialization import pack, unpack

# Limits of the deltas kept in memory for gateways that are a few revisions behind.
MAX_KEPT_DELTAS = 64
MAX_KEPT_DELTA_BYTES = 4 * 1024 * 1024


class CatalogSnapshot(msgspec.Struct, frozen=True):
    """Hold the whole catalog for a snapshot."""

    entities: dict[str, bytes]
    history: list[Revision]


class Catalog:
    """Apply bundles in log order and provide the newest revision."""

    def __init__(self):
        self.entities: dict[str, bytes] = {}
        self.digest = EMPTY_DIGEST
        self.number = 0
        self._history: dict[int, Revision] = {}
        self._deltas: dict[bytes, Delta] = {}
        self._kept_bytes = 0

    def lookup(self, number: int, digest: bytes) -> ApplyResult | None:
        """Return the result of an apply that is already decided, or None."""
        holder = self._history.get(number)
        if holder is not None:
            outcome = ApplyOutcome.CONFLICT
            if holder.digest == digest:
                outcome = ApplyOutcome.ACCEPTED
            return ApplyResult(outcome, holder, self.number, resent=True)
        if number <= self.number:
            newest = self._history.get(self.number)
            return ApplyResult(ApplyOutcome.STALE, newest, self.number)
        return None

    def apply(self, command: ApplyBundle) -> ApplyResult:
        """Execute one apply command; the result is the same at every replica."""
        decided = self.lookup(command.number, command.digest)
        if decided is not None:
            return decided
        if command.delta.base != self.digest:
            return ApplyResult(ApplyOutcome.REBASE, None, self.number)
        return self._accept(command)

    def lookup_highest(self, number: int) -> ApplyResult | None:
        """Return the result for a number that is not above the current one, or None."""
        if number > self.number:
            return None
        return ApplyResult(ApplyOutcome.ACCEPTED, None, self.number, resent=True)

    def supersede(self, command: SupersedeBundle) -> ApplyResult:
        """Execute one apply command under the rule `highest`."""
        decided = self.lookup_highest(command.number)
        if decided is not None:
            return decided
        if command.delta.base != self.digest:
            return ApplyResult(ApplyOutcome.REBASE, None, self.number)
        result = self._accept(command)
        if result.outcome is ApplyOutcome.ACCEPTED:
            # Under this rule the results of lower numbers are never looked up again.
            self._history = {command.number: result.revision}
        return result

    def delta_since(self, digest: bytes) -> Delta | None:
        """Return one delta from the revision `digest` to the newest, or None if not kept."""
        if digest == self.digest:
            return Delta(digest, digest, {}, [])
        puts: dict[str, bytes] = {}
        deletes: set[str] = set()
        at = digest
        for _ in range(len(self._deltas) + 1):
            delta = self._deltas.get(at)
            if delta is None:
                return None
            _merge(puts, deletes, delta)
            at = delta.result
            if at == self.digest:
                return Delta(digest, at, puts, sorted(deletes))
        return None

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return pack(CatalogSnapshot(self.entities, list(self._history.values())))

    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one."""
        held = unpack(data, CatalogSnapshot)
        self.entities = held.entities
        self.digest = entities_digest(held.entities)
        self._history = {revision.number: revision for revision in held.history}
        self.number = max(self._history, default=0)
        self._deltas = {}
        self._kept_bytes = 0

    def _accept(self, command):
        try:
            self.entities = apply_delta(self.entities, self.digest, command.delta)
        except DeltaMismatch:
            # An exception here would stop every replica, and again at each log replay.
            return ApplyResult(ApplyOutcome.REBASE, None, self.number)
        self._keep_delta(command.delta)
        self.digest = command.delta.result
        self.number = command.number
        revision = Revision(command.number, command.digest, command.operator)
        self._history[command.number] = revision
        return ApplyResult(ApplyOutcome.ACCEPTED, revision, self.number)

    def _keep_delta(self, delta):
        if delta.base == delta.result:
            return
        # Replaced and not updated in place, so that the order of the keys stays that of the log.
        self._kept_bytes -= _delta_bytes(self._deltas.pop(delta.base, None))
        self._deltas[delta.base] = delta
        self._kept_bytes += _delta_bytes(delta)
        while len(self._deltas) > MAX_KEPT_DELTAS or self._kept_bytes > MAX_KEPT_DELTA_BYTES:
            self._kept_bytes -= _delta_bytes(self._deltas.pop(next(iter(self._deltas))))


def _delta_bytes(delta) -> int:
    if delta is None:
        return 0
    puts = sum(len(key) + len(value) for key, value in delta.puts.items())
    return puts + sum(map(len, delta.deletes))


def _merge(puts, deletes, delta):
    for key in delta.deletes:
        puts.pop(key, None)
        deletes.add(key)
    for key, value in delta.puts.items():
        puts[key] = value
        deletes.discard(key)
