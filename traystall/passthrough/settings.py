"""Settings of a pass-through gateway."""

from traystall.conf.checks import Problem, check_address, check_addresses, check_positive
from traystall.conf.resources import RESOURCE_SETTINGS, check_resources
from traystall.conf.settings import Setting, Settings

SETTINGS = (
    Setting("cluster", str, "Name of the cluster; links from other clusters are refused."),
    Setting("instance", str, "Name of this instance, unique in the cluster."),
    Setting("data_centre", str, "Data centre of this instance."),
    Setting("listen", str, "IP:PORT for callers."),
    Setting("rpc_listen", str, "IP:PORT for links from other traystall processes."),
    Setting("health_listen", str, "IP:PORT for /metrics, /livez and /readyz; empty for none.", ""),
    Setting("control", list, "IP:PORT of control daemons to begin with."),
    Setting("secret", str, "Shared secret that signs links between processes.", "", secret=True),
    Setting("repeat_ratio", float, "Repeats that are allowed, as a part of the requests.", "0.2"),
    Setting("repeat_window", float, "Seconds over which repeats are counted.", "10"),
    Setting("repeat_slack", float, "Repeats that are allowed besides, by all gateways.", "20"),
    Setting(
        "cold_excess", float, "Requests a cold target may get, as a part of what it bears.", "1.0"
    ),
    Setting("cold_slack", float, "Requests a second a cold target may get besides.", "0"),
    Setting(
        "size",
        float,
        "How much this gateway can do beside others, in any unit that all use: the largest batch "
        "and place for all. 0: not said; it counts as the smallest.",
        "0",
    ),
    Setting("drain_notice", float, "Seconds to go on accepting after a stop is asked for.", "3"),
    Setting("drain_limit", float, "Seconds for what is in flight to finish.", "30"),
    *RESOURCE_SETTINGS,
    Setting("log_level", str, "Lowest level that is logged.", "info"),
)


def check_gateway(settings: Settings) -> list[Problem]:
    """Return the problems of the settings as a whole."""
    problems = check_address("listen", settings.listen)
    problems += check_address("rpc_listen", settings.rpc_listen)
    problems += check_addresses("control", settings.control)
    if settings.health_listen:
        problems += check_address("health_listen", settings.health_listen)
    if not settings.control:
        problems.append(
            Problem("settings.E030", "control is empty.", "Name at least one control daemon.")
        )
    if not 0 <= settings.size < float("inf"):
        problems.append(
            Problem(
                "settings.E032",
                f"size must be a number of 0 or more, not {settings.size}.",
                "Leave it out, or give what this gateway can do beside others.",
            )
        )
    for name in ("repeat_window", "drain_limit", "cold_excess"):
        problems += check_positive(name, getattr(settings, name))
    return problems + check_resources(settings)
