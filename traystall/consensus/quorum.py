"""Quorum arithmetic over the voters of a group."""


def majority(count: int) -> int:
    """Return the size of a majority of `count` voters."""
    return count // 2 + 1


def reached_by_majority(values) -> float:
    """Return the highest value that a majority of `values` has reached; 0 if there are none."""
    ordered = sorted(values, reverse=True)
    if not ordered:
        return 0
    return ordered[majority(len(ordered)) - 1]


def is_majority(granted, voters) -> bool:
    """Return whether the identities in `granted` include a majority of `voters`."""
    return len(set(granted) & set(voters)) >= majority(len(voters))


def is_single_step(old, new) -> bool:
    """Return whether two member sets differ by at most one voter and the new one has a voter."""
    old_voters = {member.identity for member in old if member.voter}
    new_voters = {member.identity for member in new if member.voter}
    return len(old_voters ^ new_voters) <= 1 and bool(new_voters)
