"""Settings of the control daemon."""

from traystall.catalog.models import NumberRule
from traystall.conf.checks import Problem, check_address, check_addresses, check_positive
from traystall.conf.resources import RESOURCE_SETTINGS, check_resources
from traystall.conf.settings import Setting, Settings

SETTINGS = (
    Setting("cluster", str, "Name of the cluster; links from other clusters are refused."),
    Setting("instance", str, "Name of this instance, unique in the cluster."),
    Setting("data_centre", str, "Data centre of this instance."),
    Setting(
        "data_centres",
        list,
        "Every data centre of the cluster, comma separated: orders to evacuate may name only "
        "these. Empty: those in which members, gateways and targets are seen.",
        "",
    ),
    Setting("rpc_listen", str, "IP:PORT for links from other traystall processes."),
    Setting("rpc_advertise", str, "IP:PORT told to peers, if it is not rpc_listen.", ""),
    Setting("http_listen", str, "IP:PORT for /metrics, /livez and /readyz."),
    Setting("data_folder", str, "Folder for the log and snapshots, on a disk of this instance."),
    Setting(
        "initial_members",
        dict,
        "NAME=IP:PORT pairs, comma separated, of the daemons that form the group at first; "
        "empty on an instance that joins a group.",
        "",
    ),
    Setting("join", list, "IP:PORT of control daemons to ask for admission.", ""),
    Setting(
        "self_repair",
        bool,
        "Whether newcomers are let in and lost members taken out without an operator.",
        "false",
    ),
    Setting(
        "number_rule",
        str,
        "exact: one content a number; highest: the highest number wins, others change nothing.",
        "exact",
    ),
    Setting("initial_places", dict, "NAME=DATA_CENTRE pairs of the initial members.", ""),
    Setting("secret", str, "Shared secret that signs links between processes.", "", secret=True),
    Setting("operator_token", str, "Token that operators' calls must carry.", "", secret=True),
    Setting("election_min", float, "Shortest election time-out, in seconds.", "1.0"),
    Setting("election_max", float, "Longest election time-out, in seconds.", "2.0"),
    Setting("heartbeat", float, "Seconds between a leader's heartbeats.", "0.2"),
    Setting(
        "exclusive_start",
        bool,
        "Whether a daemon is started only after its predecessor has surely ended; the time of its "
        "start then counts as silence towards an earlier leader.",
        "false",
    ),
    Setting("snapshot_every", int, "Log entries between snapshots.", "4096"),
    Setting(
        "disk_megabytes",
        int,
        "Size of the disk for the data folder; changes without room are refused. 0: unlimited.",
        "0",
    ),
    *RESOURCE_SETTINGS,
    Setting("log_level", str, "Lowest level that is logged.", "info"),
)


def check_control(settings: Settings) -> list[Problem]:
    """Return the problems that single settings and their combinations have."""
    problems = check_address("rpc_listen", settings.rpc_listen)
    problems += check_address("http_listen", settings.http_listen)
    if settings.rpc_advertise:
        problems += check_address("rpc_advertise", settings.rpc_advertise)
    for name, address in settings.initial_members.items():
        problems += check_address(f"initial_members[{name}]", address)
    problems += check_addresses("join", settings.join)
    if settings.data_centres and settings.data_centre not in settings.data_centres:
        problems.append(
            Problem(
                "settings.E023",
                f"data_centres does not list '{settings.data_centre}', where this instance is.",
                "List every data centre of the cluster in data_centres, or leave it empty.",
            )
        )
    if not settings.initial_members and not settings.join:
        problems.append(
            Problem(
                "settings.E020",
                "initial_members and join are both empty.",
                "Name every first member, or whom to ask for admission.",
            )
        )
    if settings.number_rule not in {rule.value for rule in NumberRule}:
        problems.append(
            Problem(
                "settings.E022",
                f"number_rule is '{settings.number_rule}'.",
                "Set it to exact or highest.",
            )
        )
    problems += check_positive("heartbeat", settings.heartbeat)
    problems += check_positive("snapshot_every", settings.snapshot_every)
    if settings.disk_megabytes < 0:
        problems.append(
            Problem(
                "settings.E024",
                f"disk_megabytes is {settings.disk_megabytes}.",
                "Set it to the size of the disk, or to 0.",
            )
        )
    if not settings.heartbeat * 3 <= settings.election_min < settings.election_max:
        problems.append(
            Problem(
                "settings.E021",
                "Three heartbeats must fit into election_min, which must be below election_max.",
                "Raise election_min and election_max, or lower heartbeat.",
            )
        )
    return problems + check_resources(settings)
