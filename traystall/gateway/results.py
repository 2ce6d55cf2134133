"""Store the answers of keyed work that is not repeatable, only in the customer's data centres."""

from collections import OrderedDict

import msgspec

MAX_STORED_BYTES = 64 * 1024 * 1024


class StoredResult(msgspec.Struct):
    """A stored answer; `expires_at` is monotonic seconds."""

    customer: str
    data: bytes
    expires_at: float


class ResultStore:
    """Store answers by claim id; the oldest are evicted when the size limit is exceeded."""

    def __init__(self):
        self._rows: OrderedDict[str, StoredResult] = OrderedDict()
        self._bytes = 0

    def put(self, claim_id: str, customer: str, data: bytes, retention: float, now: float) -> None:
        """Store an answer for at most `retention` seconds."""
        self._drop(claim_id)
        self._rows[claim_id] = StoredResult(customer, data, now + retention)
        self._bytes += len(data)
        while self._bytes > MAX_STORED_BYTES:
            self._drop(next(iter(self._rows)))

    def get(self, claim_id: str, customer: str, now: float) -> bytes | None:
        """Return a stored answer if it is this customer's and not expired, else None."""
        row = self._rows.get(claim_id)
        if row is None or row.customer != customer:
            return None
        if now >= row.expires_at:
            self._drop(claim_id)
            return None
        return row.data

    def purge(self, may_store) -> None:
        """Drop the answers of all customers for whom `may_keep(customer)` is false."""
        for claim_id, row in list(self._rows.items()):
            if not may_store(row.customer):
                self._drop(claim_id)

    def _drop(self, claim_id):
        row = self._rows.pop(claim_id, None)
        if row is not None:
            self._bytes -= len(row.data)
