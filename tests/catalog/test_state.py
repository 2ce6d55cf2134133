"""The catalog against a naive model: one content per number; resending changes nothing."""

import random

import pytest

from traystall.catalog.deltas import EMPTY_DIGEST, apply_delta, entities_digest, make_delta
from traystall.catalog.models import ApplyBundle, ApplyOutcome
from traystall.catalog.state import Catalog
from traystall.core.exceptions import DeltaMismatch
from traystall.gateway.configuration import HeldRevision
from traystall.rpc.gen.wire.ttypes import WatchReply


def bundle(catalog, number, entities, operator="ana"):
    """Return a command that applies `entities` as `number`, based on the newest state."""
    delta = make_delta(catalog.entities, entities)
    return ApplyBundle(number, entities_digest(entities), operator, delta)


def outcome(catalog, number, entities):
    return catalog.apply(bundle(catalog, number, entities)).outcome


def test_resent_bundle_gets_the_same_reply_after_later_revisions():
    catalog = Catalog()
    first = bundle(catalog, 1, {"a": b"1"})
    assert catalog.apply(first).outcome is ApplyOutcome.ACCEPTED
    assert outcome(catalog, 2, {"a": b"2"}) is ApplyOutcome.ACCEPTED
    restored = Catalog()
    restored.restore(catalog.snapshot())
    for held in (catalog, restored):
        again = held.apply(first)
        assert (again.outcome, again.resent, again.current) == (ApplyOutcome.ACCEPTED, True, 2)
        assert held.entities == {"a": b"2"}


def test_conflict_reports_the_accepted_bundle():
    catalog = Catalog()
    catalog.apply(bundle(catalog, 5, {"a": b"1"}, "ana"))
    result = catalog.apply(bundle(catalog, 5, {"a": b"2"}, "bao"))
    assert result.outcome is ApplyOutcome.CONFLICT
    assert (result.revision.operator, result.revision.number) == ("ana", 5)
    assert outcome(catalog, 3, {"a": b"3"}) is ApplyOutcome.STALE


def test_delta_against_an_old_revision_is_rebased():
    catalog = Catalog()
    late = bundle(catalog, 2, {"a": b"2"})
    catalog.apply(bundle(catalog, 1, {"b": b"1"}))
    assert catalog.apply(late).outcome is ApplyOutcome.REBASE
    assert catalog.entities == {"b": b"1"}


def test_wrong_base_or_result_of_a_delta_raises():
    delta = make_delta({"a": b"1"}, {"a": b"2"})
    with pytest.raises(DeltaMismatch):
        apply_delta({"b": b"1"}, entities_digest({"b": b"1"}), delta)
    with pytest.raises(DeltaMismatch):
        apply_delta({"a": b"1", "x": b""}, delta.base, delta)


def random_entities(rng):
    return {f"e{n}": bytes([rng.randrange(3)]) for n in range(4) if rng.random() < 0.7}


@pytest.mark.parametrize("seed", range(30))
def test_catalog_matches_the_naive_model(seed):
    """Compares racing operators with a dict of winners; the number of a gateway never decreases."""
    rng = random.Random(seed)
    catalog, winners, newest = Catalog(), {}, 0
    held = [HeldRevision() for _ in range(3)]
    for _ in range(150):
        number, entities = rng.randint(1, newest + 2), random_entities(rng)
        if winners and rng.random() < 0.3:
            number = rng.choice(list(winners))
            entities = winners[number] if rng.random() < 0.7 else entities
        result = catalog.apply(bundle(catalog, number, entities))
        if number in winners:
            same = winners[number] == entities
            assert result.outcome is (ApplyOutcome.ACCEPTED if same else ApplyOutcome.CONFLICT)
        elif number < newest:
            assert result.outcome is ApplyOutcome.STALE
        else:
            assert result.outcome is ApplyOutcome.ACCEPTED
            winners[number], newest = entities, number
        assert catalog.entities == winners[newest]
        if rng.random() < 0.1:
            data = catalog.snapshot()
            catalog = Catalog()
            catalog.restore(data)
        watch(catalog, rng.choice(held), winners)


def watch(catalog, revision, winners):
    delta = catalog.delta_since(revision.digest)
    reply = WatchReply(number=catalog.number, digest=catalog.digest, base=revision.digest)
    reply.full = delta is None
    reply.puts = catalog.entities if delta is None else delta.puts
    reply.deletes = [] if delta is None else delta.deletes
    revision.take(reply)
    assert revision.number == catalog.number
    assert revision.entities == winners.get(catalog.number, {})


def test_gateway_revision_never_decreases_and_survives_a_bad_delta():
    held = HeldRevision()
    held.take(
        WatchReply(number=3, digest=entities_digest({"a": b"3"}), full=True, puts={"a": b"3"})
    )
    old = WatchReply(number=2, digest=entities_digest({"a": b"2"}), full=True, puts={"a": b"2"})
    assert held.take(old) is False
    crossed = WatchReply(number=4, digest=b"x", base=EMPTY_DIGEST, full=False, puts={}, deletes=[])
    assert held.take(crossed) is False, "it was made for what another reply has replaced"
    assert (held.number, held.entities) == (3, {"a": b"3"})
    bad = WatchReply(number=4, digest=b"x", base=held.digest, full=False, puts={}, deletes=[])
    with pytest.raises(DeltaMismatch):
        held.take(bad)
    bad_copy = WatchReply(number=4, digest=b"x", full=True, puts={"a": b"4"})
    with pytest.raises(DeltaMismatch):
        held.take(bad_copy)
    assert (held.number, held.entities) == (3, {"a": b"3"})
    assert held.digest == entities_digest({"a": b"3"})
