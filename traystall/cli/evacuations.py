"""Orders to evacuate or restore a data centre, and waiting until every gateway obeys."""

import asyncio

from traystall.cli.client import ControlClient, InDoubt
from traystall.core import clock
from traystall.rpc.gen.wire import ttypes

_POLL_SECONDS = 0.1


async def carry_out(
    client: ControlClient, request: ttypes.EvacuateRequest, wait_seconds: float | None
) -> dict:
    """Return the document of an order that was acknowledged.

    With `wait_seconds` return only once all live gateways obey it; raise InDoubt if
    some don't by then. An order may be sent again in any number.
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
