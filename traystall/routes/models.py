"""The routing configuration: routes, pools, customers with their keys, and limits for callers.

Times are in seconds, sizes in bytes. All values are immutable; each revision of the configuration
has its own `RoutingTable`.
"""

import msgspec


class Split(msgspec.Struct, frozen=True):
    """The share of a pool in a route's requests, as a relative weight."""

    pool: str
    weight: int = 1


class StagePlan(msgspec.Struct, frozen=True):
    """One stage of a route. Its pieces run before the request itself.

    A piece is one unit of work, which a target runs in a batch with others. `after` lists the
    stages whose results each piece reads; `result_bytes` is the approximate size of one result.
    """

    pool: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class Route(msgspec.Struct, frozen=True):
    """How requests for one host and path prefix are handled.

    `timeout` is the longest time that a request may take. `aim` is the latency objective of a
    response, `pause_aim` that of the gap between events of a stream. Priority 0 is the most
    urgent. Requests and results stay inside `data_centres`; if it is empty, any will do.
    """

    name: str
    host: str
    path_prefix: str
    splits: tuple[Split, ...]
    repeatable: bool = False
    streamed: bool = False
    resumable: bool = False
    timeout: float = 60.0
    aim: float = 0.0
    pause_aim: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    stages: tuple[StagePlan, ...] = ()
    public: bool = False
    affinity: bool = False
    data_centres: tuple[str, ...] = ()

    @property
    def is_safe_to_retry(self) -> bool:
        """Return whether a request may run twice without duplicate effects or output."""
        return self.resumable if self.streamed else self.repeatable

    def final_stages(self) -> tuple[int, ...]:
        """Return the stages whose results only the request itself reads."""
        read = {index for stage in self.stages for index in stage.after}
        return tuple(index for index in range(len(self.stages)) if index not in read)


class EngineProfile(msgspec.Struct, frozen=True):
    """The engines of a pool; `slots` is the concurrency of one engine, memory is in tokens."""

    slots: int = 1
    memory_tokens: int = 0
    tokens_per_event: int = 1


class BatchProfile(msgspec.Struct, frozen=True):
    """Targets that run batches of pieces; all figures are per target.

    A call takes about `call_seconds` plus `piece_seconds` for each piece. Results occupy memory at
    their worker until they are freed or `result_lifetime` has passed.
    """

    slots: int = 1
    queue: int = 0
    batch: int = 1
    call_seconds: float = 0.0
    piece_seconds: float = 0.0
    room_bytes: float = 0.0
    result_lifetime: float = 0.0

    def seconds(self, pieces: int) -> float:
        """Return the estimated duration of a call with a number of pieces."""
        return self.call_seconds + self.piece_seconds * pieces


class Pool(msgspec.Struct, frozen=True):
    """A group of interchangeable targets.

    `max_connections` is the limit of one target for all gateways together. After its start a target
    stays cold for `cold_seconds` and accepts `cold_per_second` requests during that time; 0 means
    no limit.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 64
    engine: EngineProfile | None = None
    batches: BatchProfile | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


class KeyedCustomer(msgspec.Struct, frozen=True):
    """A customer that authenticates with any of its keys.

    The customer's `priority`, if set, overrides that of the route. Its requests and results stay
    inside `data_centres`; if it is empty, any will do. With `enters_anywhere`, a gateway in another
    data centre may read its requests, because the caller has reached that gateway, and forward
    them to targets inside.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    data_centres: tuple[str, ...] = ()
    enters_anywhere: bool = False

    def may_enter(self, data_centre: str) -> bool:
        """Return whether a gateway in a data centre may read this customer's requests."""
        return self.enters_anywhere or self.allows(data_centre)

    def allows(self, data_centre: str) -> bool:
        """Return whether this customer's requests and results may be in a data centre."""
        return not self.data_centres or data_centre in self.data_centres


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits for callers on the size and duration of requests and on idle connections."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


class RoutingTable(msgspec.Struct, frozen=True):
    """The routing configuration of one revision."""

    number: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    customers: tuple[KeyedCustomer, ...] | None = None
    limits: CallerLimits = CallerLimits()
