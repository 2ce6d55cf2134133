"""The control daemons that a gateway knows: what one wrong list may not do."""

from traystall.tables.controls import ControlDirectory

GROUP = [("d:1", "here"), ("e:1", "there"), ("f:1", "here")]


def directory():
    found = ControlDirectory("here", ["a:1", "b:1"])
    found.update(GROUP, 0.0)
    return found


def test_members_of_the_own_data_centre_come_first():
    assert directory().addresses() == ["d:1", "f:1", "e:1", "a:1", "b:1"]


def test_configured_daemons_are_used_until_a_list_came():
    assert ControlDirectory("here", ["a:1", "b:1"]).addresses() == ["a:1", "b:1"]


def test_daemon_without_members_changes_nothing():
    """Guards against CONFIG: a daemon that lost its disk made a gateway forget all live ones."""
    found = directory()
    found.update([], 1.0)
    assert found.addresses() == directory().addresses()


def test_outdated_list_does_not_displace_the_group():
    """A daemon that is cut off from its group goes on to list members that were replaced."""
    found = directory()
    found.update([("z:1", "here")], 1.0)
    assert set(found.addresses()) == {"z:1", "d:1", "e:1", "f:1", "a:1", "b:1"}
    found.update(GROUP, 2.0)
    assert found.addresses()[:3] == ["d:1", "f:1", "e:1"]


def test_daemon_that_is_listed_no_more_is_dropped_later():
    found = directory()
    for now in range(1, 63):
        found.update([*GROUP[:2], ("g:1", "here")], float(now))
    assert found.addresses() == ["d:1", "g:1", "e:1", "a:1", "b:1"]


def test_configured_daemons_can_be_replaced():
    found = directory()
    found.set_configured(["c:1"])
    assert found.addresses() == ["d:1", "f:1", "e:1", "c:1"]
