"""What one life of a target has asked of this process. Times are monotonic seconds."""

import msgspec

# So many requests may be under way to a target that has rested until one of them is answered:
# else all that waited comes at once, which is what made it ask for rest.
MAX_IN_FLIGHT_AFTER_BACKOFF = 2


class Availability(msgspec.Struct):
    """Hold what one life of a target has asked: to be left alone for a while, or for good.

    That is a promise, unlike what was learned of it: no other doubt overrules it, and nothing later
    shortens it. It binds the process that was asked and that one life. `request` is the id of the
    request whose answer asked for the rest.
    """

    backoff_until: float = float("-inf")
    leaves: bool = False
    request: str = ""
    # Whether nothing was answered since the rest, and how many requests are under way since.
    is_recovering: bool = False
    recovery_in_flight: int = 0

    def is_backing_off(self, now: float) -> bool:
        """Return whether nothing at all may be sent now."""
        return now < self.backoff_until

    def may_send_work(self, now: float) -> bool:
        """Return whether new work may be sent now."""
        if self.leaves or self.is_backing_off(now):
            return False
        return not self.is_recovering or self.recovery_in_flight < MAX_IN_FLIGHT_AFTER_BACKOFF

    def request_backoff(self, seconds: float, request: str, now: float) -> bool:
        """Take in that it wants nothing for so long; return whether that is longer than known."""
        until = now + seconds
        if until <= self.backoff_until:
            return False
        self.backoff_until = until
        self.request = request
        self.is_recovering = True
        return True

    def on_sent(self) -> bool:
        """Take in that a request is about to be sent; return whether it is one of the first."""
        self.recovery_in_flight += self.is_recovering
        return self.is_recovering

    def on_finished(self, was_first: bool) -> None:
        """Take in that a request is over, `was_first` as `on_sent` said of it."""
        self.recovery_in_flight -= was_first

    def on_answer(self, now: float) -> None:
        """Take in an answer that asks for nothing: after a rest all may come again."""
        if not self.is_backing_off(now):
            self.is_recovering = False

    def lift(self) -> bool:
        """Forget a rest, as an operator orders; return whether there was one."""
        found = self.backoff_until > float("-inf")
        self.backoff_until = float("-inf")
        self.is_recovering = False
        return found

    def for_next_incarnation(self, same_process: bool) -> "Availability":
        """Return what holds for the next life, which has asked for the rest if it is the same.

        A life may be known late, after its first answers have come.
        """
        return (
            Availability(self.backoff_until, False, self.request)
            if same_process
            else Availability()
        )
