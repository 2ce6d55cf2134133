"""The reference pages match the code, and packages import only packages of lower layers."""

import ast
import contextlib
from pathlib import Path

import pytest

from traystall.cli.reference import PAGES, main

ROOT = Path(__file__).resolve().parents[2]
# Each package may import those below it in this list, and itself.
LAYERS = (
    "cli",
    "passthrough",
    "gateway",
    "control",
    "permits",
    "registry",
    "systems",
    "admission",
    "quarantine",
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
# The client shows what the daemons declare.
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


def test_packages_depend_downwards_only():
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


# Decisions of the pass-through gateway that a test drives without a loop or a socket.
PURE = [
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
    "placement/engines",
    "placement/read_rate",
    "stages/batching",
    "stages/cells",
    "stages/homes",
    "stages/pace",
    "stages/room",
    "stages/worker_rates",
    "stages/workers",
]
IMPURE = ("asyncio", "socket", "httptools", "logging", "random", "time", "traystall.core")


@pytest.mark.parametrize("name", PURE)
def test_decisions_import_nothing_that_waits_or_tells_the_time(name):
    path = ROOT / "traystall" / "passthrough" / f"{name}.py"
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(node.module)
    own = {module.removeprefix("traystall.passthrough.").replace(".", "/") for module in found}
    assert not [module for module in found if module.startswith(IMPURE)]
    inside = {
        module for module in own if (ROOT / "traystall/passthrough" / f"{module}.py").exists()
    }
    assert inside <= set(PURE)


@pytest.mark.parametrize("name", ["rendezvous", "permits", "target_limits", "retry_after"])
def test_decisions_of_both_gateways_import_nothing_that_waits_or_tells_the_time(name):
    path = ROOT / "traystall" / "systems" / f"{name}.py"
    modules = {module for node in ast.walk(ast.parse(path.read_text())) for module in named(node)}
    assert not [module for module in modules if module.startswith(IMPURE)]


def named(node):
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    return [node.module] if isinstance(node, ast.ImportFrom) else []


@pytest.mark.parametrize("words", [["--help"], ["--unknown", "x"], ["--folder"], []])
def test_words_that_name_no_folder_write_nothing(tmp_path, monkeypatch, words):
    """Guards against a parser that takes a flag such as `--help` as the path of the folder."""
    monkeypatch.chdir(tmp_path)
    monkeypatch.setattr("sys.argv", ["reference", *words])
    with contextlib.suppress(SystemExit):
        main()
    assert [path.name for path in tmp_path.iterdir()] == []
