"""Every fault at every effect of the core, under seeded schedules."""

import pytest

from tests.support.group import Group

SCHEDULES = 150
STEPS = 1500
FAULTS = ("crash", "freeze", "cut", "wipe", "lose", "duplicate")
# Which occurrences of an effect are struck.
OCCURRENCES = (1, 2, 5, 13, 34)


@pytest.mark.parametrize("size", [3, 5])
def test_random_schedules(size):
    """Any faults at any time, also several at once."""
    for seed in range(SCHEDULES):
        group = Group(seed * 10 + size, size)
        group.run(STEPS)
        group.settle()


def known_effects():
    """Return the effects that the core emits, learned by running it."""
    found = set()
    for seed in range(40):
        group = Group(seed)
        group.run(600)
        found |= group.effects
    return sorted(found)


EFFECTS = known_effects()


def test_the_matrix_knows_every_message_and_write():
    assert {"VoteRequest", "VoteReply", "AppendRequest", "AppendReply"} <= set(EFFECTS)
    assert {"SnapshotChunk", "SnapshotReply", "TimeoutNow"} <= set(EFFECTS)
    assert {"sync", "apply", "tick"} <= set(EFFECTS)


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("effect", EFFECTS)
def test_fault_at_effect(effect, fault):
    """Strike at chosen occurrences of one effect; then a second fault follows at random."""
    for occurrence in OCCURRENCES:
        group = Group(f"{effect}{fault}{occurrence}", faults=False)
        strike_at(group, effect, fault, occurrence)
        group.run(500)
        group.faults = True
        group.run(150)
        group.settle()


def strike_at(group, effect, fault, occurrence):
    """Arrange for `fault` to hit the host that emits `effect` for the n-th time."""
    seen = 0

    def hook(kind, host):
        nonlocal seen
        if kind != effect:
            return
        seen += 1
        if seen == occurrence:
            group.struck = (fault, host)

    def step():
        group.struck = None
        original_step()
        if group.struck is not None:
            fault_now, host = group.struck
            inflict(group, fault_now, host)

    group.struck = None
    group.hook = hook
    original_step = group.step
    group.step = step


def inflict(group, fault, host):
    """Hit a host with one fault."""
    if fault == "lose" and group.messages:
        group.messages.pop()
    elif fault == "duplicate" and group.messages:
        group.messages.append(group.messages[-1])
    elif fault in ("crash", "freeze", "cut", "wipe"):
        getattr(group, fault)(host)
