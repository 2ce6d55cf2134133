"""Generate configurations of routes in the format of the users' platform, for benchmarks."""

import json
import random
import string
import sys
from pathlib import Path

# Appended last, so that this folder does not hide the standard library's `platform` module.
sys.path.append(str(Path(__file__).resolve().parent.parent / "platform"))
from traystall_platform import documents  # noqa: E402

# Characters that are allowed in a path; a random one has 6.3 bits of entropy in its 8 bits.
_CHARACTERS = string.ascii_letters + string.digits + "-._~!$&'()*+,;=:@"
_RANDOM_PATH_CHARACTERS = 3_600


def route(number: int, path: str) -> dict:
    """Return a route in the operators' format, about 430 bytes without its path."""
    return {
        "name": f"route-{number:05d}",
        "host": f"tenant-{number % 40:02d}.example",
        "path-prefix": f"/{path}/",
        "kind": ("streaming", "idempotent")[number % 2],
        "timeout-ms": 8000 + number % 7 * 500,
        "goal-ms": 1000 + number % 5 * 100,
        "gap-target-ms": 0,
        "priority": number % 3,
        "backends": [{"service": "llm", "weight": 90}, {"service": "other", "weight": 10}],
        "max-attempts": 2,
        "stages": [{"service": "other", "since-rev": [], "bytes": 3000 + number % 11 * 100}],
        "public": False,
        "sticky": False,
        "resumable": True,
        "allowed-regions": [],
    }


def entities_of(routes: list[dict]) -> dict[str, bytes]:
    """Return the validated entities of a document with these routes."""
    services = [{"name": "llm", "max-conns": 370}, {"name": "other"}]
    document = {"version": 1, "routes": routes, "services": services}
    return documents.check(json.dumps(document).encode())[1]


def plain_routes(count: int) -> list[dict]:
    """Return routes that compress well."""
    return [route(number, f"service/{number:05d}/v1") for number in range(count)]


def of_size(size: int, is_random: bool) -> dict[str, bytes]:
    """Return entities of about `size` bytes; random ones hardly compress."""
    if not is_random:
        per_route = raw_size(entities_of(plain_routes(100))) / 100
        return entities_of(plain_routes(round(size / per_route)))
    source = random.Random(size)
    count = max(1, round(size / (_RANDOM_PATH_CHARACTERS + 500)))
    paths = ["".join(source.choices(_CHARACTERS, k=_RANDOM_PATH_CHARACTERS)) for _ in range(count)]
    return entities_of([route(number, path) for number, path in enumerate(paths)])


def raw_size(entities: dict[str, bytes]) -> int:
    """Return the size of entities and their keys in bytes."""
    return sum(len(key) + len(value) for key, value in entities.items())
