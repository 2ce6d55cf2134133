"""Detect whether a target ended when a connection to it broke.

A connection also breaks when a response is lost or corrupted, when a link is cut, or when a target
closes it early or has too many connections. An end is proven if connections to the target's address
are refused twice in a row, here and at other gateways, without a response of the same incarnation
in between, or if another incarnation appears at the address. A timeout proves nothing, since a
target behind a network partition doesn't respond either.
"""

import asyncio
import logging
from collections import OrderedDict, deque
from collections.abc import Awaitable, Callable
from enum import Enum, auto

import msgspec

from traystall.core import clock, metrics
from traystall.core.logs import decision
from traystall.core.peer_timeout import PeerTimeout

# Delays of the probes of the address after a break. The first two tell an ended target from one
# that refuses connections while it is full. The last one detects a process that closes its
# connections slightly before it stops listening.
_PROBE_DELAYS_SECONDS = (0.0, 0.1, 0.4)
# Shortest time between two probes of one address, since connections cost the target.
_MIN_PROBE_INTERVAL_SECONDS = 0.1
# A response received within this time after a break may have been in transit during the break. It
# doesn't prove that the target was still running afterwards.
_IN_TRANSIT_SECONDS = 0.05
# How long to wait for another incarnation. A target that has restarted before the first probe
# announces its new incarnation with its next report, some seconds later.
_CHECK_SECONDS = 6.0
_CHECK_INTERVAL_SECONDS = 0.25
_CONNECT_TIMEOUT_SECONDS = 0.25
# How long an abandoned run may continue at a target that doesn't notice the closed connection.
_ABANDONED_RUN_SECONDS = 2.0
# Ends kept, so that a run whose connection breaks slightly later is counted at once.
_MAX_ENDS_KEPT = 200
# Limit of the runs that are counted for one end. Engines run some dozens at once.
_MAX_RUNS_PER_TARGET = 512
NOT_LISTENING = "nothing listens at its address"

logger = logging.getLogger(__name__)


class TargetIncarnation(msgspec.Struct, frozen=True):
    """One incarnation of a target, with callables to check on it.

    `evidence()` returns other evidence of its end, or an empty string. `last_response_at()` returns
    when it last responded to this gateway, in monotonic seconds.
    """

    life: str
    address: str
    pool: str
    evidence: Callable[[], str] = str
    last_response_at: Callable[[], float] = float


class _Connection(Enum):
    """What became of a connection to an address."""

    ACCEPTED = auto()
    REFUSED = auto()
    FAILED = auto()


class _EndCheck(msgspec.Struct):
    """The runs whose connections to one incarnation broke, each with the time of its break.

    `since` is the time of the last break, `due` holds the times of the remaining probes.
    """

    target: TargetIncarnation
    since: float
    due: list[float]
    runs: list[tuple[float, object]]
    probed_at: float = float("-inf")
    refusals: int = 0


async def _is_reached_by_nobody(target: TargetIncarnation) -> bool:
    return False


