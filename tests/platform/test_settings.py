"""Conversion of the platform's settings file; a drain ends within the grace period."""

import pytest
from traystall_platform import control, gateway
from traystall_platform.node_file import NodeFile

EDGE = """node=edge-1
ip=10.1.0.41
zone=hall
listen.front=10.1.0.41:8625
listen.ready=10.1.0.41:8621
port-range=7740,7755
seeds=10.1.0.44:8628,10.2.0.27:8628
bootstrap=true
bounds.retry-ratio=0.2
bounds.retry-slack=58
"""
CORE = """node=core-1
ip=10.1.0.44
zone=hall
listen.control=10.1.0.44:8628
port-range=7740,7755
seeds=10.1.0.44:8628,10.2.0.27:8628
data-dir=/data/x
"""


@pytest.mark.parametrize("grace", [6, 8, 12, 30])
def test_drain_ends_within_the_grace_period(grace):
    settings = gateway.make_settings(NodeFile.parse(f"{EDGE}bounds.grace-s={grace}\n"))
    longest = settings.drain_notice + settings.drain_limit
    assert grace * 5 / 6 <= longest <= grace - 0.5


def test_gateway_settings():
    settings = gateway.make_settings(NodeFile.parse(EDGE))
    assert settings.control == ["10.1.0.44:7740", "10.2.0.27:7740"]
    assert settings.rpc_listen == "10.1.0.41:7740"
    assert (settings.repeat_ratio, settings.repeat_slack) == (0.2, 58.0)


@pytest.mark.parametrize(
    ("extra", "founds"), [("bootstrap=true", True), ("bootstrap=false", False), ("", False)]
)
def test_only_bootstrap_forms_a_new_group(extra, founds):
    settings = control.make_settings(NodeFile.parse(CORE + extra))
    assert bool(settings.initial_members) is founds
    assert settings.join == ["10.1.0.44:7740", "10.2.0.27:7740"]
    assert settings.number_rule == "highest" and settings.self_repair


def test_node_that_is_not_a_seed_joins():
    settings = control.make_settings(
        NodeFile.parse(CORE.replace("ip=10.1.0.44", "ip=10.9.0.1") + "bootstrap=true")
    )
    assert not settings.initial_members


@pytest.mark.parametrize(
    ("role", "text"), [(gateway, EDGE), (control, CORE)], ids=["gateway", "control"]
)
def test_processes_keep_to_the_limits_of_their_machine(role, text):
    limits = "limits.memory-mb=160\nlimits.max-fds=4100\n"
    settings = role.make_settings(NodeFile.parse(text + limits))
    assert (settings.memory_megabytes, settings.max_descriptors) == (160, 3900)
    settings = role.make_settings(NodeFile.parse(text))
    assert (settings.memory_megabytes, settings.max_descriptors) == (0, 0)
