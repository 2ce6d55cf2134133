"""Rule `highest`: a higher number replaces the content; others are acknowledged and ignored."""

import itertools

import pytest

from traystall.catalog.deltas import entities_digest, make_delta
from traystall.catalog.models import ApplyOutcome, SupersedeBundle
from traystall.catalog.state import Catalog
from traystall.control.state import StateMachine
from traystall.core.serialization import pack


def supersede(catalog, number, content):
    entities = {"k": content}
    delta = make_delta(catalog.entities, entities)
    return SupersedeBundle(number, entities_digest(entities), "op", delta)


@pytest.mark.parametrize("order", list(itertools.permutations([2, 5, 7, 9])))
def test_highest_number_wins_in_any_order(order):
    catalog = Catalog()
    highest = 0
    for number in order:
        result = catalog.supersede(supersede(catalog, number, b"%d" % number))
        highest = max(highest, number)
        assert result.outcome is ApplyOutcome.ACCEPTED
        assert catalog.number == result.current == highest
        assert catalog.entities == {"k": b"%d" % highest}


def test_other_content_with_the_current_number_is_ignored():
    catalog = Catalog()
    catalog.supersede(supersede(catalog, 3, b"first"))
    result = catalog.supersede(supersede(catalog, 3, b"second"))
    assert result.outcome is ApplyOutcome.ACCEPTED and result.resent
    assert catalog.entities == {"k": b"first"}


def test_delta_with_a_stale_base_needs_a_rebase():
    catalog = Catalog()
    late = supersede(catalog, 4, b"late")
    catalog.supersede(supersede(catalog, 3, b"first"))
    assert catalog.supersede(late).outcome is ApplyOutcome.REBASE
    assert catalog.number == 3


def test_highest_number_survives_a_snapshot():
    state = StateMachine()
    for number in (1, 4, 6):
        state.apply(pack(supersede(state.catalog, number, b"%d" % number)))
    copy = StateMachine()
    copy.restore(state.snapshot())
    assert (copy.catalog.number, copy.catalog.entities) == (6, {"k": b"6"})
    assert copy.catalog.lookup_highest(6).resent
    assert copy.catalog.lookup_highest(7) is None
