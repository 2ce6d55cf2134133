"""Simulated gateways that share the announced limit of one target, on a stepped clock.

Two of the gateways are lenders: they grant permits for requests to the target. Links deliver at
once, or time out if a gateway is cut off or has ended.
"""

import random
from contextlib import suppress

from traystall.core import clock
from traystall.core.exceptions import RpcTimeout
from traystall.permits.exceptions import PermitDenied
from traystall.permits.lenders import SETTLE_SECONDS
from traystall.permits.permits import Permits
from traystall.rpc.gen.wire.ttypes import PermitRequest, PermitReturn
from traystall.systems.target_limits import AnnouncedLimit
from traystall.tables.gateways import GatewayRow

LIFE = "target-1"
PLACE = "here"


class _Link:
    def __init__(self, site, own, name):
        self._site, self._own, self._name = site, own, name
        self.last_received_at = float("-inf")

    async def call(self, request, timeout):
        return self._deliver(request)

    async def send(self, message):
        self._deliver(message)

    def _deliver(self, message):
        self._site.messages += 1
        peer = self._site.gateways.get(self._name)
        if peer is None or {self._own, self._name} & self._site.cut:
            raise RpcTimeout("no answer")
        if isinstance(message, PermitRequest):
            return peer.grant(message)
        if isinstance(message, PermitReturn):
            return peer.on_permit_returned(message)
        return peer.merge_limits(message)


class _Links:
    def __init__(self, site, own):
        self._site, self._own = site, own

    def link(self, address):
        return _Link(self._site, self._own, address)


class LendingSite:
    """Run gateways that all know of a limit; `sent` has each request with its gateway."""

    def __init__(self, monkeypatch_clock, count, limit, seed=0):
        self.now = 1000.0
        monkeypatch_clock(lambda: self.now)
        self.random = random.Random(seed)
        self.limit = limit
        self.gateways: dict[str, Permits] = {}
        self.cut: set[str] = set()
        self.messages = 0
        # (time, gateway)
        self.sent: list[tuple[float, str]] = []
        self.denied = 0
        self.rows: list[GatewayRow] = []
        for number in range(count):
            self.add(f"g-{number}")
        self.review()
        self.now += SETTLE_SECONDS + 0.1
        self.review()

    def add(self, name):
        """Start a gateway; the others list it at once."""
        permits = Permits(name, lambda: self.rows, self.random)
        permits.links = _Links(self, name)
        self.gateways[name] = permits
        self.rows.append(
            GatewayRow(name, name, PLACE, "", name, 1, "serving", self.now, False, lends=True)
        )
        if self.limit is not None:
            permits.observe_answer(LIFE, AnnouncedLimit(self.limit), self.now, "r")

    def end(self, name):
        """End a gateway; the others list it until `unlist` is called."""
        del self.gateways[name]

    def unlist(self, name):
        """Remove a gateway from the directory."""
        self.rows = [row for row in self.rows if row.identity != name]

    def review(self):
        """Update the directory at all gateways; a gateway that is cut off keeps its old one."""
        for name, permits in self.gateways.items():
            if name not in self.cut:
                permits.lender_ranking.note(self.rows, self.now)

    def lenders(self):
        """Return the names of the two lenders."""
        return next(iter(self.gateways.values())).lender_ranking.lenders(LIFE, PLACE)

    async def ask(self, name, patience=0.0):
        """Send one request through a gateway if it gets a permit; return whether it was sent."""
        permits = self.gateways[name]
        if not permits.limit(LIFE).is_limited:
            self.sent.append((self.now, name))
            permits.observe_answer(LIFE, AnnouncedLimit(self.limit), self.now, "r")
            return True
        with suppress(PermitDenied):
            permit = await permits.take(LIFE, PLACE, patience)
            self.sent.append((max(self.now, permit.valid_from), name))
            # The response announces the limit again, or none.
            permits.observe_answer(LIFE, AnnouncedLimit(self.limit), self.now, "r")
            return True
        self.denied += 1
        return False

    async def press(self, seconds, per_second, weights=None, patience=0.0):
        """Generate requests for `seconds`, spread over gateways by `weights` (default: evenly)."""
        names = list(self.gateways)
        ends = self.now + seconds
        reviewed = self.now
        while (gap := self.random.expovariate(per_second)) and self.now + gap < ends:
            self.now += gap
            if self.now - reviewed > 0.2:
                reviewed = self.now
                self.review()
            (name,) = self.random.choices(names, weights)
            if name in self.gateways:
                await self.ask(name, patience)
        self.now = ends
        self.review()

    def most_within(self, seconds, excused=()):
        """Return the largest number of requests sent in any span of `seconds`."""
        times = sorted(at for at, name in self.sent if name not in excused)
        ends, most = 0, 0
        for number, at in enumerate(times):
            while ends < len(times) and times[ends] < at + seconds:
                ends += 1
            most = max(most, ends - number)
        return most


def clock_of(monkeypatch):
    """Return a function that replaces the monotonic clock."""
    return lambda now: monkeypatch.setattr(clock, "monotonic", now)
