"""Which direct paths to targets are broken, and which gateways can tunnel to them.

Performs no I/O; times are monotonic seconds.
"""

from collections.abc import Sequence

import msgspec

from traystall.tables.gateways import GatewayRow

# Number of gateways that are asked for one tunnel.
MAX_GATEWAYS_ASKED = 3
# Interval between direct attempts at a target whose path is broken, before jitter.
_PROBE_INTERVAL_SECONDS = 1.0
# A target that neither this gateway nor others reach is tried only directly for this long.
_UNREACHABLE_SECONDS = 1.0
# A gateway that does not respond, or has no path to a target either, is asked last for this long.
_GATEWAY_FAILURE_SECONDS = 2.0
# A gateway that has just opened a tunnel is asked first for this long.
_GATEWAY_SUCCESS_SECONDS = 5.0
# A broken path that nobody has used for this long is forgotten.
_FORGET_SECONDS = 30.0
# Above this number of unreachable targets, those that may be tried again are forgotten.
_MAX_REMEMBERED_TARGETS = 1000


class _BrokenPath(msgspec.Struct):
    since: float
    probe_at: float
    used_at: float


class TargetPaths:
    """Track broken paths by target, and the results of asking gateways for tunnels."""

    def __init__(self, random):
        self._random = random
        self._broken: dict[str, _BrokenPath] = {}
        self._unreachable_until: dict[str, float] = {}
        # By gateway, when its last tunnel stops counting, and until when each failure counts.
        # Failures are kept by target, or under "" if the gateway itself did not respond.
        self._succeeded_until: dict[str, float] = {}
        self._failed_until: dict[str, dict[str, float]] = {}

    def is_broken(self, target: str) -> bool:
        """Return whether the direct path to a target is broken while other gateways reach it."""
        return target in self._broken

    def broken_since(self) -> list[float]:
        """Return the times at which the broken paths were found to be so."""
        return [path.since for path in self._broken.values()]

    def may_tunnel(self, target: str, now: float) -> bool:
        """Return whether other gateways may be asked for a tunnel to a target."""
        return now >= self._unreachable_until.get(target, float("-inf"))

    def claim_probe(self, target: str, now: float) -> bool:
        """Return whether the next attempt goes directly; true for one caller in each interval."""
        path = self._broken.get(target)
        if path is None:
            return True
        path.used_at = now
        if now < path.probe_at:
            return False
        path.probe_at = now + _PROBE_INTERVAL_SECONDS * self._random.uniform(0.75, 1.25)
        return True

    def on_direct(self, target: str) -> bool:
        """Record a direct connection; return whether it restored a broken path."""
        self._unreachable_until.pop(target, None)
        return self._broken.pop(target, None) is not None

    def on_tunnel(self, target: str, gateway: str, now: float) -> bool:
        """Record a tunnel where a direct connection failed; return whether that broke the path."""
        self._succeeded_until[gateway] = now + _GATEWAY_SUCCESS_SECONDS
        self._failed_until.pop(gateway, None)
        self._unreachable_until.pop(target, None)
        if target in self._broken:
            return False
        self._forget(now)
        probe_at = now + _PROBE_INTERVAL_SECONDS * self._random.uniform(0.75, 1.25)
        self._broken[target] = _BrokenPath(now, probe_at, now)
        return True

    def on_unreachable(self, target: str, now: float) -> None:
        """Record that neither this gateway nor those it asked reach a target."""
        self._unreachable_until[target] = now + _UNREACHABLE_SECONDS
        self._broken.pop(target, None)
        if len(self._unreachable_until) > _MAX_REMEMBERED_TARGETS:
            self._forget(now)

    def on_gateway_failure(self, gateway: str, target: str, now: float) -> None:
        """Record that a gateway does not reach `target`, or does not respond if that is empty."""
        self._failed_until.setdefault(gateway, {})[target] = now + _GATEWAY_FAILURE_SECONDS
        if not target:
            self._succeeded_until.pop(gateway, None)

    def choose_gateways(
        self, target: str, rows: Sequence[GatewayRow], data_centre: str, now: float
    ) -> list[GatewayRow]:
        """Return the gateways to ask for a tunnel to a target in `data_centre`, in order.

        Those that have failed for this target are left out. Those that have just opened a tunnel
        come first, then those with the fewest failures, then those beside the target.
        """
        ranked = []
        for row in rows:
            failures = self._failures(row.identity, now)
            if target in failures or "" in failures:
                continue
            has_succeeded = now < self._succeeded_until.get(row.identity, float("-inf"))
            is_beside = row.data_centre == data_centre
            rank = (not has_succeeded, len(failures), not is_beside, self._random.random())
            ranked.append((rank, row))
        ranked.sort(key=lambda item: item[0])
        return [row for _, row in ranked[:MAX_GATEWAYS_ASKED]]

    def _failures(self, gateway, now) -> set[str]:
        known = self._failed_until.get(gateway, {})
        for target, until in list(known.items()):
            if until <= now:
                del known[target]
        return set(known)

    def _forget(self, now):
        """Drop what concerns targets and gateways that may be gone."""
        unused = [t for t, path in self._broken.items() if now - path.used_at > _FORGET_SECONDS]
        for target in unused:
            del self._broken[target]
        for table in (self._unreachable_until, self._succeeded_until):
            for name, until in list(table.items()):
                if until <= now:
                    del table[name]
        for gateway in list(self._failed_until):
            if not self._failures(gateway, now):
                del self._failed_until[gateway]
