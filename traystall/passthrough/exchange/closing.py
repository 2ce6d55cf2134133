"""Tell the end of a response that lasts until its connection closes from the end of its target.

A kernel closes the connections of a killed process in order, so the close alone does not tell.
"""

from traystall.core.peer_timeout import PeerTimeout
from traystall.passthrough.exceptions import ConnectFailed, ConnectionBroken
from traystall.passthrough.exchange.connection import ResponseHead
from traystall.passthrough.health.board import TargetBoard, TargetView

# A target that accepts no connection for this long may be full or silent, and counts as running.
_CONNECT_SECONDS = 0.3
# A process that ends may close its connections this long before its listening socket, which resets
# the connections that it has not accepted.
_SETTLE_SECONDS = 0.05
_CONNECTIONS_TRIED = 3
_NOT_LISTENING = "nothing listens at its address"


async def require_running_target(
    board: TargetBoard, view: TargetView, head: ResponseHead | None
) -> None:
    """Raise ConnectionBroken if a response has ended with the end of its target.

    A target that is leaving may end right after its last response, so its closes count as ends.
    """
    if head is None or not head.until_close or not view.is_ready:
        return
    evidence = board.end_evidence(view) or await _find_refusal(view)
    if evidence:
        raise ConnectionBroken(f"The target has ended: {evidence}.", sent=True)


async def _find_refusal(view: TargetView) -> str:
    """Replace the connection that has closed; return why the target must have ended, or ""."""
    for _ in range(_CONNECTIONS_TRIED):
        try:
            async with PeerTimeout(_CONNECT_SECONDS):
                if await view.connections.replace_closed(_SETTLE_SECONDS):
                    return ""
        except TimeoutError:
            return ""
        except ConnectFailed as error:
            if error.refused:
                return _NOT_LISTENING
            # A reset may come while the connection is being opened, too.
    return ""
