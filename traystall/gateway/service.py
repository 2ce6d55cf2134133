"""Handle requests of other gateways: results, configuration, borrowed limits and permits."""

from traystall.core import clock
from traystall.core.exceptions import RpcRefused
from traystall.gateway.allowances import Allowances
from traystall.gateway.context import GatewayContext
from traystall.rpc.gen.wire import ttypes
from traystall.systems.limits import Loan
from traystall.systems.residency import is_allowed


class GatewayService:
    """Dispatch RPC requests of other gateways to their handlers."""

    def __init__(self, context: GatewayContext):
        self._context = context
        self._allowances = Allowances(context)
        self._handlers = {
            ttypes.HoldResultRequest: self._hold,
            ttypes.FetchResultRequest: self._fetch,
            ttypes.WatchRequest: self._watch,
            ttypes.TransferRequest: self._transfer,
            ttypes.BorrowRequest: self._lend,
            ttypes.PermitRequest: context.permits.grant,
            ttypes.PermitReturn: context.permits.on_permit_returned,
            ttypes.LimitNews: context.permits.merge_limits,
        }

    async def handle(self, request):
        """Return the reply to one request."""
        handler = self._handlers.get(type(request))
        if handler is None:
            raise RpcRefused("bad-method", "A gateway does not serve this call.")
        return handler(request)

    def _hold(self, request):
        context = self._context
        customer = context.tables.customer(request.customer)
        if customer is None or not is_allowed(customer, context.data_centre):
            return ttypes.HoldResultReply(held=False)
        context.results.put(
            request.claim_id,
            request.customer,
            request.result,
            request.retention,
            clock.monotonic(),
        )
        return ttypes.HoldResultReply(held=True)

    def _fetch(self, request):
        """Return a stored result, only to gateways in the customer's data centres."""
        context = self._context
        customer = context.tables.customer(request.customer)
        if customer is None or not is_allowed(customer, request.data_centre):
            return ttypes.FetchResultReply(found=False)
        data = context.results.get(request.claim_id, request.customer, clock.monotonic())
        return ttypes.FetchResultReply(found=data is not None, result=data)

    def _lend(self, request):
        wanted = Loan(request.tokens, request.permits)
        loan = self._allowances.grant(request.customer, wanted)
        return ttypes.BorrowReply(tokens=loan.tokens, permits=loan.permits, seconds=loan.seconds)

    def _watch(self, request):
        return self._context.follower.answer_watch(request)

    def _transfer(self, request):
        return self._context.follower.answer_transfer(request)
