"""The changes since a version are exact, or unknown; memory is bounded."""

import sys

from traystall.tables.changes import REMEMBERED_DROPS, ChangeLog


def test_latest_event_of_each_identity_is_returned():
    log = ChangeLog()
    for act, identity in (("change", "a"), ("change", "b"), ("drop", "a"), ("change", "c")):
        getattr(log, act)(identity)
    assert log.since(1) == (["c", "b"], ["a"])
    assert log.since(3) == (["c"], ["a"])
    log.change("a")
    assert log.since(3) == (["a", "c"], [])
    assert log.since(log.version) == ([], [])


def test_unknown_version_returns_none():
    log = ChangeLog()
    log.change("a")
    assert log.since(0) is None
    assert log.since(log.version + 1) is None


def test_oldest_drops_are_discarded_first_and_detected():
    log = ChangeLog(remembered_drops=2)
    for identity in "abc":
        log.change(identity)
    for identity in "abc":
        log.drop(identity)
    # The drop of "a" is version 5; a subscriber at that version needs only the other two.
    assert log.since(4) is None
    assert log.since(5) == ([], ["c", "b"])


def test_memory_is_bounded_by_the_remembered_drops():
    log = ChangeLog()
    for number in range(20 * REMEMBERED_DROPS):
        log.change(f"gateway-{number:030}")
        log.drop(f"gateway-{number:030}")
    kept = sum(sys.getsizeof(part) for part in (log._changed, log._dropped))
    names = sum(map(sys.getsizeof, log._dropped)) + 32 * len(log._dropped)
    assert not log._changed and kept + names < 250_000
