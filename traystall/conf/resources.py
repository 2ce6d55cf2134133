"""Settings of what a process may use of its machine."""

from traystall.conf.checks import Problem
from traystall.conf.settings import Setting, Settings

RESOURCE_SETTINGS = (
    Setting(
        "memory_megabytes",
        int,
        "Memory that this process may use; clients may make it hold a part of that. "
        "0: that of the machine.",
        "0",
    ),
    Setting(
        "max_descriptors",
        int,
        "Descriptors that this process may open for sockets; clients get a part of them. "
        "0: the limit of the process.",
        "0",
    ),
)


def check_resources(settings: Settings) -> list[Problem]:
    """Return the problems of these settings."""
    return [
        Problem(
            "settings.E025",
            f"{name} is {getattr(settings, name)}.",
            "Set it to what the process may use, or to 0.",
        )
        for name in ("memory_megabytes", "max_descriptors")
        if getattr(settings, name) < 0
    ]
