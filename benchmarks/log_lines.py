"""Compare the cost of a log line with a synchronous handler and with a background thread.

    python -m benchmarks.log_lines

The output has the processor time of the whole process for each line, in microseconds, as the
median of several rounds, and the ratio. Lines go to the null device.
"""

import logging
import os
import statistics
import time

from pythonjsonlogger.json import JsonFormatter

from traystall.core.log_writer import BackgroundHandler, LogRateLimiter

_LINES = 5000
_ROUNDS = 7
_PAUSE_EVERY = 50
_PAUSE_SECONDS = 0.001


def main() -> None:
    """Print one line for each handler, and the ratio."""
    null = open(os.devnull, "w")  # noqa: SIM115 - open until the process ends.
    handlers = {
        "synchronous": logging.StreamHandler(null),
        "background thread": BackgroundHandler(null.fileno(), LogRateLimiter(10**9)),
    }
    found = {name: statistics.median(_time_rounds(handler)) for name, handler in handlers.items()}
    for name, seconds in found.items():
        print(f"{name}: {seconds * 1e6:.1f} us a line")
    print(f"ratio: {found['background thread'] / found['synchronous']:.2f}")


def _time_rounds(handler):
    handler.setFormatter(JsonFormatter("%(asctime)s %(levelname)s %(name)s %(message)s"))
    logger = logging.Logger("benchmark")
    logger.addHandler(handler)
    for _ in range(_ROUNDS):
        began = time.process_time()
        for number in range(_LINES):
            fields = {"request": "3df0", "target": "i-1", "seconds": 0.25, "attempt": number}
            logger.info("attempt", extra=fields)
            if number % _PAUSE_EVERY == 0:
                time.sleep(_PAUSE_SECONDS)
        handler.flush()
        yield (time.process_time() - began) / _LINES


if __name__ == "__main__":
    main()
