"""Run one pass-through gateway in a separate process and print its configuration events.

Started by `benchmarks.transfer`. Each line of standard input is one JSON command: `start` (with
the gateway's arguments), `stop` or `sample`. Each line of standard output is one JSON object:
`done` after a command, and the decisions `transfer` and `configuration` as they are logged. `at`
is the machine's monotonic clock and `cpu` this process's processor time, both in seconds.
"""

import asyncio
import json
import logging
import sys
import time

from benchmarks.transfer_routes import documents
from traystall.conf.settings import load
from traystall.core.logs import DECISION_LOGGER
from traystall.passthrough.daemon import PassGateway
from traystall.passthrough.dialect import HeaderNames, PlainStageDialect
from traystall.passthrough.settings import SETTINGS, check_gateway

_PRINTED_EVENTS = {"transfer", "configuration"}
_FIELDS = ("number", "full", "whole", "bytes", "size", "seconds", "failures")


def print_event(event: str, **fields) -> None:
    """Print one event as a JSON object."""
    line = {"event": event, "at": time.monotonic(), "cpu": time.process_time(), **fields}
    print(json.dumps(line), flush=True)


class DecisionPrinter(logging.Handler):
    """Print the logged decisions about configurations."""

    def emit(self, record):
        if record.getMessage() in _PRINTED_EVENTS:
            found = {name: getattr(record, name) for name in _FIELDS if hasattr(record, name)}
            print_event(record.getMessage(), **found)


async def run() -> None:
    """Execute commands until the input ends."""
    reader = asyncio.StreamReader()
    protocol = asyncio.StreamReaderProtocol(reader)
    await asyncio.get_running_loop().connect_read_pipe(lambda: protocol, sys.stdin)
    gateway = None
    print_event("done")
    while line := await reader.readline():
        command = json.loads(line)
        if command["do"] == "start":
            settings = load("traystall-pass", SETTINGS, [check_gateway], command["argv"], {})
            gateway = PassGateway(settings, documents.translate, HeaderNames(), PlainStageDialect())
            print_event("starting")
            await gateway.start()
        elif command["do"] == "stop":
            await gateway.stop()
        print_event("done")


def main() -> None:
    """Run until the input ends."""
    logger = logging.getLogger(DECISION_LOGGER)
    logger.setLevel(logging.INFO)
    logger.addHandler(DecisionPrinter())
    asyncio.run(run())


if __name__ == "__main__":
    main()
