"""HTTP API of a control daemon for targets that register themselves.

PUT /v1/targets/{identity}     register the target, or update its report (JSON)
DELETE /v1/targets/{identity}  unregister the target

A target that leaves gets 200 only when this is kept, and 503 if it can't be kept now.
"""

from collections.abc import Awaitable
from typing import Annotated

import msgspec

from traystall.control.exceptions import DepartureNotKept, InvalidTarget
from traystall.control.registrations import Registrations
from traystall.http.exceptions import HttpError
from traystall.http.messages import Response, json_response
from traystall.http.request import Request
from traystall.http.router import Router
from traystall.registry.models import MAX_START_MS, RegisteredState, TargetReport

_MAX_BODY_BYTES = 64 * 1024


class _Report(msgspec.Struct, forbid_unknown_fields=True):
    """Hold the body of a report; the fields are those of `TargetReport`."""

    pool: str
    address: str
    data_centre: str = ""
    version: str = ""
    slots: int = 1
    state: RegisteredState = RegisteredState.READY
    sequence: int = 0
    warming: float = 0.0
    started: Annotated[int, msgspec.Meta(ge=0, le=MAX_START_MS)] = 0


def add_target_calls(router: Router, registrations: Registrations) -> None:
    """Add the routes of this API to `router`."""

    async def report(request: Request, identity: str) -> Response:
        try:
            body = msgspec.json.decode(await request.read(_MAX_BODY_BYTES), type=_Report)
        except (msgspec.DecodeError, HttpError) as error:
            status = error.status if isinstance(error, HttpError) else 400
            return json_response({"error": f"The report can't be read: {error}."}, status)
        target = TargetReport(identity=identity, **msgspec.structs.asdict(body))
        return await _acknowledge(registrations.report(target))

    async def leave(request: Request, identity: str) -> Response:
        return await _acknowledge(registrations.leave(identity))

    router.add("PUT", "/v1/targets/{}", report)
    router.add("DELETE", "/v1/targets/{}", leave)


async def _acknowledge(registration: Awaitable[None]) -> Response:
    try:
        await registration
    except InvalidTarget as error:
        return json_response({"error": str(error)}, 400)
    except DepartureNotKept as error:
        return json_response({"error": str(error)}, 503)
    return json_response({})
