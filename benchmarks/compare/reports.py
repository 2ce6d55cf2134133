"""Read the bench's report of one day: its worth, the parts of it, and the losses by cause.

A report is the JSON file that `run --report` writes. `worth` is the value of that name in the
bench's table: weighted parts minus prices, each as a ratio of the credit owed.
"""

from pathlib import Path

import msgspec


class Part(msgspec.Struct, array_like=True, frozen=True):
    """Hold one part of the worth: its name, its weight and the ratio that was reached."""

    name: str
    weight: float
    reached: float


class Price(msgspec.Struct, array_like=True, frozen=True):
    """Hold one price: its name, the amount in its own unit, and its deduction from the worth."""

    name: str
    amount: float
    worth: float


class Group(msgspec.Struct, frozen=True):
    """Count the requests of a class, of a data centre or of a time window."""

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    worth: float


class Report(msgspec.Struct, frozen=True):
    """Hold the bench's results for one day; `breaks` counts rule violations by name."""

    worth: float = msgspec.field(name="G")
    served: float
    refused: float
    failed: float
    parts: list[Part]
    prices: list[Price]
    classes: list[Group]
    zones: list[Group]
    windows: list[Group]
    unserved_by: list[tuple[str, int, list[str]]]
    breaks: dict[str, int] = {}
    fault: str | None = None

    def losses(self) -> dict[str, float]:
        """Return the deduction of each part and each price from a full worth of 1."""
        taken = {part.name: part.weight * (1.0 - part.reached) for part in self.parts}
        taken |= {price.name: price.worth for price in self.prices}
        return {name: worth for name, worth in taken.items() if worth > 0}


def read_report(path: Path) -> Report:
    """Return the report in a file; raise OSError or msgspec.DecodeError if it is unreadable."""
    return msgspec.json.decode(path.read_bytes(), type=Report)
