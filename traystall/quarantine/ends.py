"""Find out whether a target ended when a connection to it broke.

A connection also breaks when an answer is lost or spoiled, when a link is cut, or when a target
closes it early or has too many. Evidence of an end is that nothing listens at the target's address,
twice in a row and without an answer of this life in between, or that another life shows there.
Silence is none: a target behind a cut says nothing either.
"""

import asyncio
import logging
from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec

from traystall.core import clock, metrics
from traystall.core.logs import decision

# When the address is tried, in seconds after a break. The first two tell a target that has ended
# from one that turns connections away while it is full; the last one finds a process that closes
# its connections a little before it stops listening.
_TRIES = (0.0, 0.1, 0.4)
# At the least between two tries of one address, in seconds: connections cost the target.
_TRY_EVERY = 0.1
# An answer that was under way at the break is taken for one before it, for so many seconds.
_UNDER_WAY_SECONDS = 0.05
# How long another life is waited for, in seconds, and how often that is looked up: a target that
# was back before the first try tells its new life by its next report, some seconds later.
_LOOK_SECONDS = 6.0
_LOOK_EVERY = 0.25
_CONNECT_SECONDS = 0.25
# A run that was given up may still go on for so long, in seconds, at a target that doesn't notice.
_LEFT_SECONDS = 2.0
# Ends that are remembered, so that a connection that breaks a little later is counted at once.
_REMEMBERED = 200
# Runs of one target that are blamed at the most; engines run some dozens at once.
_MOST_RUNS = 512
NOT_LISTENING = "nothing listens at its address"

logger = logging.getLogger(__name__)


class TargetIncarnation(msgspec.Struct, frozen=True):
    """Name one life of a target.

    `evidence()` returns how else its end shows, or nothing; `answered_at()` when it last answered
    this gateway, in monotonic seconds.
    """

    life: str
    address: str
    pool: str
    evidence: Callable[[], str] = str
    answered_at: Callable[[], float] = float


class _Broken(msgspec.Struct):
    """Hold the runs whose connections to one life of a target broke, with when each did.

    The last one broke at `since`.
    """

    target: TargetIncarnation
    since: float
    due: list[float]
    runs: list[tuple[float, object]]
    tried_at: float = float("-inf")
    refusals: int = 0


