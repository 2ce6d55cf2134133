"""Render the reference pages from the code: settings, commands, problems, bundle.

Run with: python -m traystall.cli.reference --folder docs/reference
"""

import inspect
from pathlib import Path

import fire
import msgspec

from traystall.catalog.bundle import SECTIONS
from traystall.cli.main import Traystall
from traystall.cli.members import Members
from traystall.cli.quarantine import Quarantine
from traystall.cli.rests import Limits, Rests
from traystall.control.settings import SETTINGS as CONTROL_SETTINGS
from traystall.gateway import problems
from traystall.gateway.settings import SETTINGS as GATEWAY_SETTINGS
from traystall.passthrough.settings import SETTINGS as PASS_SETTINGS
from traystall.tables.entities import ENTITY_TYPES

_HEADER = "<!-- Made by python -m traystall.cli.reference; a test compares it. -->\n\n"


def settings_page() -> str:
    """Return the reference of both daemons' settings."""
    lines = ["# Settings", ""]
    programs = {
        "traystall-control": CONTROL_SETTINGS,
        "traystall-gateway": GATEWAY_SETTINGS,
        "traystall-pass": PASS_SETTINGS,
    }
    for program, declared in programs.items():
        lines += [
            f"## {program}",
            "",
            "| flag | variable | default | meaning |",
            "|---|---|---|---|",
        ]
        for setting in declared:
            default = "required" if setting.default is None else f"`{setting.default}`"
            lines.append(
                f"| `{setting.flag}` | `{setting.variable}` | {default} | {setting.help} |"
            )
        lines.append("")
    lines.append(
        "A flag goes before a variable. `--print-settings` shows each value and its source."
    )
    lines.append("Unknown flags and unknown `TRAYSTALL_` variables are errors; exit code 2.")
    return _HEADER + "\n".join(lines) + "\n"


def commands_page() -> str:
    """Return the reference of the client's commands."""
    lines = ["# Commands", "", inspect.getdoc(Traystall), ""]
    owners = {
        Traystall: "traystall",
        Members: "traystall members",
        Quarantine: "traystall quarantine",
        Rests: "traystall rests",
        Limits: "traystall limits",
    }
    for owner, prefix in owners.items():
        for name, method in vars(owner).items():
            if name.startswith("_"):
                continue
            words = [_parameter(p) for p in inspect.signature(method).parameters.values()]
            shown = " ".join([prefix, name, *filter(None, words)])
            lines += [f"## {prefix} {name}", "", f"`{shown}`", "", inspect.getdoc(method), ""]
    lines += [
        "## Exit codes",
        "",
        "0 done; 1 no control daemon reachable; 2 bad arguments or bundle;",
    ]
    lines += ["3 another content holds the number; 4 in doubt, or not yet in force; 5 refused."]
    return _HEADER + "\n".join(lines) + "\n"


def problems_page() -> str:
    """Return the reference of the error responses."""
    lines = ["# Problems", "", "| status | code | meaning |", "|---|---|---|"]
    found = [value for value in vars(problems).values() if isinstance(value, problems.Problem)]
    for problem in sorted(found, key=lambda p: (p.status, p.code)):
        lines.append(f"| {problem.status} | `{problem.code}` | {problem.title} |")
    lines += ["", "Each is `application/problem+json` with `run` and Retry-After. `run` is one of"]
    lines += ["`not-run` (nothing ran), `may-have-run`, `ran` (it ran; its answer can't be given)."]
    return _HEADER + "\n".join(lines) + "\n"


def bundle_page() -> str:
    """Return the reference of a bundle's sections and fields."""
    lines = ["# Bundle", "", "A directory of YAML files; together they are one unit.", ""]
    lines += ["`number`: the bundle's number; raise it with every change.", ""]
    for section, kind in SECTIONS.items():
        entity = ENTITY_TYPES[kind]
        lines += [
            f"## {section}",
            "",
            inspect.getdoc(entity),
            "",
            "| field | default |",
            "|---|---|",
        ]
        for field in msgspec.structs.fields(entity):
            lines.append(f"| `{field.name}` | {_default(field)} |")
        lines.append("")
    return _HEADER + "\n".join(lines).rstrip() + "\n"


PAGES = {
    "settings.md": settings_page,
    "commands.md": commands_page,
    "problems.md": problems_page,
    "bundle.md": bundle_page,
}


def _parameter(parameter):
    if parameter.name == "self":
        return ""
    if parameter.default is inspect.Parameter.empty:
        return parameter.name.upper()
    return f"[--{parameter.name}]"


def _default(field):
    if field.required:
        return "required"
    value = field.default
    if isinstance(value, msgspec.Struct):
        return "see below" if not msgspec.structs.asdict(value) else "no limits, share 1"
    return f"`{value}`" if value != "" else "empty"


def write_pages(*, folder) -> None:
    """Write every page into FOLDER; create the folder if it is missing."""
    if isinstance(folder, bool):
        raise SystemExit("--folder wants a path.")
    path = Path(str(folder))
    path.mkdir(parents=True, exist_ok=True)
    for name, render in PAGES.items():
        (path / name).write_text(render())


def main() -> None:
    """Write the pages; fire parses the flags, so that a flag is never taken as the folder."""
    fire.Fire(write_pages, name="traystall.cli.reference")


if __name__ == "__main__":
    main()
