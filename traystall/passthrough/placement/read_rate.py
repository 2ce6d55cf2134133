"""Learn how fast the engines of a pool read prompts (prefill); times are monotonic seconds.

The module does no I/O.
"""

# Assumed prefill rate until the first sample.
DEFAULT_TOKENS_PER_SECOND = 60_000.0
# Shorter prompts give no sample: most of their time is overhead around the prefill.
_MIN_SAMPLE_TOKENS = 1500
# Weight of the newest sample, and bounds of a sample in tokens per second.
_SAMPLE_WEIGHT = 0.1
_MIN_RATE, _MAX_RATE = 10_000.0, 200_000.0
# Time from the end of the prefill to the first event.
_FIRST_EVENT_SECONDS = 0.05


class PrefillRate:
    """Measure prompts that an engine reads alone, from their placement to their first event."""

    def __init__(self):
        self.tokens_per_second = DEFAULT_TOKENS_PER_SECOND
        # The start time and the number of tokens of each prompt being measured, by request.
        self._samples: dict[str, tuple[float, int]] = {}

    def on_placed(self, request_id: str, tokens: int, concurrent: set[str], now: float) -> None:
        """Start to measure a prompt with `tokens` to read, if the engine reads no other prompt.

        `concurrent` holds the requests whose prompts the engine is reading now; their samples are
        dropped.
        """
        for other in concurrent:
            self._samples.pop(other, None)
        if not concurrent and tokens >= _MIN_SAMPLE_TOKENS:
            self._samples[request_id] = (now, tokens)

    def on_first_event(self, request_id: str, now: float) -> None:
        """Update the rate at the first event of a measured request."""
        since, tokens = self._samples.pop(request_id, (now, 0))
        seconds = now - since - _FIRST_EVENT_SECONDS
        if tokens and seconds > 0:
            found = min(_MAX_RATE, max(_MIN_RATE, tokens / seconds))
            self.tokens_per_second += _SAMPLE_WEIGHT * (found - self.tokens_per_second)

    def discard(self, request_id: str) -> None:
        """Drop the sample of a request that ended before its first event."""
        self._samples.pop(request_id, None)
