"""The rules of the ledger, one by one and against a naive implementation."""

import random

import pytest

from traystall.ledger.models import Claim, ClaimOutcome, LedgerOutcome, Release, Settle
from traystall.ledger.state import Ledger

RETENTION = 100.0


def claim(claim_id, key="k", fingerprint=b"f", time=0.0, customer="c"):
    return Claim(customer, key, fingerprint, claim_id, f"gateway-{claim_id}", "s", RETENTION, time)


def settle(claim_id, key="k", time=0.0, customer="c", digest=b"d", holders=("h",)):
    return Settle(customer, key, claim_id, digest, list(holders), time)


def release(claim_id, key="k", time=0.0, customer="c"):
    return Release(customer, key, claim_id, time)


def test_first_claim_and_its_retry_win():
    ledger = Ledger()
    assert ledger.claim(claim("one")).outcome is ClaimOutcome.WON
    assert ledger.claim(claim("one")).outcome is ClaimOutcome.WON
    held = ledger.claim(claim("two"))
    assert (held.outcome, held.claim_id, held.claimant) == (
        ClaimOutcome.HELD,
        "one",
        "gateway-one",
    )


def test_customers_do_not_share_keys():
    ledger = Ledger()
    ledger.claim(claim("one", customer="c"))
    assert ledger.claim(claim("two", customer="d")).outcome is ClaimOutcome.WON


def test_claim_of_a_settled_key_returns_the_outcome():
    ledger = Ledger()
    ledger.claim(claim("one"))
    assert ledger.settle(settle("two")) is LedgerOutcome.UNKNOWN
    assert ledger.settle(settle("one")) is LedgerOutcome.DONE
    answer = ledger.claim(claim("two"))
    assert (answer.outcome, answer.digest, answer.holders) == (ClaimOutcome.SETTLED, b"d", ["h"])
    assert ledger.claim(claim("one")).outcome is ClaimOutcome.SETTLED
    assert ledger.release(release("one")) is LedgerOutcome.UNKNOWN


def test_same_key_with_another_request_is_a_mismatch():
    ledger = Ledger()
    ledger.claim(claim("one"))
    assert ledger.claim(claim("two", fingerprint=b"g")).outcome is ClaimOutcome.MISMATCH


def test_only_the_claimant_releases_and_never_wins_again():
    ledger = Ledger()
    ledger.claim(claim("one"))
    assert ledger.release(release("two")) is LedgerOutcome.UNKNOWN
    assert ledger.release(release("one")) is LedgerOutcome.DONE
    assert ledger.claim(claim("one")).outcome is ClaimOutcome.RELEASED
    assert ledger.claim(claim("two")).outcome is ClaimOutcome.WON
    assert ledger.claim(claim("one")).outcome is ClaimOutcome.RELEASED
    assert ledger.settle(settle("one")) is LedgerOutcome.UNKNOWN


@pytest.mark.parametrize("end", [None, settle("one")])
def test_expired_key_is_reported_and_later_removed(end):
    ledger = Ledger()
    ledger.claim(claim("one"))
    if end is not None:
        ledger.settle(end)
    assert ledger.claim(claim("two", time=RETENTION)).outcome is ClaimOutcome.EXPIRED
    assert ledger.claim(claim("two", time=RETENTION * 2)).outcome is ClaimOutcome.WON


def test_log_time_never_goes_back():
    ledger = Ledger()
    ledger.claim(claim("one", time=50.0))
    ledger.claim(claim("two", key="other", time=10.0))
    assert ledger.time == 50.0


class NaiveLedger:
    """Keeps all commands with their outcomes and decides by reading the whole history."""

    def __init__(self):
        self.history = []
        self.time = 0.0

    def _current_claim(self, command):
        """Return the key's current claim, its time, whether it is settled, and released ids."""
        self.time = max(self.time, command.time)
        holder, started, settled, released = None, 0.0, False, set()
        for time, old, outcome in self.history:
            if (old.customer, old.key) != (command.customer, command.key):
                continue
            if holder and started + 2 * RETENTION <= time:
                holder, settled, released = None, False, set()
            if outcome is ClaimOutcome.WON and (holder is None or holder.claim_id != old.claim_id):
                holder, started, settled = old, time, False
            elif outcome is LedgerOutcome.DONE and isinstance(old, Settle):
                settled = True
            elif outcome is LedgerOutcome.DONE:
                released.add(old.claim_id)
        if holder and started + 2 * RETENTION <= self.time:
            return None, 0.0, False, set()
        return holder, started, settled, released

    def run(self, command):
        """Return the outcome of a command by the rules of the ledger."""
        holder, started, settled, released = self._current_claim(command)
        outcome = self._decide(command, holder, started, settled, released)
        self.history.append((self.time, command, outcome))
        return outcome

    def _decide(self, command, holder, started, settled, released):
        is_holder = holder is not None and holder.claim_id == command.claim_id
        free = holder is None or holder.claim_id in released
        if isinstance(command, Claim):
            if holder is None:
                return ClaimOutcome.WON
            if holder.fingerprint != command.fingerprint:
                return ClaimOutcome.MISMATCH
            if command.claim_id in released:
                return ClaimOutcome.RELEASED
            if free:
                return ClaimOutcome.WON
            if started + RETENTION <= self.time:
                return ClaimOutcome.EXPIRED
            if settled:
                return ClaimOutcome.SETTLED
            return ClaimOutcome.WON if is_holder else ClaimOutcome.HELD
        if not is_holder:
            return LedgerOutcome.UNKNOWN
        if isinstance(command, Settle):
            return LedgerOutcome.UNKNOWN if free else LedgerOutcome.DONE
        return LedgerOutcome.UNKNOWN if settled else LedgerOutcome.DONE


def random_command(rng, time):
    claim_id, key = f"id{rng.randrange(6)}", f"k{rng.randrange(2)}"
    kind = rng.random()
    if kind < 0.6:
        return claim(claim_id, key, rng.choice((b"f", b"f", b"f", b"g")), time)
    return settle(claim_id, key, time) if kind < 0.8 else release(claim_id, key, time)


@pytest.mark.parametrize("seed", range(40))
def test_matches_the_naive_ledger(seed):
    """Random commands give the same outcomes, also after a snapshot and restore."""
    rng = random.Random(seed)
    ledger, reference, time = Ledger(), NaiveLedger(), 0.0
    for _ in range(200):
        time += rng.choice((0.0, 1.0, 5.0, 60.0))
        command = random_command(rng, time - rng.choice((0.0, 0.0, 3.0)))
        if isinstance(command, Claim):
            outcome = ledger.claim(command).outcome
        elif isinstance(command, Settle):
            outcome = ledger.settle(command)
        else:
            outcome = ledger.release(command)
        assert outcome == reference.run(command), command
        if rng.random() < 0.05:
            data = ledger.snapshot()
            ledger = Ledger()
            ledger.restore(data)
