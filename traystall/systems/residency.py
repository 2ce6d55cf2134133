"""Decide where a customer's requests and results may be."""

from traystall.tables.entities import Customer, Transit


def is_allowed(customer: Customer, data_centre: str) -> bool:
    """Return whether the customer's data may be in `data_centre`."""
    return data_centre in customer.data_centres


def may_relay(customer: Customer) -> bool:
    """Return whether a gateway outside may pass the customer's bytes to one inside."""
    return customer.transit is Transit.RELAY


def relay_candidates(customer: Customer, gateways, own_identity: str, random) -> list:
    """Return live gateways inside the customer's data centres, in random order."""
    inside = [
        row
        for row in gateways
        if row.identity != own_identity
        and row.state == "serving"
        and is_allowed(customer, row.data_centre)
    ]
    random.shuffle(inside)
    return inside


def holder_candidates(customer: Customer, gateways, own_identity: str, own_place: str) -> list:
    """Return gateways that may keep a copy of a result, those in other data centres first."""
    inside = [
        row
        for row in gateways
        if row.identity != own_identity and is_allowed(customer, row.data_centre)
    ]
    return sorted(inside, key=lambda row: (row.data_centre == own_place, row.identity))
