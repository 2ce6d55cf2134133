"""Who gives way when a process holds too much for its clients: who holds most and moves least."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from traystall.http.memory import Holding, MemoryAccount, choose_heaviest

_MEGABYTE = 2**20


class _Client:
    """Hold bytes in an account; giving up releases what can be released."""

    def __init__(self, account, held, releasable=None, moved_at=0.0):
        self.account = account
        self.gave_up = False
        self.holding = Holding(self)
        self.holding.moved_at = moved_at
        self.kept = held - (held if releasable is None else releasable)
        account.update(self.holding, held, held - self.kept)

    def give_up(self):
        self.gave_up = True
        self.account.update(self.holding, self.kept, 0)


def test_account_follows_its_holders():
    account = MemoryAccount(100)
    client = _Client(account, 40)
    _Client(account, 30)
    account.update(client.holding, 10, 10)
    assert account.held_bytes == 40
    account.update(client.holding, 0, 0)
    assert account.held_bytes == 30


def test_largest_gives_way_and_the_small_stay():
    account = MemoryAccount(18 * _MEGABYTE)
    small = [_Client(account, 4_000) for _ in range(100)]
    large = [_Client(account, 4 * _MEGABYTE - 1) for _ in range(4)]
    assert account.is_exceeded
    account.relieve(0.0)
    assert sum(client.gave_up for client in large) == 1
    assert not any(client.gave_up for client in small)
    assert not account.is_exceeded


def test_of_two_that_hold_the_same_the_one_that_stopped_gives_way():
    account = MemoryAccount(8 * _MEGABYTE)
    moving = _Client(account, 4 * _MEGABYTE, moved_at=10.0)
    stopped = _Client(account, 4 * _MEGABYTE, moved_at=2.0)
    account.relieve(10.0)
    assert (moving.gave_up, stopped.gave_up) == (False, True)


def test_large_requests_leave_room_for_small_ones():
    """What is being handled can't be released; large ones that come then give way themselves."""
    account = MemoryAccount(8 * _MEGABYTE)
    _Client(account, 7 * _MEGABYTE, releasable=0)
    small = _Client(account, 4_000)
    late = _Client(account, _MEGABYTE)
    account.relieve(0.0)
    assert (late.gave_up, small.gave_up) == (True, False)


def test_small_requests_give_way_when_there_is_nothing_else():
    account = MemoryAccount(_MEGABYTE)
    clients = [_Client(account, 16_000, moved_at=float(n)) for n in range(80)]
    account.relieve(80.0)
    given_up = [n for n, client in enumerate(clients) if client.gave_up]
    assert account.held_bytes <= account.capacity_bytes
    assert given_up == list(range(len(given_up)))


@pytest.mark.parametrize("excess", [0, -1])
def test_nobody_gives_way_without_need(excess):
    account = MemoryAccount(_MEGABYTE)
    client = _Client(account, 1_000)
    assert choose_heaviest([client.holding], excess, 0.0) == []


@settings(max_examples=100, deadline=None)
@given(
    sizes=st.lists(
        st.tuples(st.integers(0, 5 * _MEGABYTE), st.booleans(), st.floats(0, 100)), max_size=40
    )
)
def test_what_can_be_released_never_exceeds_the_capacity(sizes):
    account = MemoryAccount(8 * _MEGABYTE)
    clients = []
    for size, is_handled, moved_at in sizes:
        clients.append(_Client(account, size, 0 if is_handled else None, moved_at))
        if account.is_exceeded:
            account.relieve(100.0)
        handled = sum(client.kept for client in clients)
        assert account.held_bytes == sum(client.holding.held_bytes for client in clients)
        assert account.held_bytes <= max(account.capacity_bytes, handled)
