"""Checks of settings; each problem has a stable id, a message and a remedy."""

import ipaddress

import msgspec


class Problem(msgspec.Struct, frozen=True):
    """Describe one invalid value and how to correct it."""

    id: str
    message: str
    remedy: str

    def __str__(self):
        return f"[{self.id}] {self.message} {self.remedy}"


def check_address(name: str, value: str) -> list[Problem]:
    """Return a problem unless `value` is `IP:PORT`."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        usable = 0 < int(port) < 65536
    except ValueError:
        usable = False
    if usable:
        return []
    message = f"{name} must be IP:PORT, not '{value}'."
    return [Problem("settings.E010", message, "Give a literal IP address and a port.")]


def check_addresses(name: str, values) -> list[Problem]:
    """Return the problems of every address in `values`."""
    return [problem for value in values for problem in check_address(name, value)]


def check_positive(name: str, value: float) -> list[Problem]:
    """Return a problem unless `value` is above zero."""
    if value > 0:
        return []
    return [Problem("settings.E011", f"{name} must be above zero, not {value}.", "Raise it.")]
