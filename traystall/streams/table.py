"""The stream origins known at one gateway, bounded in number and lifetime. Pure."""

from collections import OrderedDict
from collections.abc import Iterator

import msgspec

from traystall.streams.models import StreamOrigin

# At 0.4 KB each, all origins take 8 MB.
MAX_ORIGINS = 20_000
# Ended incarnations that are remembered for origins that arrive later.
_MAX_DOUBTFUL = 1000


class StreamTable:
    """Stream origins by digest, the longest known first; times are monotonic seconds."""

    def __init__(self, max_origins: int = MAX_ORIGINS):
        self._max_origins = max_origins
        self._origins: OrderedDict[bytes, StreamOrigin] = OrderedDict()
        # Since when other incarnations may have answered in place of ended ones, by incarnation.
        self._doubtful_since: OrderedDict[str, float] = OrderedDict()

    def __len__(self):
        return len(self._origins)

    def put(self, origin: StreamOrigin) -> StreamOrigin:
        """Add an origin or extend its lifetime; return the merged one.

        The merge is commutative: two differing origins of one digest leave it without a version,
        whichever arrives first.
        """
        known = self._origins.pop(origin.digest, None)
        if known is not None:
            is_same = (known.pool, known.version) == (origin.pool, origin.version)
            origin = msgspec.structs.replace(
                origin,
                version=origin.version if is_same else None,
                expires_at=max(known.expires_at, origin.expires_at),
                targets=known.targets | origin.targets,
            )
        if any(self._is_doubtful(life, at) for life, at in origin.targets.items()):
            origin = msgspec.structs.replace(origin, version=None)
        self._origins[origin.digest] = origin
        if len(self._origins) > self._max_origins:
            self._origins.popitem(last=False)
        return origin

    def doubt(self, life: str, since: float) -> None:
        """Make the version of streams uncertain that an incarnation began at `since` or later.

        The next incarnation of that target may have written them before it was known.
        """
        self._doubtful_since[life] = since
        if len(self._doubtful_since) > _MAX_DOUBTFUL:
            self._doubtful_since.popitem(last=False)
        for origin in list(self._origins.values()):
            if life in origin.targets and origin.targets[life] >= since:
                self._origins[origin.digest] = msgspec.structs.replace(origin, version=None)

    def _is_doubtful(self, life, at):
        return at >= self._doubtful_since.get(life, float("inf"))

    def get(self, digest: bytes, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is unknown or has expired."""
        found = self._origins.get(digest)
        return found if found is not None and found.expires_at > now else None

    def live(self, now: float) -> Iterator[StreamOrigin]:
        """Yield the origins that have not expired; the table must not change meanwhile."""
        return (origin for origin in self._origins.values() if origin.expires_at > now)

    def remove_expired(self, now: float) -> None:
        """Remove the origins that have expired."""
        for digest in [d for d, origin in self._origins.items() if origin.expires_at <= now]:
            del self._origins[digest]
