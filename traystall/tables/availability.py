"""Backoff and drain requests of one incarnation of a target. Times are monotonic seconds."""

import msgspec

# Number of requests in flight to a target after its backoff period until one of them succeeds.
# Otherwise all waiting requests would arrive at once and overload the target again.
MAX_IN_FLIGHT_AFTER_BACKOFF = 2


class Availability(msgspec.Struct):
    """The backoff period that one incarnation of a target requested, and whether it is leaving.

    Unlike measured state, these requests are always honoured: no failure evidence overrides them,
    and a later request never shortens the period. They apply to this process and this incarnation
    only. `request` is the id of the request whose response asked for the backoff.
    """

    backoff_until: float = float("-inf")
    leaves: bool = False
    request: str = ""
    # Whether no request has succeeded since the backoff period, and the number in flight since.
    is_recovering: bool = False
    recovery_in_flight: int = 0

    def is_backing_off(self, now: float) -> bool:
        """Return whether the target is in its backoff period, during which nothing is sent."""
        return now < self.backoff_until

    def may_send_work(self, now: float) -> bool:
        """Return whether new work may be sent now."""
        if self.leaves or self.is_backing_off(now):
            return False
        return not self.is_recovering or self.recovery_in_flight < MAX_IN_FLIGHT_AFTER_BACKOFF

    def request_backoff(self, seconds: float, request: str, now: float) -> bool:
        """Start or extend the backoff period; return whether its end is later than before."""
        until = now + seconds
        if until <= self.backoff_until:
            return False
        self.backoff_until = until
        self.request = request
        self.is_recovering = True
        return True

    def on_sent(self) -> bool:
        """Record a request to send; return whether it counts against the limit after a backoff."""
        self.recovery_in_flight += self.is_recovering
        return self.is_recovering

    def on_finished(self, was_recovery_attempt: bool) -> None:
        """Record the end of a request; `was_recovery_attempt` is the result of `on_sent`."""
        self.recovery_in_flight -= was_recovery_attempt

    def on_answer(self, now: float) -> None:
        """Record a response without a backoff request, which ends the limit after a backoff."""
        if not self.is_backing_off(now):
            self.is_recovering = False

    def lift(self) -> bool:
        """Cancel a backoff period for an operator; return whether there was one."""
        found = self.backoff_until > float("-inf")
        self.backoff_until = float("-inf")
        self.is_recovering = False
        return found

    def for_next_incarnation(self, same_process: bool) -> "Availability":
        """Return the state for the next incarnation, with the backoff if the process is the same.

        An incarnation may become known only after its first responses.
        """
        return (
            Availability(self.backoff_until, False, self.request)
            if same_process
            else Availability()
        )
