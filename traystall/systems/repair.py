"""Decide the next membership change of the control group, which repairs itself.

Changes are made one at a time, and each adds or removes at most one voter. The
rules, in order:

1. A member whose address responds with another identity has lost its disk. Its
   old identity can't return, so it is removed.
2. A daemon that requests to join becomes a learner.
3. A learner that has caught up becomes a voter.
4. A silent voter is removed if at least three other voters respond. It may join
   again.

A silent voter isn't removed while fewer than three voters respond, because the
removal would not help the group.
"""

import msgspec

from traystall.consensus.models import MemberRecord

MIN_VOTERS = 3
MAX_VOTERS = 7
# A voter that hasn't replied to its leader for this many seconds counts as silent.
SILENT_SECONDS = 1.5


class GroupView(msgspec.Struct, frozen=True):
    """The leader's view of its group.

    `joining` are daemons that recently requested to join; `silent` and
    `caught_up` are identities of members.
    """

    members: tuple[MemberRecord, ...]
    joining: tuple[MemberRecord, ...] = ()
    silent: frozenset[str] = frozenset()
    caught_up: frozenset[str] = frozenset()
    own_identity: str = ""


def next_members(view: GroupView) -> tuple[MemberRecord, ...] | None:
    """Return the members after the next change, or None if none is needed."""
    return _remove_wiped(view) or _admit(view) or _promote(view) or _remove_silent(view)


def _remove_wiped(view):
    new_identities = {member.address: member.identity for member in view.joining}
    for member in view.members:
        successor = new_identities.get(member.address)
        if successor is None or successor == member.identity:
            continue
        if member.identity != view.own_identity:
            return _without(view, member.identity)
    return None


def _admit(view):
    known = {member.identity for member in view.members}
    for newcomer in view.joining:
        if newcomer.identity not in known:
            learner = msgspec.structs.replace(newcomer, voter=False)
            return (*view.members, learner)
    return None


def _promote(view):
    voters = [member for member in view.members if member.voter]
    if len(voters) >= MAX_VOTERS:
        return None
    for member in view.members:
        ready = member.identity in view.caught_up and member.identity not in view.silent
        if not member.voter and ready:
            promoted = msgspec.structs.replace(member, voter=True)
            return (*_without(view, member.identity), promoted)
    return None


def _remove_silent(view):
    responding = [m for m in view.members if m.voter and m.identity not in view.silent]
    for member in view.members:
        if member.identity not in view.silent or member.identity == view.own_identity:
            continue
        if len(responding) >= MIN_VOTERS:
            return _without(view, member.identity)
    return None


def _without(view, identity):
    return tuple(member for member in view.members if member.identity != identity)
