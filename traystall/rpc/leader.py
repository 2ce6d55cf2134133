"""Find the leader among the control daemons and call it."""

import asyncio

from traystall.core import clock
from traystall.core.exceptions import RpcError, RpcRefused
from traystall.rpc.client import LinkPool

_CALL_TIMEOUT_SECONDS = 3.0
_RETRY_DELAY_SECONDS = 0.1


class LeaderUnavailable(RpcError):
    """No reply arrived in time; `in_doubt` tells whether the command may be committed."""

    def __init__(self, in_doubt: bool):
        self.in_doubt = in_doubt
        super().__init__("The leader did not answer in time.")


class LeaderLink:
    """Call the current leader; the list `controls` of control daemons may change during a call."""

    def __init__(
        self, links: LinkPool, controls: list[str], call_seconds: float = _CALL_TIMEOUT_SECONDS
    ):
        self._links = links
        self._controls = controls
        self._call_seconds = call_seconds
        self._leader = ""

    async def call(self, request, seconds: float):
        """Return the leader's reply; raise LeaderUnavailable if none arrives in time.

        The control daemons are tried in turn, so `request` must be safe to send again.
        """
        deadline = clock.monotonic() + seconds
        in_doubt = False
        address = self._leader or self._next_address("")
        while (left := deadline - clock.monotonic()) > 0:
            try:
                reply = await self._links.link(address).call(request, min(left, self._call_seconds))
                self._leader = address
                return reply
            except RpcRefused as error:
                in_doubt = in_doubt or error.code not in ("not-leader", "refused-link")
                hint = error.detail if error.code == "not-leader" else ""
                address = hint or self._next_address(address)
            except RpcError:
                in_doubt = True
                address = self._next_address(address)
            await asyncio.sleep(min(_RETRY_DELAY_SECONDS, max(0.0, deadline - clock.monotonic())))
        raise LeaderUnavailable(in_doubt)

    def _next_address(self, address):
        if address not in self._controls:
            return self._controls[0]
        position = self._controls.index(address)
        return self._controls[(position + 1) % len(self._controls)]
