"""Enforce customers' rate limits, borrowing from other gateways before a refusal.

A customer's limit is divided among the gateways in its data centres. Gateways of one data centre
lend each other tokens and permits that they do not use.
"""

from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.core.logs import decision
from traystall.gateway import problems
from traystall.gateway.context import GatewayContext
from traystall.gateway.parsing import Envelope
from traystall.gateway.problems import Refusal
from traystall.gateway.runner import LINGER_SECONDS
from traystall.rpc.gen.wire.ttypes import BorrowRequest
from traystall.systems import admission, limits
from traystall.systems.limits import Loan
from traystall.tables.entities import Customer

_TIMEOUT_SECONDS = 0.1
# Minimum time between attempts to borrow for the same customer, which may be over its limit at
# every gateway.
_BORROW_INTERVAL_SECONDS = 0.2
_TOKENS_WANTED = 8.0
_PERMITS_WANTED = 4


class Allowances:
    """Admit requests within this gateway's share of the customers' limits."""

    def __init__(self, context: GatewayContext):
        self._context = context
        self._last_borrow_at: dict[str, float] = {}

    async def admit(self, envelope: Envelope) -> None:
        """Count the request against the limit, or raise Refusal if the customer is over it."""
        customer = envelope.customer
        seconds = envelope.deadline_seconds
        if envelope.key and not envelope.pipeline.repeatable:
            seconds += LINGER_SECONDS
        verdict = self._try_admit(customer, seconds)
        if not verdict.within and await self._borrow(customer):
            verdict = self._try_admit(customer, seconds)
        if not verdict.within:
            after = admission.retry_after_seconds(verdict.retry_after)
            raise Refusal(problems.OVER_LIMIT, verdict.why, after)

    def grant(self, name: str, wanted: Loan) -> Loan:
        """Return what this gateway lends another one from its share of a customer's limit."""
        customer = self._context.tables.customer(name)
        if customer is None:
            return Loan()
        index, count = self._position(customer)
        return self._context.limiter.grant(customer, index, count, clock.monotonic(), wanted)

    def _try_admit(self, customer, seconds):
        index, count = self._position(customer)
        return self._context.limiter.admit(customer, index, count, clock.monotonic(), seconds)

    def _position(self, customer: Customer) -> tuple[int, int]:
        context = self._context
        places = context.tables.data_centres()
        index = limits.gateway_position(
            customer, places, context.data_centre, context.settings.index
        )
        return index, limits.count_gateways(customer, places)

    async def _borrow(self, customer) -> bool:
        """Ask the other gateways one by one; return whether one of them lent anything."""
        now = clock.monotonic()
        if now - self._last_borrow_at.get(customer.name, float("-inf")) < _BORROW_INTERVAL_SECONDS:
            return False
        self._last_borrow_at[customer.name] = now
        for neighbour in self._local_peers():
            loan, asked_at = await self._request_loan(neighbour, customer)
            if loan.tokens or loan.permits:
                self._context.limiter.borrow(customer.name, loan, asked_at)
                decision(
                    "borrow",
                    customer=customer.name,
                    lender=neighbour.instance,
                    tokens=loan.tokens,
                    permits=loan.permits,
                )
                return True
        return False

    def _local_peers(self):
        context = self._context
        found = [
            row
            for row in context.follower.directory
            if row.data_centre == context.data_centre and row.identity != context.identity
        ]
        context.random.shuffle(found)
        return found

    async def _request_loan(self, neighbour, customer):
        asked_at = clock.monotonic()
        request = BorrowRequest(
            customer=customer.name, tokens=_TOKENS_WANTED, permits=_PERMITS_WANTED
        )
        try:
            link = self._context.links.link(neighbour.rpc_address)
            reply = await link.call(request, _TIMEOUT_SECONDS)
        except RpcError:
            return Loan(), asked_at
        return Loan(reply.tokens, reply.permits, reply.seconds), asked_at
