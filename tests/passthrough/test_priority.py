"""A request's rank: its customer's priority first, then its route's."""

import itertools

import pytest

from traystall.passthrough.dialect import HeaderNames
from traystall.passthrough.messages import CallerRequest
from traystall.passthrough.request import PassRequest
from traystall.routes.models import KeyedCustomer, Route, Split


def rank(customer_priority, route_priority):
    """Return the rank of a request; None for no customer at all."""
    caller = CallerRequest("POST", "/a/", (), b"")
    route = Route("r", "h", "/a/", (Split("p"),), priority=route_priority)
    customer = None
    if customer_priority is not None:
        customer = KeyedCustomer("ana", ("key",), customer_priority)
    return PassRequest(caller, route, "p", customer, HeaderNames(), 0.0).priority


def test_among_customers_of_equal_priority_the_routes_decide():
    """Where all customers were equal, all routes were too: urgent work waited behind the rest."""
    assert rank(1, 0) < rank(1, 1) < rank(1, 2)


@pytest.mark.parametrize(("first", "second"), list(itertools.combinations(range(4), 2)))
def test_a_customers_priority_goes_before_any_routes(first, second):
    assert rank(first, 9) < rank(second, 0)
    assert rank(first, 200) < rank(second, 0), "also beyond the ranks that are told apart"


def test_without_customers_the_routes_decide():
    assert rank(None, 0) < rank(None, 1)


def test_a_customer_without_a_priority_is_as_urgent_as_any():
    caller = CallerRequest("POST", "/a/", (), b"")
    route = Route("r", "h", "/a/", (Split("p"),), priority=2)
    customer = KeyedCustomer("ana", ("key",), None)
    assert PassRequest(caller, route, "p", customer, HeaderNames(), 0.0).priority == rank(0, 2)
