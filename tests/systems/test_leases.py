"""All gateways together hold no more places of a brittle target than it has."""

from traystall.systems.leases import PlaceTable, places_of_second_lender


def test_no_more_leases_than_places_until_one_is_released():
    table = PlaceTable()
    assert [table.lease(name, 2, 5.0, 0.0) for name in "abc"] == [True, True, False]
    table.release("a", 0.1)
    assert table.lease("c", 2, 5.0, 0.1)


def test_leases_of_a_holder_that_ended_expire():
    table = PlaceTable()
    assert table.lease("a", 1, 5.0, 0.0)
    assert not table.lease("b", 1, 5.0, 4.9)
    assert table.lease("b", 1, 5.0, 5.0)


def test_lease_that_was_returned_before_its_request_arrives_takes_no_place():
    table = PlaceTable()
    table.release("a", 0.0)
    assert not table.lease("a", 1, 5.0, 0.2)
    assert table.lease("b", 1, 5.0, 0.2)


def test_expired_lease_that_is_returned_is_forgotten():
    table = PlaceTable()
    assert table.lease("a", 1, 1.0, 0.0)
    assert table.lease("b", 1, 60.0, 2.0)
    table.release("a", 2.1)
    assert table.lease("b", 1, 60.0, 20.0)
    assert not table.returned_early


def test_repeated_request_for_a_lease_takes_one_place():
    table = PlaceTable()
    assert table.lease("a", 1, 5.0, 0.0)
    assert table.lease("a", 1, 5.0, 0.1)


def test_fewer_places_lease_nothing_until_enough_are_released():
    table = PlaceTable()
    for name in "abc":
        assert table.lease(name, 3, 5.0, 0.0)
    table.release("a", 0.1)
    assert not table.lease("d", 2, 5.0, 0.1)


def test_second_lender_leases_a_part_of_the_places_and_at_least_one():
    assert [places_of_second_lender(places) for places in (1, 3, 10, 64)] == [1, 1, 3, 19]
