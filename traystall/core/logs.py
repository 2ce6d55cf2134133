"""JSON logging, with one record for each routing or placement decision.

Writing never blocks the daemon (see `log_writer`). Callers must not pass request
bodies, prompts or idempotency keys to these functions.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from traystall.core.log_writer import BackgroundHandler

_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
DECISION_LOGGER = "traystall.decisions"

_decisions = logging.getLogger(DECISION_LOGGER)


def configure(level: str, instance: str, data_centre: str) -> None:
    """Send every log record to standard error, as one JSON object per line."""
    handler = BackgroundHandler(sys.stderr.fileno())
    handler.setFormatter(
        JsonFormatter(
            _FORMAT,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"instance": instance, "data_centre": data_centre},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())


def decision(event: str, **fields) -> None:
    """Log one decision; `event` names the decision and `fields` hold its reasons."""
    if _decisions.isEnabledFor(logging.INFO):
        _decisions.info(event, extra=fields)
