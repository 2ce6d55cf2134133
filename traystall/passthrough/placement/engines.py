"""Decide which engine reads a prompt, by the engines' load and their prefix caches.

The module does no I/O; times are monotonic seconds. One gateway, the placer of the pool, places the
prompts of a pool for all gateways. It therefore knows how much each engine has still to read, and
which shared prompt parts are in its cache. A gateway that cannot reach the placer places prompts
by the requests that it has sent itself.
"""

from collections import OrderedDict

import msgspec

from traystall.passthrough.placement.read_rate import PrefillRate
from traystall.systems.rendezvous import rendezvous_order

# Weight of prefill time against other costs. It exceeds 1 because the prefill also delays other
# requests and is billed.
_PREFILL_WEIGHT = 2.0
# Approximate delay that one running request causes for a new one.
_RUNNING_REQUEST_SECONDS = 0.003
# Cost of a transfer of inputs between data centres.
_TRANSFER_SECONDS_PER_MEGABYTE = 0.012
# A prompt whose shared part is in no cache goes to the engine that rendezvous hashing prefers for
# the part, unless the wait there is longer by this time. Another placer then finds the part in the
# same cache.
_NOT_PREFERRED_SECONDS = 0.06
# Ratio of an engine's memory that cached parts are assumed to fill.
_CACHE_MEMORY_RATIO = 0.7
# Placements whose end was never reported expire after this time.
_PLACEMENT_TTL_SECONDS = 30.0


class PromptPart(msgspec.Struct, frozen=True):
    """Name a part of a prompt and its size in tokens."""

    name: str
    tokens: int


class PlacementQuery(msgspec.Struct, frozen=True):
    """Describe a prompt to place.

    `parts` are in the order of the prompt, and the last one belongs to this request alone. Inputs
    of `input_bytes` are in `data_centre`.
    """

    request_id: str
    parts: tuple[PromptPart, ...]
    tokens: int
    data_centre: str = ""
    input_bytes: int = 0

    def last_shared_part(self) -> str:
        """Return the name of the last part that requests may share, or an empty string."""
        return self.parts[-2].name if len(self.parts) > 1 else ""


class EngineCandidate(msgspec.Struct, frozen=True):
    """Describe an engine; `ratio` is its duration for a request against that of the others."""

    identity: str
    data_centre: str
    memory_tokens: int
    ratio: float = 1.0


class _Engine:
    """Hold the estimated load and prefix cache of one engine."""

    def __init__(self):
        self.reading_until = float("-inf")
        # The time of the placement, by request.
        self.reading: dict[str, float] = {}
        self.running: dict[str, float] = {}
        # The size of each cached part in tokens, least recently used first.
        self.cached: OrderedDict[str, int] = OrderedDict()
        self.cached_tokens = 0

    def cache(self, parts, limit):
        """Add parts to the cache, and evict the least recently used parts beyond the limit."""
        for part in parts:
            self.cached_tokens += part.tokens - self.cached.pop(part.name, 0)
            self.cached[part.name] = part.tokens
        while self.cached_tokens > limit and self.cached:
            _, tokens = self.cached.popitem(last=False)
            self.cached_tokens -= tokens

    def uncached_tokens(self, placement) -> int:
        """Return how many tokens of a prompt the engine has to read."""
        cached = 0
        for part in placement.parts:
            if part.name not in self.cached:
                break
            cached += part.tokens
        return max(0, placement.tokens - cached)

    def expire_placements(self, now):
        """Remove placements that are so old that the report of their end must have been lost."""
        for placed_times in (self.reading, self.running):
            for request_id, at in list(placed_times.items()):
                if now - at > _PLACEMENT_TTL_SECONDS:
                    del placed_times[request_id]


class EnginePlacer:
    """Place the prompts of one pool."""

    def __init__(self):
        self._engines: dict[str, _Engine] = {}
        self._placed: dict[str, str] = {}
        # The engine that rendezvous hashing prefers for the shared part of the current query. It is
        # the same for all placers.
        self._preferred = ""
        self.prefill_rate = PrefillRate()

    def best_engine(
        self, placement: PlacementQuery, candidates: list[EngineCandidate], now: float
    ) -> str:
        """Return the engine with the lowest cost for a prompt, or an empty string."""
        if not candidates:
            return ""
        shared = placement.last_shared_part()
        self._preferred = ""
        if shared:
            names = [candidate.identity for candidate in candidates]
            self._preferred = rendezvous_order(shared, names)[0]
        return min(candidates, key=lambda c: (self._cost(placement, c, now), c.identity)).identity

    def place(
        self, placement: PlacementQuery, candidates: list[EngineCandidate], now: float
    ) -> str:
        """Return the engine for a prompt and add it to its load; empty if there is no engine."""
        identity = self.best_engine(placement, candidates, now)
        if not identity:
            return ""
        self.ended(placement.request_id, now)
        candidate = next(candidate for candidate in candidates if candidate.identity == identity)
        engine = self._engine(identity)
        uncached = engine.uncached_tokens(placement)
        self.prefill_rate.on_placed(placement.request_id, uncached, set(engine.reading), now)
        seconds = uncached / self.prefill_rate.tokens_per_second * candidate.ratio
        engine.reading_until = max(now, engine.reading_until) + seconds
        engine.reading[placement.request_id] = now
        engine.running[placement.request_id] = now
        engine.cache(placement.parts, candidate.memory_tokens * _CACHE_MEMORY_RATIO)
        self._placed[placement.request_id] = identity
        return identity

    def started(self, request_id: str, now: float) -> None:
        """Record the first event of a request: its prompt has been read."""
        self.prefill_rate.on_first_event(request_id, now)
        engine = self._engines.get(self._placed.get(request_id, ""))
        if engine is None:
            return
        engine.reading.pop(request_id, None)
        if not engine.reading:
            engine.reading_until = now

    def ended(self, request_id: str, now: float) -> None:
        """Record the end of a request."""
        self.prefill_rate.discard(request_id)
        self.started(request_id, now)
        engine = self._engines.get(self._placed.pop(request_id, ""))
        if engine is not None:
            engine.running.pop(request_id, None)

    def retain(self, identities: set[str], now: float) -> None:
        """Remove all engines but `identities`, and placements whose end was never reported.

        A much later choice for the same request, or a report out of order, is therefore not joined
        with an old placement.
        """
        for identity in self._engines.keys() - identities:
            del self._engines[identity]
        for engine in self._engines.values():
            engine.expire_placements(now)
        self._placed = {
            request_id: identity
            for request_id, identity in self._placed.items()
            if identity in self._engines and request_id in self._engines[identity].running
        }

    def _engine(self, identity) -> _Engine:
        return self._engines.setdefault(identity, _Engine())

    def _is_preferred(self, placement, candidate):
        return not placement.last_shared_part() or candidate.identity == self._preferred

    def _cost(self, placement, candidate, now):
        """Return the cost of an engine for a prompt, in seconds."""
        engine = self._engine(candidate.identity)
        prefill = engine.uncached_tokens(placement) / self.prefill_rate.tokens_per_second
        cost = max(0.0, engine.reading_until - now)
        cost += prefill * candidate.ratio * _PREFILL_WEIGHT
        cost += len(engine.running) * _RUNNING_REQUEST_SECONDS
        if prefill and not self._is_preferred(placement, candidate):
            cost += _NOT_PREFERRED_SECONDS
        if placement.data_centre and candidate.data_centre != placement.data_centre:
            cost += placement.input_bytes / 1e6 * _TRANSFER_SECONDS_PER_MEGABYTE
        return cost
