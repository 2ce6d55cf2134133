"""Fault matrix: each kind of fault at each kind of effect of the core, in seeded schedules."""

import pytest

from tests.support.group import Group

SCHEDULES = 150
STEPS = 1500
FAULTS = ("crash", "freeze", "cut", "wipe", "lose", "duplicate")
# The occurrences of an effect at which a fault is injected.
OCCURRENCES = (1, 2, 5, 13, 34)


@pytest.mark.parametrize("size", [3, 5])
def test_random_schedules(size):
    """Random faults at any time, also several at once."""
    for seed in range(SCHEDULES):
        group = Group(seed * 10 + size, size)
        group.run(STEPS)
        group.settle()


def known_effects():
    """Return the effects that the core emits, collected from test runs."""
    found = set()
    for seed in range(40):
        group = Group(seed)
        group.run(600)
        found |= group.effects
    return sorted(found)


EFFECTS = known_effects()


def test_matrix_covers_every_message_and_write():
    assert {"VoteRequest", "VoteReply", "AppendRequest", "AppendReply"} <= set(EFFECTS)
    assert {"SnapshotChunk", "SnapshotReply", "TimeoutNow"} <= set(EFFECTS)
    assert {"sync", "apply", "tick"} <= set(EFFECTS)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("effect", EFFECTS)
def test_fault_at_effect(effect, fault):
    """Inject a fault at chosen occurrences of one effect, then random further faults."""
    for occurrence in OCCURRENCES:
        group = Group(f"{effect}{fault}{occurrence}", faults=False)
        inject_at(group, effect, fault, occurrence)
        group.run(500)
        group.faults = True
        group.run(150)
        group.settle()


def inject_at(group, effect, fault, occurrence):
    """Inject `fault` into the host that emits `effect` for the n-th time."""
    seen = 0

    def hook(kind, host):
        nonlocal seen
        if kind != effect:
            return
        seen += 1
        if seen == occurrence:
            group.fault_to_apply = (fault, host)

    def step():
        group.fault_to_apply = None
        original_step()
        if group.fault_to_apply is not None:
            fault_now, host = group.fault_to_apply
            apply_fault(group, fault_now, host)

    group.fault_to_apply = None
    group.hook = hook
    original_step = group.step
    group.step = step


def apply_fault(group, fault, host):
    """Apply one fault to a host or to the messages in flight."""
    if fault == "lose" and group.messages:
        group.messages.pop()
    elif fault == "duplicate" and group.messages:
        group.messages.append(group.messages[-1])
    elif fault in ("crash", "freeze", "cut", "wipe"):
        getattr(group, fault)(host)
