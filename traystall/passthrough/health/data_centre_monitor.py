"""Notice that a whole data centre can't be reached, from a few peers there that can't.

Pure; times are monotonic seconds. Without this each of its targets and gateways
would cost a time-out of its own.
"""

# So many different peers of a data centre that are silent within this time mean the data centre.
_PEERS = 2
_WITHIN_SECONDS = 2.0
_FIRST_SECONDS = 1.0
_MAX_SECONDS = 4.0
# Background probes without an answer keep a data centre out for so long more, and for so long
# in all: its gateways may be lost while its targets are there.
_EXTEND_SECONDS = 1.2
_MAX_EXTENDED_SECONDS = 12.0


class DataCentreMonitor:
    """Collect silent peers by data centre; the own one is never taken for cut off."""

    def __init__(self, own: str):
        self._own = own
        self._silent: dict[str, dict[str, float]] = {}
        self._out_until: dict[str, float] = {}
        self._times_out: dict[str, int] = {}
        self._out_since: dict[str, float] = {}

    def unreachable(self) -> list[str]:
        """Return the data centres that have been out and were not heard of since."""
        return list(self._times_out)

    def extend_outage(self, data_centre: str, now: float) -> None:
        """Keep a data centre out: nobody there has answered a probe."""
        since = self._out_since.get(data_centre)
        if since is None or now - since > _MAX_EXTENDED_SECONDS:
            return
        until = self._out_until.get(data_centre, float("-inf"))
        self._out_until[data_centre] = max(until, now + _EXTEND_SECONDS)

    def on_no_response(self, data_centre: str, peer: str, now: float) -> None:
        """Note that a peer did not answer at all."""
        if data_centre == self._own or self.is_unreachable(data_centre, now):
            return
        peers = self._silent.setdefault(data_centre, {})
        peers[peer] = now
        for name, at in list(peers.items()):
            if now - at > _WITHIN_SECONDS:
                del peers[name]
        again = self._times_out.get(data_centre, 0)
        # One that was out a moment ago needs a single sign to be out again.
        if len(peers) >= _PEERS or again:
            seconds = min(_MAX_SECONDS, _FIRST_SECONDS * 2**again)
            self._out_until[data_centre] = now + seconds
            self._times_out[data_centre] = again + 1
            self._out_since.setdefault(data_centre, now)
            peers.clear()

    def on_response(self, data_centre: str) -> None:
        """Note that a peer answered: its data centre is there."""
        self._silent.pop(data_centre, None)
        self._out_until.pop(data_centre, None)
        self._times_out.pop(data_centre, None)
        self._out_since.pop(data_centre, None)

    def is_unreachable(self, data_centre: str, now: float) -> bool:
        """Return whether a data centre is taken for cut off."""
        return now < self._out_until.get(data_centre, float("-inf"))
