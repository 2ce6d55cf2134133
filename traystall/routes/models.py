"""What an operator declares of routes: hosts and paths, pools, customers with keys, bounds.

Times are seconds, sizes bytes. Every value is immutable; a new revision brings a
new `RoutingTable`.
"""

import msgspec


class Split(msgspec.Struct, frozen=True):
    """Give a pool its share of a route's requests; shares are relative weights."""

    pool: str
    weight: int = 1


class StagePlan(msgspec.Struct, frozen=True):
    """Declare one stage of pieces that is run before the request itself.

    `after` lists the stages whose results every piece of this one reads;
    `result_bytes` is about the size of one result.
    """

    pool: str
    after: tuple[int, ...] = ()
    result_bytes: int = 0


class Route(msgspec.Struct, frozen=True):
    """Declare what becomes of requests for one host and path prefix.

    `timeout` is the longest a request may be held, `aim` the time within which
    an answer is in time, `pause_aim` the same for the pause between events of a
    stream. Priority 0 is the most urgent. Its targets and results stay inside
    `data_centres`; none named means anywhere.
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
        """Return whether a second run of a request can't double anything."""
        return self.resumable if self.streamed else self.repeatable

    def final_stages(self) -> tuple[int, ...]:
        """Return the stages that no other stage reads: the request itself reads them."""
        read = {index for stage in self.stages for index in stage.after}
        return tuple(index for index in range(len(self.stages)) if index not in read)


class EngineProfile(msgspec.Struct, frozen=True):
    """Describe the engines of a pool: slots at once and tokens of memory of each."""

    slots: int = 1
    memory_tokens: int = 0
    tokens_per_event: int = 1


class BatchProfile(msgspec.Struct, frozen=True):
    """Describe targets that work on batches of pieces, each figure for one target.

    A call takes about `call_seconds` and `piece_seconds` for each piece; results
    take room at their worker until they are freed or `result_lifetime` is over.
    """

    slots: int = 1
    queue: int = 0
    batch: int = 1
    call_seconds: float = 0.0
    piece_seconds: float = 0.0
    room_bytes: float = 0.0
    result_lifetime: float = 0.0

    def seconds(self, pieces: int) -> float:
        """Return about how long a call with so many pieces takes."""
        return self.call_seconds + self.piece_seconds * pieces


class Pool(msgspec.Struct, frozen=True):
    """Declare targets that can stand in for one another.

    `max_connections` is what one target accepts from all gateways together. A target
    that has started stays cold for `cold_seconds` and bears `cold_per_second` requests
    meanwhile; 0 means that it bears any number.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 64
    engine: EngineProfile | None = None
    batches: BatchProfile | None = None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


class KeyedCustomer(msgspec.Struct, frozen=True):
    """Declare a customer that shows who it is by any of its keys.

    A customer's `priority`, where it has one, goes before the route's. Its
    requests and results stay inside `data_centres`; none named means anywhere. With
    `enters_anywhere` a gateway outside may read its requests, for it is the one that the
    caller has reached, and send them on to targets inside.
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
    """Bound what a caller may send, how long it may take, and how long it may idle."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 10.0
    idle_timeout: float = 60.0


class RoutingTable(msgspec.Struct, frozen=True):
    """Hold everything that routing needs of one revision."""

    number: int = 0
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    customers: tuple[KeyedCustomer, ...] | None = None
    limits: CallerLimits = CallerLimits()
