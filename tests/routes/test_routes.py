"""Routes match by the longest prefix, and validation names the field of each problem."""

import random

import msgspec
import pytest

from traystall.routes.checks import check_table
from traystall.routes.matching import RouteIndex, choose_pool
from traystall.routes.models import KeyedCustomer, Pool, Route, RoutingTable, Split, StagePlan


def route(name, host="a.example", prefix="/", **fields):
    return Route(name, host, prefix, fields.pop("splits", (Split("p"),)), **fields)


def test_route_is_the_longest_prefix_of_the_host():
    index = RouteIndex(
        RoutingTable(
            1,
            (route("root"), route("x", prefix="/x/"), route("xy", prefix="/x/y/")),
            (Pool("p"),),
        )
    )
    found = {
        path: getattr(index.route("A.example:80", path), "name", None)
        for path in ("/", "/x", "/x/", "/x/y", "/x/y/z", "/xy/", "x/y/")
    }
    assert found == {
        "/": "root",
        "/x": "root",
        "/x/": "x",
        "/x/y": "x",
        "/x/y/z": "xy",
        "/xy/": "root",
        "x/y/": None,
    }
    assert index.route("b.example", "/") is None


def test_pools_get_requests_by_weight():
    chosen = [
        choose_pool(route("r", splits=(Split("p", 90), Split("q", 10), Split("z", 0))), rng)
        for rng in [random.Random(1)]
        for _ in range(2000)
    ]
    assert 0.85 < chosen.count("p") / 2000 < 0.95
    assert "z" not in chosen


VALID_TABLE = RoutingTable(
    1,
    (route("r", stages=(StagePlan("p"), StagePlan("p", (0,)))),),
    (Pool("p"),),
    (KeyedCustomer("ana", ("k1",)), KeyedCustomer("bo", ("k2",))),
)


def test_valid_table_has_no_problems():
    assert check_table(VALID_TABLE) == []


@pytest.mark.parametrize(
    ("change", "problem", "named"),
    [
        ({"routes": (route("r", splits=(Split("q"),)),)}, "routes.E001", "r"),
        ({"routes": (route("r", stages=(StagePlan("q"),)),)}, "routes.E001", "r"),
        ({"routes": (route("r", splits=(Split("p", 0),)),)}, "routes.E002", "r"),
        ({"routes": (route("r", splits=()),)}, "routes.E002", "r"),
        ({"routes": (route("r", splits=(Split("p", -1), Split("p", 2))),)}, "routes.E003", "r"),
        ({"routes": (route("r", timeout=0.0),)}, "routes.E004", "r"),
        ({"routes": (route("r", stages=(StagePlan("p", (0,)),)),)}, "routes.E005", "r"),
        ({"routes": (route("r"), route("s"))}, "routes.E006", "a.example"),
        (
            {"customers": (KeyedCustomer("ana", ("k",)), KeyedCustomer("bo", ("k",)))},
            "routes.E007",
            "ana",
        ),
    ],
)
def test_invalid_table_has_one_problem(change, problem, named):
    problems = check_table(msgspec.structs.replace(VALID_TABLE, **change))
    assert [p.id for p in problems] == [problem]
    assert named in problems[0].message


def test_customer_is_found_by_key():
    index = RouteIndex(VALID_TABLE)
    assert index.customer("k2").name == "bo"
    assert index.customer("k3") is None


def test_final_stages_are_read_by_no_other_stage():
    stages = (StagePlan("p"), StagePlan("p"), StagePlan("p", (1,)))
    assert route("r", stages=stages).final_stages() == (0, 2)