class EndDetector:
    """Investigate broken connections and report the runs of ended targets to `guard`.

    `is_reached_by_others(target)` returns whether another gateway connects to a target.
    """

    def __init__(self, guard):
        self._guard = guard
        self.is_reached_by_others: Callable[[TargetIncarnation], Awaitable[bool]] = (
            _is_reached_by_nobody
        )
        self._checks: dict[str, _EndCheck] = {}
        # Evidence and detection time of each ended incarnation.
        self._ended: OrderedDict[str, tuple[str, float]] = OrderedDict()
        # Times and runs of abandoned attempts, by incarnation.
        self._abandoned: dict[str, deque] = {}
        self._check_tasks: set[asyncio.Task] = set()

    def on_connection_broken(self, target: TargetIncarnation, run) -> None:
        """Handle a broken connection of a run; the target is checked in the background."""
        run.is_end_pending = True
        self._guard.name(run)
        if self._has_ended(target):
            evidence, _ = self._ended[target.life]
            self._guard.ended(run, target.pool, target.life, evidence)
            return
        check = self._start_check(target)
        self._clear_disproven(check)
        if len(check.runs) < _MAX_RUNS_PER_TARGET:
            check.runs.append((check.since, run))

    def _clear_disproven(self, check):
        """Drop the breaks before the last response: the target had not ended at any of them."""
        proven_alive_at = check.target.last_response_at() - _IN_TRANSIT_SECONDS
        cleared = [run for at, run in check.runs if at < proven_alive_at]
        check.runs = [(at, run) for at, run in check.runs if at >= proven_alive_at]
        for run in cleared:
            run.is_end_pending = False
            self._guard.on_finished(run)

    def on_run_abandoned(self, target: TargetIncarnation, run) -> None:
        """Remember an abandoned run; a target that ends right after may still have run it."""
        now = clock.monotonic()
        self._guard.name(run)
        left = self._abandoned.setdefault(target.life, deque(maxlen=_MAX_RUNS_PER_TARGET))
        left.append((now, run))
        for life, runs in list(self._abandoned.items()):
            while runs and now - runs[0][0] > _ABANDONED_RUN_SECONDS:
                runs.popleft()
            if not runs:
                del self._abandoned[life]

    def on_connection_refused(self, target: TargetIncarnation) -> None:
        """Check a target that refused a connection, if a run was abandoned there recently."""
        if target.life in self._abandoned and not self._has_ended(target):
            self._start_check(target)

    async def has_ended(self, target: TargetIncarnation) -> bool:
        """Return within about 0.1 s whether a target whose connection just broke has ended."""
        check = _EndCheck(target, clock.monotonic(), [], [])
        for wait in _PROBE_DELAYS_SECONDS[:2]:
            if self._has_ended(target):
                break
            await asyncio.sleep(check.since + wait - clock.monotonic())
            if await self._probe(check):
                self._record_end(check, NOT_LISTENING)
        return self._has_ended(target)

    def close(self) -> None:
        """Cancel all running checks."""
        for task in self._check_tasks:
            task.cancel()

    def _has_ended(self, target) -> bool:
        """Return whether an end is known that no later response of the target disproves."""
        found = self._ended.get(target.life)
        if found is not None and target.last_response_at() > found[1]:
            del self._ended[target.life]
            found = None
        return found is not None

    def _start_check(self, target) -> _EndCheck:
        """Start to check a target, or restart the probes of a running check."""
        now = clock.monotonic()
        check = self._checks.get(target.life)
        if check is None:
            check = self._checks[target.life] = _EndCheck(target, now, [], [])
            task = asyncio.create_task(self._run_check(check))
            self._check_tasks.add(task)
            task.add_done_callback(self._check_tasks.discard)
        check.since = now
        check.due = [now + wait for wait in _PROBE_DELAYS_SECONDS]
        return check

    async def _run_check(self, check):
        try:
            evidence = await self._wait_for_evidence(check)
        finally:
            del self._checks[check.target.life]
        if evidence:
            self._record_end(check, evidence)
            return
        decision("target-goes-on", target=check.target.life, runs=len(check.runs))
        for _, run in check.runs:
            run.is_end_pending = False
            self._guard.on_finished(run)

    async def _wait_for_evidence(self, check) -> str:
        while (now := clock.monotonic()) - check.since < _CHECK_SECONDS:
            if (
                check.due
                and max(check.due[0], check.probed_at + _MIN_PROBE_INTERVAL_SECONDS) <= now
            ):
                check.probed_at = now
                check.due = [at for at in check.due if at > now]
                if await self._probe(check):
                    return NOT_LISTENING
            if found := check.target.evidence():
                return found
            wait = check.due[0] - now if check.due else _CHECK_INTERVAL_SECONDS
            await asyncio.sleep(
                min(max(wait, _MIN_PROBE_INTERVAL_SECONDS / 2), _CHECK_INTERVAL_SECONDS)
            )
        return ""

    async def _probe(self, check) -> bool:
        """Probe the address; return whether it refused a connection twice in a row."""
        refused = await _try_connection(check.target.address) is _Connection.REFUSED
        has_responded = check.target.last_response_at() > check.since + _IN_TRANSIT_SECONDS
        check.refusals = check.refusals + 1 if refused and not has_responded else 0
        if check.refusals < 2:
            return False
        if await self._is_refused_by_partition(check.target):
            check.refusals = 0
        return check.refusals > 1

    async def _is_refused_by_partition(self, target) -> bool:
        """Return whether a partition refuses connections in the stead of a target that runs.

        Others may also have reached the next incarnation, which then accepts connections here.
        """
        if not await self.is_reached_by_others(target):
            return False
        return await _try_connection(target.address) is not _Connection.ACCEPTED

    def _record_end(self, check, evidence):
        self._clear_disproven(check)
        target, now = check.target, clock.monotonic()
        self._ended[target.life] = (evidence, now)
        if len(self._ended) > _MAX_ENDS_KEPT:
            self._ended.popitem(last=False)
        left = self._abandoned.pop(target.life, ())
        runs = [
            *(run for _, run in check.runs),
            *(run for at, run in left if now - at <= _ABANDONED_RUN_SECONDS),
        ]
        metrics.target_ends_total.inc({"pool": target.pool})
        decision(
            "target-ended",
            target=target.life,
            pool=target.pool,
            evidence=evidence,
            age=round(now - check.since, 3),
            runs=len(runs),
        )
        for run in runs:
            self._guard.ended(run, target.pool, target.life, evidence)


async def _try_connection(address) -> _Connection:
    """Return what becomes of a connection to IP:PORT."""
    host, _, port = address.rpartition(":")
    try:
        async with PeerTimeout(_CONNECT_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return _Connection.REFUSED
    except (OSError, TimeoutError, ValueError) as error:
        logger.debug("target not reachable", extra={"address": address, "why": str(error)})
        return _Connection.FAILED
    writer.close()
    return _Connection.ACCEPTED
