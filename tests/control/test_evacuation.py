"""Acknowledged evacuations are as durable as configurations; orders may be repeated safely."""

import asyncio

import pytest

from tests.control.test_self_repair import run_scenario
from traystall.core.exceptions import RpcError, RpcRefused
from traystall.rpc.gen.wire.ttypes import EvacuateRequest, StatusRequest


async def order(group, name, evacuated=True, data_centre="here"):
    """Send an order to one daemon, and retry until it is acknowledged."""
    request = EvacuateRequest(data_centre=data_centre, evacuated=evacuated, operator="ana")
    while True:
        try:
            return await group.daemons[name].leader.call(request, 2.0)
        except RpcRefused as error:
            if error.code not in ("not-leader", "in-doubt"):
                raise
        except RpcError:
            await asyncio.sleep(0.05)


def places(group):
    """Return the evacuated data centres in the state of each daemon."""
    return {name: d.node.state.evacuations.places for name, d in group.daemons.items()}


def all_agree(group, version, evacuated):
    wanted = (version, frozenset(evacuated))
    return all((p.version, p.data_centres) == wanted for p in places(group).values())


def test_order_to_any_daemon_is_known_to_all(tmp_path):
    async def scenario(group):
        reply = await order(group, "a")
        assert reply.changed and list(reply.evacuated.data_centres) == ["here"]
        await group.until(lambda: all_agree(group, 1, {"here"}))
        assert not (await order(group, "b")).changed
        assert (await order(group, "c", evacuated=False)).changed
        assert not (await order(group, "a", evacuated=False)).changed
        await group.until(lambda: all_agree(group, 2, ()))

    run_scenario(tmp_path, scenario)


def test_unknown_data_centre_is_refused_and_changes_nothing(tmp_path):
    async def scenario(group):
        for name in ("nowhere", ""):
            with pytest.raises(RpcRefused) as refused:
                await order(group, "b", data_centre=name)
            assert refused.value.code == "unknown-data-centre"
            assert "here" in refused.value.detail
        assert all_agree(group, 0, ())

    run_scenario(tmp_path, scenario)


def test_acknowledged_order_outlives_the_loss_of_all_power(tmp_path):
    async def scenario(group):
        await group.apply("a", 1, b"one")
        await order(group, "a")
        for name in "abc":
            await group.stop(name)
        await asyncio.gather(*(group.start(name, founding=True) for name in "abc"))
        await group.until(lambda: all_agree(group, 1, {"here"}))

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize("lost", ["leader", "follower"])
def test_acknowledged_order_outlives_a_wiped_disk_and_a_new_leader(tmp_path, lost):
    async def scenario(group):
        await order(group, "a")
        await group.until(lambda: group.leader() is not None)
        leader = next(name for name, d in group.daemons.items() if d is group.leader())
        name = leader if lost == "leader" else next(n for n in "abc" if n != leader)
        await group.stop(name, wipe=True)
        other = next(iter(group.daemons))
        assert not (await order(group, other)).changed
        await group.start(name)
        await group.until(lambda: all_agree(group, 1, {"here"}))

    run_scenario(tmp_path, scenario)


def test_newcomer_learns_of_evacuations_by_a_snapshot(tmp_path):
    async def scenario(group):
        await order(group, "a")
        replica = group.leader().node.replica
        replica.compact(replica.applied_index, group.leader().node.state.snapshot())
        await group.stop("c", wipe=True)
        await group.start("c")
        await group.until(lambda: all_agree(group, 1, {"here"}))

    run_scenario(tmp_path, scenario)


def test_concurrent_orders_leave_all_daemons_with_the_last_one(tmp_path):
    async def scenario(group):
        turns = [order(group, "abc"[n % 3], evacuated=n % 2 == 0) for n in range(12)]
        replies = await asyncio.gather(*turns)
        last = max(reply.evacuated.version for reply in replies)
        evacuated = ("here",) if last % 2 else ()
        await group.until(lambda: all_agree(group, last, evacuated))

    run_scenario(tmp_path, scenario)


def test_status_lists_evacuations_with_their_operator(tmp_path):
    async def scenario(group):
        await order(group, "a")
        reply = await group.daemons["a"].leader.call(StatusRequest(), 2.0)
        assert reply.evacuation_version == 1
        [record] = reply.evacuations
        assert (record.data_centre, record.operator, record.version) == ("here", "ana", 1)

    run_scenario(tmp_path, scenario)