class EndWatch:
    """Look into broken connections; tell `guard` of the runs of targets that ended."""

    def __init__(self, guard):
        self._guard = guard
        self._broken: dict[str, _Broken] = {}
        # By life, what showed its end and when.
        self._ended: OrderedDict[str, tuple[str, float]] = OrderedDict()
        # Runs that were given up, and when.
        self._left: dict[str, deque] = {}
        self._tasks: set[asyncio.Task] = set()

    def on_connection_broken(self, target: TargetIncarnation, run) -> None:
        """Take in that the connection of a run broke; it is looked into in the background."""
        run.is_broken = True
        self._guard.name(run)
        if self._has_ended(target):
            evidence, _ = self._ended[target.life]
            self._guard.ended(run, target.pool, target.life, evidence)
            return
        broken = self._look_into(target)
        self._clear_answered(broken)
        if len(broken.runs) < _MOST_RUNS:
            broken.runs.append((broken.since, run))

    def _clear_answered(self, broken):
        """Let go of breaks after which the life answered: it had not ended at any of them."""
        answered_at = broken.target.answered_at() - _UNDER_WAY_SECONDS
        cleared = [run for at, run in broken.runs if at < answered_at]
        broken.runs = [(at, run) for at, run in broken.runs if at >= answered_at]
        for run in cleared:
            run.is_broken = False
            self._guard.on_finished(run)

    def on_run_abandoned(self, target: TargetIncarnation, run) -> None:
        """Take in that a run was given up: a target that ends right after may still have run it."""
        now = clock.monotonic()
        self._guard.name(run)
        left = self._left.setdefault(target.life, deque(maxlen=_MOST_RUNS))
        left.append((now, run))
        for life, runs in list(self._left.items()):
            while runs and now - runs[0][0] > _LEFT_SECONDS:
                runs.popleft()
            if not runs:
                del self._left[life]

    def on_connection_refused(self, target: TargetIncarnation) -> None:
        """Take in that nothing listens at a target's address, if that matters to any run."""
        if target.life in self._left and not self._has_ended(target):
            self._look_into(target)

    async def has_ended(self, target: TargetIncarnation) -> bool:
        """Return, within some 0.1 s, whether a target whose connection just broke has ended."""
        broken = _Broken(target, clock.monotonic(), [], [])
        for wait in _TRIES[:2]:
            if self._has_ended(target):
                break
            await asyncio.sleep(broken.since + wait - clock.monotonic())
            if await self._is_gone(broken):
                self._note(broken, NOT_LISTENING)
        return self._has_ended(target)

    def close(self) -> None:
        """End what is being looked into."""
        for task in self._tasks:
            task.cancel()

    def _has_ended(self, target) -> bool:
        """Return whether a life is known to have ended; an answer of it since proves otherwise."""
        found = self._ended.get(target.life)
        if found is not None and target.answered_at() > found[1]:
            del self._ended[target.life]
            found = None
        return found is not None

    def _look_into(self, target) -> _Broken:
        """Return what is known of a break; what is being looked into already is tried anew."""
        now = clock.monotonic()
        broken = self._broken.get(target.life)
        if broken is None:
            broken = self._broken[target.life] = _Broken(target, now, [], [])
            task = asyncio.create_task(self._settle(broken))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        broken.since = now
        broken.due = [now + wait for wait in _TRIES]
        return broken

    async def _settle(self, broken):
        try:
            evidence = await self._find_evidence(broken)
        finally:
            del self._broken[broken.target.life]
        if evidence:
            self._note(broken, evidence)
            return
        decision("target-goes-on", target=broken.target.life, runs=len(broken.runs))
        for _, run in broken.runs:
            run.is_broken = False
            self._guard.on_finished(run)

    async def _find_evidence(self, broken) -> str:
        while (now := clock.monotonic()) - broken.since < _LOOK_SECONDS:
            if broken.due and max(broken.due[0], broken.tried_at + _TRY_EVERY) <= now:
                broken.tried_at = now
                broken.due = [at for at in broken.due if at > now]
                if await self._is_gone(broken):
                    return NOT_LISTENING
            if found := broken.target.evidence():
                return found
            wait = broken.due[0] - now if broken.due else _LOOK_EVERY
            await asyncio.sleep(min(max(wait, _TRY_EVERY / 2), _LOOK_EVERY))
        return ""

    async def _is_gone(self, broken) -> bool:
        """Try the address; return whether nothing listened there for the second time in a row."""
        refused = await _is_refused(broken.target.address)
        goes_on = broken.target.answered_at() > broken.since + _UNDER_WAY_SECONDS
        broken.refusals = broken.refusals + 1 if refused and not goes_on else 0
        return broken.refusals > 1

    def _note(self, broken, evidence):
        self._clear_answered(broken)
        target, now = broken.target, clock.monotonic()
        self._ended[target.life] = (evidence, now)
        if len(self._ended) > _REMEMBERED:
            self._ended.popitem(last=False)
        left = self._left.pop(target.life, ())
        runs = [
            *(run for _, run in broken.runs),
            *(run for at, run in left if now - at <= _LEFT_SECONDS),
        ]
        metrics.target_ends_total.inc({"pool": target.pool})
        decision(
            "target-ended",
            target=target.life,
            pool=target.pool,
            evidence=evidence,
            age=round(now - broken.since, 3),
            runs=len(runs),
        )
        for run in runs:
            self._guard.ended(run, target.pool, target.life, evidence)


async def _is_refused(address) -> bool:
    """Return whether nothing listens at IP:PORT; an address that is silent proves nothing."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(_CONNECT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError, ValueError) as error:
        logger.debug("no sign of a target", extra={"address": address, "why": str(error)})
        return False
    writer.close()
    return False
