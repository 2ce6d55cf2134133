"""Detect that a data centre is unreachable when a few of its peers do not respond.

Without this detection, each target and gateway of the data centre would cost a separate timeout.
Performs no I/O; times are monotonic seconds.
"""

from traystall.systems.backoff import backoff_seconds

# A data centre is considered unreachable if this many different peers there do not respond within
# this time.
_SILENT_PEERS = 2
_SILENT_WITHIN_SECONDS = 2.0
# Duration of the first outage; it doubles with each one that follows without a response, up to the
# maximum.
_FIRST_OUTAGE_SECONDS = 1.0
_MAX_OUTAGE_SECONDS = 4.0
# A failed background probe extends the outage by this time. Probes extend an outage no longer than
# the maximum, because they reach only gateways: these may be lost while the targets still run.
_EXTENSION_SECONDS = 1.2
_MAX_EXTENDED_SECONDS = 12.0


class DataCentreMonitor:
    """Track unresponsive peers by data centre; the own one is never considered unreachable."""

    def __init__(self, own: str):
        self._own = own
        self._silent: dict[str, dict[str, float]] = {}
        self._outage_until: dict[str, float] = {}
        self._outage_counts: dict[str, int] = {}
        self._outage_since: dict[str, float] = {}

    def unreachable(self) -> list[str]:
        """Return the data centres with an outage that have not responded since it began."""
        return list(self._outage_counts)

    def extend_outage(self, data_centre: str, now: float) -> None:
        """Extend an outage after a probe that got no response."""
        since = self._outage_since.get(data_centre)
        if since is None or now - since > _MAX_EXTENDED_SECONDS:
            return
        until = self._outage_until.get(data_centre, float("-inf"))
        self._outage_until[data_centre] = max(until, now + _EXTENSION_SECONDS)

    def on_no_response(self, data_centre: str, peer: str, now: float) -> None:
        """Record that a peer did not respond at all."""
        if data_centre == self._own or self.is_unreachable(data_centre, now):
            return
        peers = self._silent.setdefault(data_centre, {})
        peers[peer] = now
        for name, at in list(peers.items()):
            if now - at > _SILENT_WITHIN_SECONDS:
                del peers[name]
        outages = self._outage_counts.get(data_centre, 0)
        # After an earlier outage without a response since, a single silent peer is enough.
        if len(peers) >= _SILENT_PEERS or outages:
            seconds = backoff_seconds(_FIRST_OUTAGE_SECONDS, _MAX_OUTAGE_SECONDS, outages)
            self._outage_until[data_centre] = now + seconds
            self._outage_counts[data_centre] = outages + 1
            self._outage_since.setdefault(data_centre, now)
            peers.clear()

    def on_response(self, data_centre: str) -> None:
        """Record that a peer responded, which ends the outage of its data centre."""
        self._silent.pop(data_centre, None)
        self._outage_until.pop(data_centre, None)
        self._outage_counts.pop(data_centre, None)
        self._outage_since.pop(data_centre, None)

    def is_unreachable(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre is considered unreachable."""
        return now < self._outage_until.get(data_centre, float("-inf"))
