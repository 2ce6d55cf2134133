"""Tell the end of a response that lasts until its connection closes from the end of its target.

A kernel closes the connections of a killed process in order, so the close alone does not tell.
"""

import asyncio

from traystall.core.peer_timeout import PeerTimeout
from traystall.passthrough.exceptions import ConnectFailed, ConnectionBroken
from traystall.passthrough.health.board import TargetBoard, TargetView
from traystall.registry.models import RegisteredState

# A target that has accepted no connection after this time, also through other gateways, may be full
# or silent, and counts as running. Direct connections and tunnels have shorter timeouts.
_PROBE_SECONDS = 0.8
# A process that ends may close its connections this long before its listening socket, which resets
# the connections that it has not accepted.
_SETTLE_SECONDS = 0.05
# An announced end is known at all gateways after this time, also of another region.
_ANNOUNCEMENT_SECONDS = 0.25
_NOT_LISTENING = "nothing listens at its address"


async def require_running_target(
    board: TargetBoard, view: TargetView, remaining_seconds: float
) -> None:
    """Raise ConnectionBroken if a response was ended by the end of its target.

    A target that has announced its end may end right after its last response, so its closes count
    as ends. A response is not lost because the check would take longer than `remaining_seconds`.
    """
    if _may_end(view):
        return
    evidence = board.end_evidence(view)
    if not evidence and remaining_seconds > 0:
        evidence = await _find_refusal(view, min(_PROBE_SECONDS, remaining_seconds))
    if evidence and view.report.state is RegisteredState.DRAINING:
        # Its end may have been announced, and the announcement be on its way.
        await asyncio.sleep(max(0.0, min(_ANNOUNCEMENT_SECONDS, remaining_seconds)))
    if evidence and not _may_end(view):
        raise ConnectionBroken(f"The target has ended: {evidence}.", sent=True)


def _may_end(view: TargetView) -> bool:
    """Return whether a target may end in order now.

    One that reports `draining` announces its end as well before it ends. Of one that says only in
    its responses that it leaves nothing more is known.
    """
    state = view.report.state
    if state is RegisteredState.READY:
        return view.availability.leaves
    return state is RegisteredState.GONE


async def _find_refusal(view: TargetView, seconds: float) -> str:
    """Open connections to a target; return why it must have ended, or an empty string."""
    try:
        async with PeerTimeout(seconds):
            if await view.connections.probe(_SETTLE_SECONDS):
                return ""
            # A listening socket that was closed has reset the first one.
            await view.connections.probe(0.0)
    except TimeoutError:
        return ""
    except ConnectFailed as error:
        return _NOT_LISTENING if error.refused else ""
    return ""
