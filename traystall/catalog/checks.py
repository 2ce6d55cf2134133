"""Check references between a bundle's entities; each problem has a stable id and a remedy."""

from traystall.conf.checks import Problem, check_address
from traystall.routes.checks import check_table
from traystall.routes.models import KeyedCustomer, Pool, Route, RoutingTable
from traystall.tables.entities import Customer, DataCentre, Kind, Model, Pipeline, Target


def check_entities(entities: dict[str, object]) -> list[Problem]:
    """Return every problem of a whole configuration."""
    places = {e.name for e in entities.values() if isinstance(e, DataCentre)}
    targets = [e for e in entities.values() if isinstance(e, Target)]
    pools: dict[str, set[Kind]] = {}
    for target in targets:
        pools.setdefault(target.pool, set()).add(target.kind)
    problems = _check_targets(targets, places)
    problems += _check_routes(entities, places)
    for entity in entities.values():
        if isinstance(entity, Customer):
            problems += _check_customer(entity, places)
        elif isinstance(entity, Pipeline):
            problems += _check_pipeline(entity, pools)
        elif isinstance(entity, Model):
            problems += _check_model(entity, pools)
    return problems


def _check_routes(entities, places):
    """Return the problems of the routing table and of undeclared data centres in it."""
    rows = list(entities.values())
    keyed = tuple(row for row in rows if isinstance(row, KeyedCustomer))
    table = RoutingTable(
        routes=tuple(row for row in rows if isinstance(row, Route)),
        pools=tuple(row for row in rows if isinstance(row, Pool)),
        customers=keyed,
    )
    problems = check_table(table)
    for customer in keyed:
        for unknown in sorted(set(customer.data_centres) - places):
            message = f"Customer '{customer.name}' names the unknown data centre '{unknown}'."
            problems.append(Problem("bundle.E023", message, "Declare it under data_centres."))
    return problems


def _check_customer(customer, places):
    problems = []
    if not customer.data_centres:
        message = f"Customer '{customer.name}' has no data centre."
        problems.append(Problem("bundle.E020", message, "Name those where its data may live."))
    for unknown in sorted(set(customer.data_centres) - places):
        message = f"Customer '{customer.name}' names the unknown data centre '{unknown}'."
        problems.append(Problem("bundle.E021", message, "Declare it under data_centres."))
    if customer.limits.rate < 0 or customer.limits.concurrency < 0:
        message = f"Customer '{customer.name}' has a limit below zero."
        problems.append(Problem("bundle.E022", message, "Use zero for no limit."))
    return problems


def _check_pipeline(pipeline, pools):
    problems = []
    if not pipeline.stages:
        message = f"Pipeline '{pipeline.name}' has no stage."
        problems.append(Problem("bundle.E030", message, "Declare at least one."))
    names = [stage.name for stage in pipeline.stages]
    for name in sorted({name for name in names if names.count(name) > 1}):
        message = f"Pipeline '{pipeline.name}' has two stages called '{name}'."
        problems.append(Problem("bundle.E031", message, "Give each stage its own name."))
    for stage in pipeline.stages:
        kinds = pools.get(stage.pool)
        where = f"Pipeline '{pipeline.name}', stage '{stage.name}'"
        if kinds is None:
            message = f"{where}: pool '{stage.pool}' has no target."
            problems.append(Problem("bundle.E032", message, "Declare one under targets."))
        elif stage.kind not in kinds:
            message = f"{where}: pool '{stage.pool}' holds no {stage.kind.value}."
            problems.append(Problem("bundle.E033", message, "Correct the stage's kind or pool."))
    return problems


def _check_targets(targets, places):
    problems = []
    seen: dict[str, str] = {}
    for target in targets:
        if target.data_centre not in places:
            message = f"Target '{target.name}' is in the unknown data centre '{target.data_centre}'"
            problems.append(Problem("bundle.E040", message + ".", "Declare it under data_centres."))
        problems += check_address(f"The address of target '{target.name}'", target.address)
        if target.address in seen:
            message = f"Targets '{seen[target.address]}' and '{target.name}' share an address."
            problems.append(Problem("bundle.E041", message, "Give each its own."))
        seen[target.address] = target.name
    return problems


def _check_model(model, pools):
    if Kind.ENGINE in pools.get(model.pool, set()):
        return []
    message = f"Model '{model.name}': pool '{model.pool}' holds no engine."
    return [Problem("bundle.E050", message, "Name a pool of engines.")]
