"""Circuit breakers: stop sending work to a target that fails, however fast it fails.

A slow response isn't a failure: it raises the service ratio in `traystall.systems.speeds`.
"""

from traystall.systems.backoff import backoff_seconds
from traystall.tables.targets import Breaker

FAILURES_TO_OPEN = 3
FIRST_OPEN_SECONDS = 0.5
MAX_OPEN_SECONDS = 10.0


def allows_attempt(breaker: Breaker, now: float) -> bool:
    """Return whether work may be sent; an open breaker allows one probe after its open time."""
    if breaker.failures < FAILURES_TO_OPEN:
        return True
    return now >= breaker.open_until and not breaker.probing


def on_sent(breaker: Breaker) -> None:
    """Record a sent attempt, which is the probe if the breaker is open."""
    if breaker.failures >= FAILURES_TO_OPEN:
        breaker.probing = True


def on_success(breaker: Breaker) -> None:
    """Close the breaker."""
    breaker.failures = 0
    breaker.open_count = 0
    breaker.probing = False


def on_abandoned(breaker: Breaker) -> None:
    """Record an attempt that ended without information about the target."""
    breaker.probing = False


def on_failure(breaker: Breaker, now: float, random) -> None:
    """Count a failure; consecutive ones open the breaker for an exponential, jittered time."""
    breaker.failures += 1
    breaker.probing = False
    if breaker.failures < FAILURES_TO_OPEN:
        return
    seconds = backoff_seconds(FIRST_OPEN_SECONDS, MAX_OPEN_SECONDS, breaker.open_count)
    breaker.open_count += 1
    breaker.open_until = now + seconds * random.uniform(0.75, 1.25)
