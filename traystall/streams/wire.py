"""Conversion of stream origins to RPC messages."""

from traystall.rpc.gen.wire import ttypes
from traystall.streams.models import StreamOrigin


def to_wire(origin: StreamOrigin, now: float) -> ttypes.StreamOrigin:
    """Return the record of an origin, with the seconds that are left of its lifetime."""
    return ttypes.StreamOrigin(
        digest=origin.digest,
        pool=origin.pool,
        version=origin.version,
        seconds_left=max(0.0, origin.expires_at - now),
        ages={life: now - at for life, at in origin.targets.items()},
    )


def from_wire(record: ttypes.StreamOrigin, now: float) -> StreamOrigin:
    """Return the origin in a record."""
    targets = {life: now - age for life, age in (record.ages or {}).items()}
    return StreamOrigin(
        record.digest, record.pool, record.version, now + record.seconds_left, targets
    )
