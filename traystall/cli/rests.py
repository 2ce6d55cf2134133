"""The `traystall rests` commands (list, lift) and `traystall limits list`.

A rest is a backoff period that a target requested with Retry-After.
"""

import asyncio
from urllib.parse import quote

from traystall.cli.client import Refused, Unreachable, call_page
from traystall.cli.output import show

_RESTS_PATH = "/v1/rests"
_LIMITS_PATH = "/v1/limits"


class _GatewayCommands:
    """Call the operator endpoints of one pass-through gateway."""

    def __init__(self, secret, output):
        self._secret = secret
        self._output = output

    def _call(self, method, gateway, path):
        status, document = asyncio.run(call_page(method, f"http://{gateway}{path}", self._secret))
        if status == 200:
            return document
        if document is None:
            raise Unreachable(f"The gateway at {gateway} did not return a JSON document.")
        raise Refused(f"{document.get('code')}: {document.get('detail')}")


class Limits(_GatewayCommands):
    """Show the limits that targets set for all gateways, as known to one pass-through gateway."""

    def list(self, gateway):
        """Show the targets that name a limit, as GATEWAY (its health IP:PORT) knows them."""
        show(self._call("GET", gateway, _LIMITS_PATH), self._output)


class Rests(_GatewayCommands):
    """Show and lift the backoff periods that targets requested from one pass-through gateway."""

    def list(self, gateway):
        """Show the targets that rest or leave by their answers to GATEWAY (its health IP:PORT)."""
        show(self._call("GET", gateway, _RESTS_PATH), self._output)

    def lift(self, gateway, target):
        """Let GATEWAY (its health IP:PORT) send to TARGET before it has rested."""
        show(
            self._call("DELETE", gateway, f"{_RESTS_PATH}/{quote(str(target), safe='')}"),
            self._output,
        )
