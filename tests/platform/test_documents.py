"""Operator documents are split and joined without loss; invalid ones are refused with problems."""

import json

import pytest
from traystall_platform import documents
from traystall_platform.node_file import NodeFile

from traystall.catalog.deltas import make_delta
from traystall.core.exceptions import BundleError

ROUTE = {
    "name": "r-1",
    "host": "a.example",
    "path-prefix": "/a/",
    "kind": "streaming",
    "timeout-ms": 8000,
    "goal-ms": 1000,
    "priority": 1,
    "backends": [{"service": "llm", "weight": 90}, {"service": "other", "weight": 10}],
    "max-attempts": 2,
    "stages": [{"service": "other", "since-rev": [], "bytes": 3000}],
    "resumable": True,
    "unknown-field": {"kept": [1, 2]},
}
DOCUMENT = {
    "version": 7,
    "routes": [
        ROUTE,
        {**ROUTE, "name": "r-2", "path-prefix": "/b/", "kind": "idempotent", "service": "llm"},
    ],
    "services": [
        {"name": "llm", "max-conns": 370, "engine": {"slots": 64, "kv-capacity": 600}},
        {"name": "other", "pieces": {"slots": 1, "batch": 7, "call-ms": 150, "item-ms": 18.5}},
    ],
    "limits": {"max-body-bytes": 100},
    "tenants": [{"name": "ana", "api-keys": ["k1", "k2"], "priority": 1}],
    "another": "kept",
}


def changed(**fields):
    return json.dumps({**DOCUMENT, **fields}).encode()


def test_documents_survive_a_round_trip():
    version, entities = documents.check(changed())
    assert json.loads(documents.join(version, entities)) == DOCUMENT


def test_routes_and_pools_are_translated():
    table = documents.translate(*documents.check(changed()))
    first, second = table.routes
    assert (first.streamed, first.resumable, first.is_safe_to_retry) == (True, True, True)
    assert [(split.pool, split.weight) for split in first.splits] == [("llm", 90), ("other", 10)]
    assert (first.timeout, first.aim, first.max_attempts) == (8.0, 1.0, 2)
    assert second.is_safe_to_retry and not second.streamed
    assert table.pools[1].batches.seconds(2) == pytest.approx(0.187)
    assert table.limits.max_body_bytes == 100
    assert table.customers[0].keys == ("k1", "k2")


def test_document_without_tenants_needs_no_key():
    document = {key: value for key, value in DOCUMENT.items() if key != "tenants"}
    assert documents.translate(*documents.check(json.dumps(document).encode())).customers is None


@pytest.mark.parametrize("length", [0, 1, 40, 400, len(changed()) - 1])
def test_truncated_document_is_rejected(length):
    with pytest.raises(BundleError):
        documents.check(changed()[:length])


@pytest.mark.parametrize(
    "fields",
    [
        {"routes": [{**ROUTE, "backends": [{"service": "none", "weight": 1}]}]},
        {"routes": [{**ROUTE, "backends": [{"service": "llm", "weight": 0}]}]},
        {"routes": [{**ROUTE, "timeout-ms": 0}]},
        {"routes": [ROUTE, ROUTE]},
        {"routes": [{"name": "r"}]},
        {"routes": {}},
        {"routes": [3]},
        {"version": "x"},
        {"version": None},
        {
            "tenants": [
                {"name": "ana", "api-keys": ["k"]},
                {"name": "bo", "api-keys": ["k"]},
            ]
        },
    ],
)
def test_invalid_document_is_rejected_with_its_problem(fields):
    with pytest.raises(BundleError) as caught:
        documents.check(changed(**fields))
    assert caught.value.problems and all(problem.id for problem in caught.value.problems)


def test_settings_file_is_read_and_unknown_fields_are_skipped():
    node = NodeFile.parse(
        "ip=10.1.0.44\nseeds=10.1.0.44:8628,10.2.0.27:8628\nport-range=7740,7755\nx"
    )
    assert node.control_rpc_addresses() == ["10.1.0.44:7740", "10.2.0.27:7740"]
    assert node.number("bounds.grace-s", 8.0) == 8.0
    assert not node.is_true("bootstrap")


REGIONS = {"north": ("n-a", "n-b"), "south": ("s-a",)}


