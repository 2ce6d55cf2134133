"""Handle callers' requests: find the route, check the key, and send exactly one response each."""

import asyncio
import logging

from traystall.core import clock, metrics
from traystall.core.logs import decision
from traystall.http.exceptions import BodyTimeout, HttpError
from traystall.http.messages import Response, text_response
from traystall.http.request import Request
from traystall.passthrough.context import PassContext
from traystall.passthrough.entry.drain import Phase
from traystall.passthrough.entry.messages import CallerRequest
from traystall.passthrough.entry.request import PassRequest, allowed_seconds
from traystall.passthrough.exceptions import Refusal
from traystall.passthrough.exchange.runner import PassRunner
from traystall.routes.matching import allowed_data_centres, choose_pool

_NOT_READY_RETRY_AFTER_SECONDS = 0.5
# Time that requests wait for the first configuration after a start.
_CONFIGURATION_WAIT_SECONDS = 0.8
# A retry after a refusal by a stopping gateway goes to another gateway, so it can come at once.
_STOPPING_RETRY_AFTER_SECONDS = 0.05
# Typical delay until a new configuration arrives: 40 KB beside other traffic on a 5 Mbit/s link.
_BEHIND_RETRY_AFTER_SECONDS = 0.3

# Statuses of refusals that may leave a part of the body unread.
_UNREAD_STATUSES = (400, 408, 413)

logger = logging.getLogger(__name__)


def _refusal(error: HttpError) -> Refusal:
    return Refusal(error.status, error.code, str(error), error.retry_after)


class PassFrontend:
    """Handle callers' requests."""

    def __init__(self, context: PassContext):
        self._context = context
        self._runner = PassRunner(context)
        # Number of requests without a complete response.
        self.in_flight = 0
        self.phase = Phase.SERVING
        self._running: set[PassRequest] = set()

    async def handle(self, request: Request) -> Response | None:
        """Handle one request; every path ends in a complete response or a closed connection."""
        self.in_flight += 1
        try:
            response = await self._answer(request)
        except Refusal as refusal:
            response = self._refuse(request, refusal)
        finally:
            self.in_flight -= 1
            if self.phase is not Phase.SERVING:
                request.keep_alive = False
        return response

    async def drain(self, seconds: float) -> None:
        """Return once nothing is in flight, or after `seconds`."""
        deadline = clock.monotonic() + seconds
        while self.in_flight and clock.monotonic() < deadline:
            await asyncio.sleep(0.02)

    def end_unanswered(self) -> int:
        """End all requests whose response has not started; return their number.

        A stream that has started can't get another response: it continues until the process ends.
        """
        waiting = [passed for passed in self._running if passed.time_out_now()]
        if waiting:
            logger.info(
                "ending requests without a response at the drain limit",
                extra={"requests": len(waiting)},
            )
        return len(waiting)

    async def _answer(self, request):
        started = clock.monotonic()
        if self.phase is Phase.CLOSED:
            raise Refusal(503, "stopping", "This gateway stops.", _STOPPING_RETRY_AFTER_SECONDS)
        index = self._context.index
        if not index.number and self.phase is Phase.SERVING:
            await self._context.wait_for_configuration(_CONFIGURATION_WAIT_SECONDS)
            index = self._context.index
        if not index.number:
            raise Refusal(503, "not-ready", "No configuration yet.", _NOT_READY_RETRY_AFTER_SECONDS)
        route = index.route(request.get("Host"), request.path)
        if route is None:
            raise self._denial(404, "no-route", "No route has this host and path.")
        customer = self._customer(request, route)
        if customer is not None and not customer.may_enter(self._context.data_centre):
            raise Refusal(
                421, "outside", "This gateway is outside the customer's data centres.", None
            )
        places = allowed_data_centres(route, customer)
        if places is None:
            raise Refusal(
                503, "no-place", "Route and customer have no data centre in common.", None
            )
        caller = await self._read(request, route, started)
        passed = PassRequest(
            caller,
            route,
            choose_pool(route, self._context.random),
            customer,
            self._context.names,
            started,
            places,
        )
        self._running.add(passed)
        try:
            return await self._runner.run(request, passed)
        finally:
            self._running.discard(passed)
            self._log_outcome(passed)

    def _customer(self, request, route):
        """Return the authenticated customer, or None if the request may be anonymous."""
        index = self._context.index
        if not index.requires_key:
            return None
        scheme, _, key = request.get("Authorization").partition(" ")
        is_key_scheme = scheme.lower() == self._context.names.key_scheme.lower()
        customer = index.customer(key.strip()) if is_key_scheme else None
        if customer is None and not route.public:
            raise self._denial(401, "unknown-key", "The request shows no key that is known.")
        return customer

    def _denial(self, status, code, why) -> Refusal:
        """Return the refusal of a request that the configuration in force does not allow.

        A newer configuration may allow it. While one is on its way the refusal is a temporary 503
        instead of the final status: gateways that a 314 KB configuration did not reach for 13 s
        sent permanent errors for routes that existed.
        """
        if self._context.is_behind():
            return Refusal(
                503, "behind", "A newer configuration is on its way.", _BEHIND_RETRY_AFTER_SECONDS
            )
        return Refusal(status, code, why)

    async def _read(self, request, route, started) -> CallerRequest:
        """Return the whole request; refuse it once nobody waits for its response any more."""
        limit = self._context.index.table.limits.max_body_bytes
        try:
            if request.is_complete:
                body = await request.read(limit)
            else:
                name = self._context.names.deadline_ms
                until = started + allowed_seconds(request.get(name), route, name)
                async with asyncio.timeout(max(0.0, until - clock.monotonic())):
                    body = await request.read(limit)
        except TimeoutError:
            raise _refusal(BodyTimeout()) from None
        except HttpError as error:
            raise _refusal(error) from error
        return CallerRequest(request.method, request.target, request.headers, body)

    def _refuse(self, request, refusal):
        headers = []
        if refusal.retry_after is not None:
            headers.append((b"Retry-After", b"%.2f" % refusal.retry_after))
        name = self._context.names.request_id
        request_id = request.get(name)
        if request_id:
            headers.append((name.encode(), request_id.encode("latin-1")))
        decision(
            "refuse",
            request=request_id,
            status=refusal.status,
            code=refusal.code,
            why=refusal.detail,
            retry_after=refusal.retry_after,
            number=self._context.index.number,
        )
        if refusal.status in _UNREAD_STATUSES:
            # Unread bytes of the body would be parsed as the next request.
            request.keep_alive = False
        return text_response(refusal.status, f"{refusal.code}\n", headers)

    def _log_outcome(self, passed):
        metrics.requests_total.inc({"pipeline": passed.route.name, "outcome": passed.outcome})
        decision(
            "passed",
            request=passed.request_id,
            route=passed.route.name,
            outcome=passed.outcome,
            attempts=passed.attempts,
            seconds=round(clock.monotonic() - passed.started, 4),
            stages_seconds=passed.stages_seconds and round(passed.stages_seconds, 4),
            stages=[made.to_log() for made in passed.completed_stages],
            first_event=passed.first_event and round(passed.first_event, 4),
            events=passed.events,
            pause=round(passed.longest_pause, 4),
            target=passed.target,
            resumes=passed.resumes or None,
            last_event_id=passed.last_event_id,
        )
