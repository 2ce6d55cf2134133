"""Evacuate or restore a data centre, and wait until every gateway has applied the change."""

import asyncio

from traystall.cli.client import ControlClient, InDoubt
from traystall.core import clock
from traystall.rpc.gen.wire import ttypes

_POLL_SECONDS = 0.1


async def send_evacuation_order(
    client: ControlClient, request: ttypes.EvacuateRequest, wait_seconds: float | None
) -> dict:
    """Send an evacuation order and return the result document.

    With `wait_seconds`, wait until all live gateways have applied the order; raise InDoubt if
    some have not by then. The order is idempotent and may be sent again.
    """
    reply = await client.call_leader(request)
    result = {
        "changed": reply.changed,
        "version": reply.evacuated.version,
        "evacuated": list(reply.evacuated.data_centres or ()),
    }
    if wait_seconds is not None:
        version = reply.evacuated.version
        result["in_force"] = await _wait_in_force(client, request.token, version, wait_seconds)
    return result


async def _wait_in_force(client, token, version, seconds) -> list[str]:
    deadline = clock.monotonic() + seconds
    while True:
        reply = await client.call_leader(ttypes.StatusRequest(token=token))
        gateways = reply.gateways or []
        lagging = [g.instance for g in gateways if (g.evacuation_version or 0) < version]
        if not lagging:
            return [g.instance for g in gateways]
        if clock.monotonic() > deadline:
            raise InDoubt(f"Acknowledged, but not yet obeyed at: {', '.join(lagging)}.")
        await asyncio.sleep(_POLL_SECONDS)
