"""Measure the cost of the gateway directory during a rolling restart of gateways.

    python -m benchmarks.directory [GATEWAYS] [RESTARTS]

Gateways in one process watch one control daemon; one gateway is restarted every 0.4 s.
The output has bytes a second for a gateway that is not restarted, and the control daemon's
processor time for building and encoding replies.
"""

import asyncio
import sys
import time

from tests.support.directory_site import Site

_RESTART_INTERVAL_SECONDS = 0.4
_DRAIN_SECONDS = 1.2


async def measure(gateways: int, restarts: int) -> dict[str, float]:
    """Return the figures of one rolling restart; bytes and seconds are per second."""
    site = Site(gateways)
    await site.settle(60.0)
    steady = site.gateways[restarts:]
    before = [(g.directory_bytes, g.reply_bytes, g.update_count) for g in steady]
    control, began, used = site.control_seconds, time.perf_counter(), time.process_time()
    await site.restart_in_turn(restarts, _RESTART_INTERVAL_SECONDS, _DRAIN_SECONDS)
    seconds = time.perf_counter() - began
    figures = {
        "seconds": seconds,
        "directory bytes/s": _mean(g.directory_bytes for g in steady),
        "all bytes/s": _mean(g.reply_bytes for g in steady),
        "replies with updates/s": _mean(g.update_count for g in steady),
    }
    for name, index in (
        ("directory bytes/s", 0),
        ("all bytes/s", 1),
        ("replies with updates/s", 2),
    ):
        figures[name] = (figures[name] - _mean(b[index] for b in before)) / seconds
    figures["directory bytes a restart"] = figures["directory bytes/s"] * seconds / restarts
    figures["control replies, s/s"] = (site.control_seconds - control) / seconds
    figures["whole process, s/s"] = (time.process_time() - used) / seconds
    await site.settle(20.0)
    await site.stop()
    return figures


def _mean(values):
    values = list(values)
    return sum(values) / len(values)


def main() -> None:
    """Print the figures."""
    gateways = int(sys.argv[1]) if len(sys.argv) > 1 else 195
    restarts = int(sys.argv[2]) if len(sys.argv) > 2 else 20
    for name, value in asyncio.run(measure(gateways, restarts)).items():
        print(f"{name:26} {value:12.3f}")


if __name__ == "__main__":
    main()
