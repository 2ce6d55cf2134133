"""Flags override environment variables, problems are reported together, unknown names rejected."""

import pytest

from traystall.conf.settings import load
from traystall.control.settings import SETTINGS as CONTROL
from traystall.control.settings import check_control
from traystall.core.exceptions import SettingsError
from traystall.gateway.settings import SETTINGS as GATEWAY
from traystall.gateway.settings import check_gateway
from traystall.passthrough.settings import SETTINGS as PASS
from traystall.passthrough.settings import check_gateway as check_pass

FLAGS = [
    "--cluster=c",
    "--instance=g",
    "--data-centre=d",
    "--listen=127.0.0.1:1",
    "--rpc-listen=127.0.0.1:2",
    "--control=127.0.0.1:3,127.0.0.1:4",
]
CONTROL_FLAGS = [
    "--cluster=c",
    "--instance=g",
    "--data-centre=d",
    "--rpc-listen=127.0.0.1:2",
    "--http-listen=127.0.0.1:3",
    "--data-folder=/x",
    "--initial-members=a=127.0.0.1:2",
]


def gateway(*flags, environ=None):
    return load("gateway", GATEWAY, [check_gateway], [*FLAGS, *flags], environ or {})


def ids(error):
    return sorted(problem.id for problem in error.value.problems)


def test_flags_override_variables_and_sources_are_shown(capsys):
    environ = {"TRAYSTALL_INDEX": "2", "TRAYSTALL_DRAIN_NOTICE": "7", "TRAYSTALL_SECRET": "hush"}
    settings = gateway("--index=1", environ=environ)
    assert (settings.index, settings.drain_notice) == (1, 7.0)
    assert settings.control == ["127.0.0.1:3", "127.0.0.1:4"]
    with pytest.raises(SystemExit) as end:
        gateway("--print-settings", "--index=1", environ=environ)
    assert end.value.code == 0
    shown = capsys.readouterr().out
    assert "index = 1  (flag)" in shown
    assert "drain_notice = 7.0  (environment)" in shown
    assert "drain_limit = 120.0  (default)" in shown
    assert "hush" not in shown


def test_every_problem_is_reported_at_once():
    with pytest.raises(SettingsError) as error:
        load("gateway", GATEWAY, [], ["--indx=1", "--index=x"], {"TRAYSTALL_COLOUR": "red"})
    found = ids(error)
    assert {"settings.E001", "settings.E002", "settings.E003", "settings.E004"} <= set(found)
    assert found.count("settings.E003") == 6


@pytest.mark.parametrize(
    "flag,problem",
    [
        ("--listen=localhost:1", "settings.E010"),
        ("--control=127.0.0.1", "settings.E010"),
        ("--max-body-bytes=0", "settings.E011"),
        ("--control=", "settings.E030"),
        ("--index=-1", "settings.E031"),
    ],
)
def test_gateway_checks(flag, problem):
    with pytest.raises(SettingsError) as error:
        gateway(flag)
    assert problem in ids(error)


@pytest.mark.parametrize(
    "flag,problem",
    [
        ("--initial-members=", "settings.E020"),
        ("--initial-members=a", "settings.E004"),
        ("--initial-members=a=x", "settings.E010"),
        ("--heartbeat=0.5", "settings.E021"),
        ("--election-max=0.5", "settings.E021"),
    ],
)
def test_control_checks(flag, problem):
    with pytest.raises(SettingsError) as error:
        load("control", CONTROL, [check_control], [*CONTROL_FLAGS, flag], {})
    assert problem in ids(error)


PASS_FLAGS = (
    "--cluster=c",
    "--instance=i",
    "--data-centre=d",
    "--listen=127.0.0.1:1",
    "--rpc-listen=127.0.0.1:2",
    "--control=127.0.0.1:3",
)


@pytest.mark.parametrize("size", ["-1", "inf", "nan"])
def test_invalid_size_is_rejected(size):
    with pytest.raises(SettingsError) as error:
        load("pass", PASS, [check_pass], [*PASS_FLAGS, f"--size={size}"], {})
    assert ids(error) == ["settings.E032"]


def test_size_defaults_to_zero():
    assert load("pass", PASS, [check_pass], [*PASS_FLAGS], {}).size == 0.0


@pytest.mark.parametrize(
    ("declared", "check", "flags"),
    [(PASS, check_pass, FLAGS), (CONTROL, check_control, CONTROL_FLAGS)],
    ids=["pass", "control"],
)
def test_negative_resources_are_a_clear_error(declared, check, flags):
    with pytest.raises(SettingsError) as caught:
        load("p", declared, [check], [*flags, "--memory-megabytes=-1", "--max-descriptors=-2"], {})
    assert [problem.id for problem in caught.value.problems] == ["settings.E025"] * 2
