"""Print results as text for people or as JSON for scripts."""

import json

from traystall.cli.client import BadUsage

FORMATS = ("text", "json")


def show(result: dict, output: str) -> None:
    """Print one result document in the chosen format."""
    if output not in FORMATS:
        raise BadUsage(f"--output must be one of {', '.join(FORMATS)}, not '{output}'.")
    if output == "json":
        print(json.dumps(result, sort_keys=True))
        return
    for line in _lines(result, ""):
        print(line)


def _lines(value, indent):
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _field(key, item, indent)
    elif isinstance(value, list):
        for item in value:
            yield f"{indent}- {_flat(item)}"
    else:
        yield f"{indent}{value}"


def _field(key, item, indent):
    if isinstance(item, dict | list) and item:
        yield f"{indent}{key}:"
        yield from _lines(item, indent + "  ")
    else:
        yield f"{indent}{key}: {_flat(item)}"


def _flat(item):
    if isinstance(item, dict):
        return ", ".join(f"{key}={_flat(value)}" for key, value in item.items())
    if isinstance(item, list):
        return ", ".join(_flat(value) for value in item) or "none"
    return str(item)
