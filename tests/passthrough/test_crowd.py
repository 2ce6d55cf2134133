"""Load peaks at shared pools: the served ratio by route, with and without capacity shares."""

import functools
from collections import Counter

import pytest

from tests.support.crowd import (
    IN_TIME,
    LATE,
    LOST,
    REFUSED_AT_ONCE,
    REFUSED_LATE,
    Crowd,
    alike_in_patience,
    patient_and_impatient,
    read_out,
    served_part,
)

SECONDS = 11.0
BURST_FROM, BURST_TO, BURST_FACTOR = 2.0, 7.0, 2.3
SEEDS = [1, 2]


def burst_of(*names):
    def factor(kind, time):
        return BURST_FACTOR if kind in names and BURST_FROM < time < BURST_TO else 1.0

    return factor


@functools.cache
def simulate(site, name, seed, with_shares=True):
    """Return the outcome of each request of a burst; without shares no pool counts as shared."""
    pools, kinds = site()
    crowd = Crowd(pools, kinds, seed, shared=None if with_shares else frozenset())
    return crowd.run(SECONDS, burst_of(name))


def parts(fates):
    return {kind: served_part(counts) for kind, counts in read_out(fates).items()}


@pytest.mark.parametrize("seed", SEEDS)
def test_route_with_long_goal_does_not_displace_one_with_a_short_goal(seed):
    before = parts(simulate(patient_and_impatient, "brief", seed, False))
    after = parts(simulate(patient_and_impatient, "brief", seed))
    assert before["chat"] < 0.7 < 0.8 < after["chat"]
    assert after["brief"] > 0.8
    assert after["dossier"] > 0.98


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_of_tight_routes_are_refused_instead_of_served_late(seed):
    before = simulate(alike_in_patience, "explain", seed, False)
    after = simulate(alike_in_patience, "explain", seed)
    assert parts(after)["explain"] > parts(before)["explain"] + 0.1
    assert parts(after)["reminder"] > parts(before)["reminder"] + 0.05
    late = [sum(fate.outcome == LATE for fate in fates) for fates in (before, after)]
    assert late[1] < late[0] / 2


@pytest.mark.parametrize("site", [patient_and_impatient, alike_in_patience])
def test_no_request_is_refused_without_congestion(site):
    outcomes = Counter(fate.outcome for fate in simulate(site, "none", 1))
    assert outcomes[IN_TIME] > 0.98 * outcomes.total()
    assert set(outcomes) <= {IN_TIME, LATE}


@pytest.mark.parametrize("seed", SEEDS)
def test_refusals_are_immediate_and_admitted_requests_finish(seed):
    outcomes = Counter(fate.outcome for fate in simulate(patient_and_impatient, "brief", seed))
    assert outcomes[REFUSED_LATE] == outcomes[LOST] == 0


@pytest.mark.parametrize("seed", SEEDS)
def test_small_customers_are_refused_less_than_the_largest(seed):
    counts = read_out(simulate(alike_in_patience, "explain", seed), "customer")
    small = sum((counts[f"c{number}"] for number in range(8, 16)), Counter())

    def refused(found):
        return (found[REFUSED_AT_ONCE] + found[REFUSED_LATE]) / found.total()

    assert refused(small) < refused(counts["c0"]) / 2


def test_immediate_retries_gain_nothing_and_cost_other_customers_little():
    def served(repeaters):
        pools, kinds = alike_in_patience()
        crowd = Crowd(pools, kinds, 3)
        crowd.repeaters = repeaters
        counts = read_out(crowd.run(SECONDS, burst_of("explain", "reminder")), "customer")
        repeater = served_part(counts.pop("c0"))
        return repeater, served_part(sum(counts.values(), Counter()))

    patient, repeating = served(set()), served({"c0"})
    assert repeating[0] <= patient[0] + 0.03
    assert repeating[1] >= patient[1] - 0.02


FAULTS = {
    "crash": lambda crowd: [(4.0, crowd.crash("stock", 3, 3.0))],
    "slow": lambda crowd: [(4.0, crowd.slow("stock", 3, 2.5))],
    "batcher": lambda crowd: [(4.0, crowd.lose_batcher)],
}


@pytest.mark.parametrize("name", FAULTS)
def test_faults_during_a_burst_starve_no_route(name):
    pools, kinds = alike_in_patience()
    crowd = Crowd(pools, kinds, 1)
    fates = crowd.run(SECONDS, burst_of("explain"), FAULTS[name](crowd))
    during = [fate for fate in fates if 4.0 < fate.at < 7.5]
    after = [fate for fate in fates if fate.at > 9.5]
    assert min(parts(during).values()) > 0.2
    assert min(parts(after).values()) > (0.6 if name == "slow" else 0.85)
