"""The reference pages match the code, and packages import only packages of lower layers."""

import ast
import contextlib
from pathlib import Path

import pytest

from traystall.cli.reference import PAGES, main

ROOT = Path(__file__).resolve().parents[2]
# A package may import itself and the packages below it in this list.
LAYERS = (
    "cli",
    "passthrough",
    "gateway",
    "control",
    "permits",
    "registry",
    "streams",
    "systems",
    "admission",
    "quarantine",
    "departures",
    "rpc",
    "storage",
    "ledger",
    "evacuations",
    "catalog",
    "consensus",
    "tables",
    "routes",
    "conf",
    "http",
    "core",
)
# The wire messages are generated data classes: every layer may use them.
EVERYWHERE = "traystall.rpc.gen"
# The command-line client prints declarations of the daemons.
ALLOWED = {("gateway", "control"): False, ("control", "gateway"): False}


@pytest.mark.parametrize("name", PAGES)
def test_page_is_up_to_date(name):
    assert (ROOT / "docs" / "reference" / name).read_text() == PAGES[name](), (
        "run python -m traystall.cli.reference --folder docs/reference"
    )


def imports_of(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and (node.module or "").startswith("traystall."):
            yield node.module


def test_packages_import_only_lower_layers():
    wrong = []
    for path in sorted((ROOT / "traystall").rglob("*.py")):
        package = path.relative_to(ROOT / "traystall").parts[0]
        if package not in LAYERS or "gen" in path.parts:
            continue
        for module in imports_of(path):
            target = module.split(".")[1]
            below = LAYERS.index(target) >= LAYERS.index(package)
            if module.startswith(EVERYWHERE) or (below and ALLOWED.get((package, target), True)):
                continue
            wrong.append(f"{path.name}: {package} imports {target}")
    assert wrong == []


# Decision modules of the pass-through gateway, testable without an event loop or a socket.
DECISION_MODULES = [
    "admission/controller",
    "admission/calibration",
    "admission/crowding",
    "admission/forecast",
    "admission/handover",
    "admission/timeline",
    "admission/waiting",
    "admission/budget",
    "entry/events",
    "health/cold",
    "health/versions",
    "placement/engines",
    "placement/read_rate",
    "stages/batching",
    "stages/cells",
    "stages/homes",
    "stages/pace",
    "stages/room",
    "stages/worker_rates",
    "stages/workers",
    "tunnels/paths",
]
IO_MODULES = ("asyncio", "socket", "httptools", "logging", "random", "time", "traystall.core")


@pytest.mark.parametrize("name", DECISION_MODULES)
def test_decision_modules_import_no_io_and_no_clock(name):
    path = ROOT / "traystall" / "passthrough" / f"{name}.py"
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module)
    own = {module.removeprefix("traystall.passthrough.").replace(".", "/") for module in found}
    assert not [module for module in found if module.startswith(IO_MODULES)]
    inside = {
        module for module in own if (ROOT / "traystall/passthrough" / f"{module}.py").exists()
    }
    assert inside <= set(DECISION_MODULES)


@pytest.mark.parametrize(
    "name", ["rendezvous", "permits", "leases", "target_limits", "retry_after", "backoff"]
)
def test_shared_decision_modules_import_no_io_and_no_clock(name):
    path = ROOT / "traystall" / "systems" / f"{name}.py"
    modules = {
        module
        for node in ast.walk(ast.parse(path.read_text()))
        for module in imported_modules(node)
    }
    assert not [module for module in modules if module.startswith(IO_MODULES)]


def imported_modules(node):
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    return [node.module] if isinstance(node, ast.ImportFrom) else []


@pytest.mark.parametrize("words", [["--help"], ["--unknown", "x"], ["--folder"], []])
def test_arguments_without_a_folder_write_nothing(tmp_path, monkeypatch, words):
    """Guards against a parser that uses a flag such as `--help` as the folder path."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr("sys.argv", ["reference", *words])
    with contextlib.suppress(SystemExit):
        main()
    assert [path.name for path in tmp_path.iterdir()] == []
