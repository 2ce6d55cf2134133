"""Declared entities: what an operator's bundle says of customers, pipelines and targets.

Times are seconds, rates are requests a second. Every entity is immutable; a
new revision brings new rows.
"""

from enum import StrEnum
from typing import Annotated

import msgspec

from traystall.routes.models import KeyedCustomer, Pool, Route

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Kind(StrEnum):
    """Name the kinds of target, each behind its own adapter."""

    ENCODER = "encoder"
    RETRIEVER = "retriever"
    RERANKER = "reranker"
    ENGINE = "engine"
    SERVICE = "service"


class PriorityClass(StrEnum):
    """Name the classes in falling priority."""

    QUICK = "quick"
    STANDARD = "standard"
    LONG = "long"


CLASS_RANK = {kind: rank for rank, kind in enumerate(PriorityClass)}


class Transit(StrEnum):
    """Say whether a gateway outside a customer's data centres may pass its bytes on."""

    RELAY = "relay"
    REFUSE = "refuse"


class Limits(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Bound one customer over the whole system; zero means no bound."""

    rate: float = 0.0
    concurrency: int = 0
    share: Positive = 1.0


class Customer(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Declare where a customer's requests and intermediate results may live."""

    name: Name
    data_centres: tuple[Name, ...]
    limits: Limits = Limits()
    transit: Transit = Transit.RELAY


class Stage(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Declare one stage of a pipeline: which pool of targets runs it, and how."""

    name: Name
    pool: Name
    kind: Kind
    model: str = ""
    path: str = ""
    repeatable: bool = True
    max_tokens: Count = 256


class Pipeline(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Declare a chain of stages under one deadline."""

    name: Name
    stages: tuple[Stage, ...]
    deadline: Positive = 2.0
    priority: PriorityClass = PriorityClass.STANDARD
    # How long an outcome of keyed not-repeatable work is remembered.
    retention: Positive = 86400.0

    @property
    def repeatable(self) -> bool:
        """Return whether every stage may run again."""
        return all(stage.repeatable for stage in self.stages)


class Target(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Declare one back end: its pool, place, address and what it can do."""

    name: Name
    pool: Name
    kind: Kind
    data_centre: Name
    address: str
    slots: Count = 4
    reports_load: bool = True
    # Whether the target checks the fencing token of an order.
    fencing: bool = True
    # Path at which the outcome of a key can be queried, empty if it cannot.
    lookup: str = ""


class Model(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Declare a model and its wanted ready replicas in each data centre of a pool."""

    name: Name
    version: str
    pool: Name
    replicas: Count = 1
    adapters: tuple[str, ...] = ()


class DataCentre(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Declare a data centre and its region."""

    name: Name
    region: Name
    # Entry instances here; customers' limits are divided by this number.
    gateways: Count = 1


class OrderPolicy(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    """Declare how orders to targets are paced; one row, named `orders`."""

    name: Name = "orders"
    loads_per_minute: Positive = 30.0
    order_timeout: Positive = 5.0


# Routes are declared in their own module; they are entities of a bundle like any other.
ENTITY_TYPES = {
    "route": Route,
    "pool": Pool,
    "keyed_customer": KeyedCustomer,
    "data_centre": DataCentre,
    "customer": Customer,
    "pipeline": Pipeline,
    "target": Target,
    "model": Model,
    "order_policy": OrderPolicy,
}


def entity_key(kind: str, name: str) -> str:
    """Return the key of an entity in a revision, such as `customer/apiario-sol`."""
    return f"{kind}/{name}"
