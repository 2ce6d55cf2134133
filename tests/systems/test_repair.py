"""The control group repairs itself, one voter at a time, without removing voters needlessly."""

from traystall.consensus.models import MemberRecord
from traystall.consensus.quorum import is_single_step
from traystall.systems.repair import MAX_VOTERS, GroupView, next_members


def member(name, disk=1, voter=True):
    return MemberRecord(f"{name}/{disk}", f"{name}:1", "here", voter)


ABC = (member("a"), member("b"), member("c"))


def apply_all_changes(view, silent=(), caught_up=()):
    """Apply changes until none is left; return the members after each, and the final voters."""
    steps = []
    while (members := next_members(view)) is not None:
        assert is_single_step(view.members, members)
        steps.append({(m.identity, m.voter) for m in members})
        assert len(steps) < 20
        view = GroupView(members, view.joining, view.silent, view.caught_up, view.own_identity)
    return steps, {m.identity for m in view.members if m.voter}


def view(members=ABC, joining=(), silent=(), caught_up=(), own="a/1"):
    return GroupView(tuple(members), tuple(joining), frozenset(silent), frozenset(caught_up), own)


def test_complete_group_is_unchanged():
    assert next_members(view()) is None


def test_silent_voter_without_a_replacement_stays():
    assert next_members(view(silent={"c/1"})) is None


def test_wiped_member_rejoins_with_its_new_identity():
    wiped = member("c", disk=2, voter=False)
    steps, voters = apply_all_changes(view(joining=[wiped], silent={"c/1"}, caught_up={"c/2"}))
    assert voters == {"a/1", "b/1", "c/2"}
    assert ("c/1", True) not in steps[0]


def test_wiped_member_does_not_vote_before_it_has_caught_up():
    wiped = member("c", disk=2, voter=False)
    _, voters = apply_all_changes(view(joining=[wiped], silent={"c/1"}))
    assert voters == {"a/1", "b/1"}


def test_new_member_replaces_a_silent_voter():
    new_member = member("d", voter=False)
    steps, voters = apply_all_changes(view(joining=[new_member], silent={"c/1"}, caught_up={"d/1"}))
    assert voters == {"a/1", "b/1", "d/1"}
    assert ("c/1", True) in steps[1], "the newcomer votes before the lost one goes"


def test_new_member_of_a_complete_group_becomes_a_voter():
    new_member = member("d", voter=False)
    _, voters = apply_all_changes(view(joining=[new_member], caught_up={"d/1"}))
    assert voters == {"a/1", "b/1", "c/1", "d/1"}


def test_number_of_voters_is_bounded():
    members = [member(f"m{i}") for i in range(MAX_VOTERS)]
    new_member = member("z", voter=False)
    _, voters = apply_all_changes(
        view(members, joining=[new_member], caught_up={"z/1"}, own="m0/1")
    )
    assert "z/1" not in voters


def test_leader_never_removes_itself():
    _, voters = apply_all_changes(view(joining=[member("a", disk=2, voter=False)], silent={"a/1"}))
    assert "a/1" in voters
