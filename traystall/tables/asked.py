"""Backoff and drain requests of one incarnation of a target. Times are monotonic seconds."""

import msgspec

# Number of requests in flight to a target after its backoff period until one of them succeeds.
# Otherwise all waiting requests would arrive at once and overload the target again.
FIRST_AFTER_REST = 2


class Asked(msgspec.Struct):
    """The backoff period that one incarnation of a target requested, and whether it is leaving.

    Unlike measured state, these requests are always honoured: no failure evidence overrides them,
    and a later request never shortens the period. They apply to this process and this incarnation
    only. `request` is the id of the request whose response asked for the backoff.
    """

    rest_until: float = float("-inf")
    leaves: bool = False
    request: str = ""
    # Whether no request has succeeded since the backoff period, and the number in flight since.
    is_returning: bool = False
    first: int = 0

    def rests(self, now: float) -> bool:
        """Return whether the backoff period lasts, in which no request of any type is sent."""
        return now < self.rest_until

    def may_get_work(self, now: float) -> bool:
        """Return whether new work may be sent now."""
        if self.leaves or self.rests(now):
            return False
        return not self.is_returning or self.first < FIRST_AFTER_REST

    def ask_rest(self, seconds: float, request: str, now: float) -> bool:
        """Start or extend the backoff period; return whether its end is later than before."""
        until = now + seconds
        if until <= self.rest_until:
            return False
        self.rest_until = until
        self.request = request
        self.is_returning = True
        return True

    def on_sent(self) -> bool:
        """Record a request to send; return whether it counts against the limit after a backoff."""
        self.first += self.is_returning
        return self.is_returning

    def on_over(self, was_first: bool) -> None:
        """Record the end of a request; `was_first` is the result of `on_sent`."""
        self.first -= was_first

    def on_answer(self, now: float) -> None:
        """Record a response without a backoff request, which ends the limit after a backoff."""
        if not self.rests(now):
            self.is_returning = False

    def lift(self) -> bool:
        """Cancel a backoff period for an operator; return whether there was one."""
        found = self.rest_until > float("-inf")
        self.rest_until = float("-inf")
        self.is_returning = False
        return found

    def for_next_life(self, same_process: bool) -> "Asked":
        """Return the state for the next incarnation, with the backoff if the process is the same.

        An incarnation may become known only after its first responses.
        """
        return Asked(self.rest_until, False, self.request) if same_process else Asked()
