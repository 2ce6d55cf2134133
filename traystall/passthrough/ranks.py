"""Rank requests: a customer's priority first, its route's among customers of equal priority. Pure.

0 is the most urgent. The whole rank decides who is let in where there is too much;
what was let in is ordered by its customer's part and then by the time that is left,
because what was promised to be in time should be.
"""

# Priorities of routes that are told apart within one priority of customers.
_ROUTE_RANKS = 10


def rank_of(customer_priority: int | None, route_priority: int) -> int:
    """Return the rank of a request; a customer without a priority is as urgent as any."""
    return (customer_priority or 0) * _ROUTE_RANKS + min(route_priority, _ROUTE_RANKS - 1)


def customers_part(rank: int) -> int:
    """Return the customer's priority that a rank holds."""
    return rank // _ROUTE_RANKS
