"""Settings of the gateway daemon."""

from traystall.conf.checks import Problem, check_address, check_addresses, check_positive
from traystall.conf.settings import Setting, Settings

SETTINGS = (
    Setting("cluster", str, "Name of the cluster; links from other clusters are refused."),
    Setting("instance", str, "Name of this instance, unique in the cluster."),
    Setting("data_centre", str, "Data centre of this instance."),
    Setting("listen", str, "IP:PORT for callers, /metrics, /livez and /readyz."),
    Setting("rpc_listen", str, "IP:PORT for links from other traystall processes."),
    Setting("control", list, "IP:PORT list of control daemons, the nearest first."),
    Setting("neighbours", list, "IP:PORT list of neighbouring gateways' rpc addresses.", ""),
    Setting("index", int, "Position of this gateway among those of its data centre, from 0.", "0"),
    Setting("platform_list", str, "URL of the platform's list of instances, empty for none.", ""),
    Setting("secret", str, "Shared secret that signs links between processes.", "", secret=True),
    Setting("drain_notice", float, "Seconds to keep accepting after a stop signal.", "2.0"),
    Setting("drain_limit", float, "Longest time in seconds to finish what is in flight.", "120.0"),
    Setting("max_body_bytes", int, "Largest request body that is accepted.", "1048576"),
    Setting("log_level", str, "Lowest level that is logged.", "info"),
)


def check_gateway(settings: Settings) -> list[Problem]:
    """Return the problems of the settings as a whole."""
    problems = check_address("listen", settings.listen)
    problems += check_address("rpc_listen", settings.rpc_listen)
    problems += check_addresses("control", settings.control)
    problems += check_addresses("neighbours", settings.neighbours)
    problems += check_positive("max_body_bytes", settings.max_body_bytes)
    if not settings.control:
        problems.append(
            Problem("settings.E030", "control is empty.", "Name at least one control daemon.")
        )
    if settings.index < 0:
        problems.append(
            Problem("settings.E031", "index must not be negative.", "Count gateways from 0.")
        )
    return problems