def translated(**fields):
    version, entities = documents.check(changed(**fields))
    return documents.translate(version, entities, regions=REGIONS)


def test_allowed_regions_are_the_data_centres_of_routes_and_customers():
    table = translated(
        routes=[{**ROUTE, "allowed-regions": ["north"]}],
        tenants=[{"name": "ana", "api-keys": ["k"], "allowed-regions": ["south", "north"]}],
    )
    assert table.routes[0].data_centres == ("n-a", "n-b")
    assert table.customers[0].data_centres == ("s-a", "n-a", "n-b")
    assert table.customers[0].may_enter("s-b")


def test_unknown_region_does_not_allow_every_data_centre():
    table = translated(routes=[{**ROUTE, "allowed-regions": ["west"]}])
    assert table.routes[0].data_centres == ("west",)
    assert translated().routes[0].data_centres == ()


def test_node_file_names_regions_with_their_data_centres():
    text = "zone=n-a\nzones.n-a=north\nzones.n-b=north\nzones.s-a=south\n"
    node_file = NodeFile.parse(text)
    assert node_file.regions() == REGIONS
    assert node_file.data_centres() == ["n-a", "n-b", "s-a"]


def test_cold_targets_are_declared_by_their_service():
    service = {"name": "llm", "cold-start-s": 3.0, "cold-per-s": 9.1}
    table = translated(services=[service, DOCUMENT["services"][1]])
    assert (table.pools[0].cold_seconds, table.pools[0].cold_per_second) == (3.0, 9.1)
    assert table.pools[1].cold_per_second == 0.0


def _routes(count):
    return [{**ROUTE, "name": f"r-{n}", "path-prefix": f"/p{n}/"} for n in range(count)]


def _delta_bytes(held, entities):
    delta = make_delta(held, entities)
    return sum(len(key) + len(value) for key, value in delta.puts.items()) + sum(
        map(len, delta.deletes)
    )


def test_first_route_taken_out_is_a_small_change():
    """A route's position in the list was a part of its key, so all routes behind were renamed."""
    routes = _routes(500)
    _, first = documents.check(changed(routes=routes))
    held = documents.keep_keys({}, first)
    for _ in range(5):
        del routes[0]
        version, entities = documents.check(changed(routes=routes))
        arranged = documents.keep_keys(held, entities)
        assert _delta_bytes(held, arranged) < 100
        held = arranged
        assert json.loads(documents.join(version, held)) == {**DOCUMENT, "routes": routes}


@pytest.mark.parametrize(
    "change",
    [
        lambda routes: routes[::-1],
        lambda routes: [*routes[5:], *routes[:5]],
        lambda routes: [{**ROUTE, "name": "r-3", "path-prefix": "/new/"}, *routes],
        lambda routes: [{**route, "name": "same"} for route in routes],
        lambda routes: [],
    ],
)
def test_documents_are_restored_after_any_change(change):
    """Keys of an earlier document must not change the order of a later one."""
    routes = _routes(30)
    for held in (
        documents.check(changed(routes=routes))[1],
        documents.keep_keys({}, documents.check(changed(routes=routes))[1]),
    ):
        version, entities = documents.split(changed(routes=change(routes)))
        arranged = documents.keep_keys(held, entities)
        expected = {**DOCUMENT, "routes": change(routes)}
        assert json.loads(documents.join(version, arranged)) == expected
        assert [route.name for route in documents.translate(version, arranged).routes] == [
            route["name"] for route in change(routes)
        ]


def test_items_that_did_not_change_are_translated_once():
    """Each small change of a large document cost its whole translation, at every gateway."""
    translator = documents.DocumentTranslator()
    routes = _routes(50)
    first = translator(*documents.check(changed(routes=routes)))
    second_routes = [*routes[1:], {**ROUTE, "name": "new", "path-prefix": "/new/"}]
    entities = documents.check(changed(routes=second_routes))[1]
    second = translator(8, entities)
    assert all(a is b for a, b in zip(first.routes[1:], second.routes, strict=False))
    assert second == documents.translate(8, entities)
    routes[3] = {**routes[3], "timeout-ms": 1000}
    third = translator(9, documents.check(changed(routes=routes))[1])
    assert [route.timeout for route in third.routes[2:5]] == [8.0, 1.0, 8.0]
