"""Random printable identifiers, short enough for log lines and headers."""

import secrets

_ID_BYTES = 10


def new_id() -> str:
    """Return a new random identifier of 20 hexadecimal digits."""
    return secrets.token_hex(_ID_BYTES)


def attempt_id(request_id: str, stage: str, attempt: int) -> str:
    """Return the identifier of one attempt at one stage of one request."""
    return f"{request_id}.{stage}.{attempt}"
