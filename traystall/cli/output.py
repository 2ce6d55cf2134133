"""Print command results as text or JSON."""

import json

from traystall.cli.client import BadUsage

FORMATS = ("text", "json")


def show(result: dict, output: str) -> None:
    """Print a result document as text or JSON; raise BadUsage for another format."""
    if output not in FORMATS:
        raise BadUsage(f"--output must be one of {', '.join(FORMATS)}, not '{output}'.")
    if output == "json":
        print(json.dumps(result, sort_keys=True))
        return
    for line in _format_lines(result, ""):
        print(line)


def _format_lines(value, indent):
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _format_field(key, item, indent)
    elif isinstance(value, list):
        for item in value:
            yield f"{indent}- {_format_inline(item)}"
    else:
        yield f"{indent}{value}"


def _format_field(key, item, indent):
    if isinstance(item, dict | list) and item:
        yield f"{indent}{key}:"
        yield from _format_lines(item, indent + "  ")
    else:
        yield f"{indent}{key}: {_format_inline(item)}"


def _format_inline(item):
    if isinstance(item, dict):
        return ", ".join(f"{key}={_format_inline(value)}" for key, value in item.items())
    if isinstance(item, list):
        return ", ".join(_format_inline(value) for value in item) or "none"
    return str(item)
