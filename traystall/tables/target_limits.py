"""The rate limit of one incarnation of a target for all gateways. Times are monotonic seconds."""

import msgspec

# The end of a limit that another process reports counts as this much older, because the delay of
# the message isn't included in its age.
REMOTE_MARGIN_SECONDS = 0.5
# Later responses that confirm the end of a limit are distributed for this long, because other
# processes may discard the first one as too old.
_CONFIRM_WINDOW_SECONDS = 2.0


class TargetLimit(msgspec.Struct):
    """The limit of one incarnation of a target as this process knows it.

    A limit applies from the first response that announces it. It ends with a response without a
    limit, if its request was sent later than that of the last announcement. `per_second` is None
    without a limit.
    """

    per_second: float | None = None
    # Send times of the requests whose responses announced the limit last and ended it.
    sent_at: float = float("-inf")
    ended_at: float = float("-inf")
    since: float = float("-inf")
    first_ended_at: float = float("-inf")
    # Source of the limit: the id of a request of this process, or the gateway that reported it.
    source: str = ""
    # No permit is requested before these times: for work and for optional requests.
    closed_until: float = float("-inf")
    spare_closed_until: float = float("-inf")
    # No gateway grants permits before this time, as all lenders of the target have said.
    unlent_until: float = float("-inf")

    @property
    def is_limited(self) -> bool:
        """Return whether the target has a limit."""
        return self.per_second is not None

    @property
    def has_been_limited(self) -> bool:
        """Return whether the target has or had a limit."""
        return self.is_limited or self.ended_at > float("-inf")

    @property
    def opens_at(self) -> float:
        """Return when a permit may be available again, if there is a limit."""
        return max(self.closed_until, self.unlent_until)

    def is_closed(self, now: float) -> bool:
        """Return whether no work may be sent now because no permit is available."""
        return self.is_limited and now < self.opens_at

    def is_unlent(self, now: float) -> bool:
        """Return whether no gateway grants permits now."""
        return self.is_limited and now < self.unlent_until

    def name(self, per_second: float, sent_at: float, source: str, now: float) -> bool:
        """Apply a response that announces a limit; return whether the limit changed.

        After an end, the limit applies even if its request was sent before that end: the response
        itself is more recent.
        """
        if self.is_limited and sent_at < self.sent_at:
            return False
        changed = self.per_second != per_second
        if not self.is_limited:
            self.since = now
        if changed:
            self.source = source
        self.per_second = per_second
        self.sent_at = sent_at
        return changed

    def end(self, sent_at: float) -> bool:
        """Apply a response without a limit; return whether it ended a limit.

        The response to an older request may predate the announcement of the limit.
        """
        if not self.is_limited or sent_at <= self.sent_at:
            return False
        self.per_second = None
        self.ended_at = self.first_ended_at = sent_at
        self.closed_until = self.spare_closed_until = self.unlent_until = float("-inf")
        return True

    def forget(self) -> None:
        """Reset the state for a new incarnation, which hasn't announced anything yet."""
        self.per_second = None
        self.sent_at = self.ended_at = self.first_ended_at = float("-inf")
        self.closed_until = self.spare_closed_until = self.unlent_until = float("-inf")

    def confirm_end(self, sent_at: float) -> bool:
        """Apply a further response without a limit; return whether to distribute it."""
        if (
            self.is_limited
            or not self.ended_at < sent_at < self.first_ended_at + _CONFIRM_WINDOW_SECONDS
        ):
            return False
        self.ended_at = sent_at
        return True

    def merge_remote(
        self, per_second: float | None, sent_at: float, source: str, now: float
    ) -> bool:
        """Merge the limit that another process reports; return whether the limit changed.

        A repeated report of the same limit is ignored. Otherwise a report that circulates between
        processes would become more recent each time.
        """
        if per_second is None:
            return self.end(sent_at - REMOTE_MARGIN_SECONDS)
        if not self.is_limited and sent_at <= self.ended_at:
            return False
        is_same = per_second == self.per_second
        if is_same and sent_at < self.sent_at + REMOTE_MARGIN_SECONDS:
            return False
        return self.name(per_second, sent_at, source, now)
