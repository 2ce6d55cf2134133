"""The requests to a cold target stay within its limit, summed over all gateways.

The gateways do not coordinate, and each of them may know different peers.
"""

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from tests.support.emulator.gateway import EmulatedGateway, run, table
from tests.support.emulator.runner import Runner
from traystall.core import clock
from traystall.passthrough.health.cold import (
    WINDOW_SECONDS,
    ColdStartLimit,
    RecentRequestCounter,
    coordinator_allowance,
    gateway_allowance,
)
from traystall.registry.models import TargetReport
from traystall.registry.records import to_record, to_report
from traystall.registry.table import Registry
from traystall.rpc.gen.wire.ttypes import PlaceRequest

RULES = st.builds(ColdStartLimit, excess=st.floats(1.0, 3.0), slack=st.floats(0.0, 20.0))


def gateways(count):
    return [f"gateway-{number}" for number in range(count)]


@given(RULES, st.floats(0.5, 200.0), st.integers(1, 120))
def test_sum_of_gateway_allowances_stays_within_the_bound(rule, per_second, count):
    names = gateways(count)
    taken = [
        gateway_allowance(rule, per_second, "t", name, names, divides_all=True) for name in names
    ]
    assert sum(taken) <= rule.bound(per_second)
    assert max(taken) - min(taken) <= 1


@given(RULES, st.floats(3.0, 200.0), st.integers(1, 120))
@example(ColdStartLimit(), 199.99999999999997, 1)
def test_two_coordinators_and_all_gateways_stay_within_the_bound(rule, per_second, count):
    names = gateways(count)
    alone = sum(
        gateway_allowance(rule, per_second, "t", name, names, divides_all=False) for name in names
    )
    acting = 2 * coordinator_allowance(rule, per_second)
    assert acting + alone <= rule.bound(per_second)


def test_coordinator_allowance_is_most_of_the_rate_of_a_cold_target():
    assert coordinator_allowance(ColdStartLimit(1.5, 5.0), 9.1) == 7
    assert coordinator_allowance(ColdStartLimit(3.0, 5.0), 9.1) == 9


def test_gateway_missing_from_the_directory_counts_itself():
    assert gateway_allowance(ColdStartLimit(), 10.0, "t", "new", [], divides_all=True) == 9
    assert gateway_allowance(ColdStartLimit(), 10.0, "t", "new", gateways(8), divides_all=True) == 1


def test_counter_covers_a_window():
    book = RecentRequestCounter()
    for at in (0.0, 0.5, 1.0):
        book.record("t", at)
    assert book.count("t", 1.0) == 3
    assert book.count("t", WINDOW_SECONDS) == 2
    assert book.count("other", 1.0) == 0
    book.retain({"other"})
    assert book.count("t", 1.0) == 0


def report(sequence, warming, identity="t"):
    return TargetReport(identity, "engine", "1.2.3.4:5", "here", sequence=sequence, warming=warming)


def test_target_that_becomes_cold_again_changes_the_registry():
    registry = Registry()
    registry.merge(report(1, 3.0), 10.0)
    assert registry.get("t").cold_until == 13.0
    version = registry.version
    assert not registry.merge(report(2, 1.8), 11.2)
    assert registry.version == version
    assert not registry.merge(report(3, 0.0), 14.0)
    assert registry.merge(report(4, 3.0), 20.0)
    assert registry.get("t").cold_until == 23.0


def test_outdated_report_does_not_mark_a_target_cold():
    registry = Registry()
    registry.merge(report(4, 0.0), 20.0)
    assert not registry.merge(report(2, 3.0), 21.0)
    assert registry.get("t").cold_until <= 20.0


def test_end_of_a_cold_start_is_the_same_at_a_later_recipient():
    registry, other = Registry(), Registry()
    registry.merge(report(1, 3.0), 10.0)
    registry.record_seen("t", 11.5)
    record = to_record(registry.get("t"), now=12.0)
    other.merge(to_report(record), seen_at=12.0 - record.age)
    assert other.get("t").cold_until == pytest.approx(13.0)


def cold_table(per_second=4.0):
    found = table()
    pools = tuple(
        msgspec.structs.replace(pool, cold_seconds=3.0, cold_per_second=per_second)
        for pool in found.pools
    )
    return msgspec.structs.replace(found, pools=pools)


def place(gateway, number):
    request = PlaceRequest(pool="engine", request_id=f"r{number}", tokens=100, book=True)
    return gateway.context.placement_service.place_for_peer(request).identity


def test_placer_limits_a_cold_engine_and_uses_warm_ones_for_the_remainder():
    async def scenario():
        engines = [await Runner(f"e-{n}", events=1).start() for n in range(2)]
        async with EmulatedGateway(cold_table(), [("engine", e) for e in engines]) as gateway:
            cold = TargetReport("e-0", "engine", engines[0].address, "here", sequence=2, warming=3)
            gateway.context.board.merge(cold, clock.monotonic())
            placed = [place(gateway, number) for number in range(30)]
            allowed = coordinator_allowance(ColdStartLimit(), 4.0)
            assert placed.count("e-0") <= allowed
            assert placed.count("e-1") == 30 - placed.count("e-0")

    run(scenario())


def test_gateway_that_places_on_its_own_has_a_smaller_allowance():
    async def scenario():
        engines = [await Runner(f"e-{n}", events=1).start() for n in range(2)]
        async with EmulatedGateway(cold_table(), [("engine", e) for e in engines]) as gateway:
            cold = TargetReport("e-0", "engine", engines[0].address, "here", sequence=2, warming=3)
            gateway.context.board.merge(cold, clock.monotonic())
            view = gateway.context.board.view("e-0")
            assert gateway.context.cold.may_send(view, as_coordinator=True)
            assert not gateway.context.cold.may_send(view)

    run(scenario())


def test_cold_plain_targets_get_this_gateways_share():
    async def scenario():
        targets = [await Runner(f"p-{n}").start() for n in range(2)]
        async with EmulatedGateway(cold_table(6.0), [("plain", t) for t in targets]) as gateway:
            cold = TargetReport(
                "p-0", "plain", targets[0].address, "here", slots=4, sequence=2, warming=3
            )
            gateway.context.board.merge(cold, clock.monotonic())
            for _ in range(20):
                assert (await gateway.call())[0] == 200
            allowed = gateway_allowance(
                ColdStartLimit(), 6.0, "p-0", "gateway-1", [], divides_all=True
            )
            assert 0 < len(targets[0].runs) <= allowed

    run(scenario())
