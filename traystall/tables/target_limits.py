"""What one life of a target takes from all gateways together. Times are monotonic seconds."""

import msgspec

# An end that another process tells counts as so much older, in seconds: its age grows on its way.
TOLD_MARGIN_SECONDS = 0.5
# For so long, in seconds, answers that confirm an end are passed on too: the first may count as too
# old elsewhere.
_CONFIRMED_SECONDS = 2.0


class TargetLimit(msgspec.Struct):
    """Hold the limit of one life of a target as this process knows it.

    It holds from the first answer that names it until an answer without it to a request that was
    sent later than the one whose answer named it last. `per_second` is None without a limit.
    """

    per_second: float | None = None
    # When the request was sent whose answer named it last, and the one whose answer ended it.
    sent_at: float = float("-inf")
    ended_at: float = float("-inf")
    since: float = float("-inf")
    first_ended_at: float = float("-inf")
    # Whose word it is: the id of a request of ours, or the gateway that told it.
    source: str = ""
    # Nothing is asked of the lender before: for work, and for what may as well be left out.
    closed_until: float = float("-inf")
    spare_closed_until: float = float("-inf")

    @property
    def is_limited(self) -> bool:
        """Return whether the target takes only so many."""
        return self.per_second is not None

    @property
    def has_been_limited(self) -> bool:
        """Return whether the target takes only so many, or has done so once."""
        return self.is_limited or self.ended_at > float("-inf")

    def is_closed(self, now: float) -> bool:
        """Return whether no work may be sent now since others have what the target takes."""
        return self.is_limited and now < self.closed_until

    def name(self, per_second: float, sent_at: float, source: str, now: float) -> bool:
        """Take in an answer that names a limit; return whether that changes anything.

        It holds even if it answers a request from before an end: it was given after that.
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
        """Take in an answer without a limit; return whether it has ended one.

        An answer to an older request may have been given before the limit was named.
        """
        if not self.is_limited or sent_at <= self.sent_at:
            return False
        self.per_second = None
        self.ended_at = self.first_ended_at = sent_at
        self.closed_until = self.spare_closed_until = float("-inf")
        return True

    def forget(self) -> None:
        """Forget all: a new life of the target has said nothing yet."""
        self.per_second = None
        self.sent_at = self.ended_at = self.first_ended_at = float("-inf")
        self.closed_until = self.spare_closed_until = float("-inf")

    def confirm_end(self, sent_at: float) -> bool:
        """Take in one more answer without a limit; return whether others should hear of it."""
        if (
            self.is_limited
            or not self.ended_at < sent_at < self.first_ended_at + _CONFIRMED_SECONDS
        ):
            return False
        self.ended_at = sent_at
        return True

    def take_told(self, per_second: float | None, sent_at: float, source: str, now: float) -> bool:
        """Take in what another process knows; return whether that changes anything.

        The same word told to and fro would else become younger each time.
        """
        if per_second is None:
            return self.end(sent_at - TOLD_MARGIN_SECONDS)
        if not self.is_limited and sent_at <= self.ended_at:
            return False
        is_same = per_second == self.per_second
        if is_same and sent_at < self.sent_at + TOLD_MARGIN_SECONDS:
            return False
        return self.name(per_second, sent_at, source, now)
