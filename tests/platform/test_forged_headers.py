"""Headers reserved for the system are removed from client requests before forwarding."""

import pytest
from traystall_platform.names import HEADERS

from traystall.passthrough.entry.messages import CallerRequest, RequestWriter

RESERVED_HEADERS = (
    "X-Hold",
    "X-Pin-Ms",
    "X-Kv-Backup",
    "Kv-From",
    "Kv-Fetch",
    "X-Request-Priority",
    "X-Expect-Version",
    "X-Expect-Instance",
    "X-Inputs",
    "X-Tenant",
)
SPELLINGS = (str, str.lower, str.upper, str.swapcase)


def sent_to_target(headers, extra=None):
    """Return the names of the headers that a target gets, as they are written."""
    rows = tuple((name.encode(), value.encode()) for name, value in headers)
    request = CallerRequest("POST", "/a/b", rows, b"body")
    head = RequestWriter(request, HEADERS).write(extra or {}).partition(b"\r\n\r\n")[0]
    return [line.partition(b":")[0].decode() for line in head.split(b"\r\n")[1:]]


@pytest.mark.parametrize("name", RESERVED_HEADERS)
@pytest.mark.parametrize("spell", SPELLINGS)
@pytest.mark.parametrize("times", [1, 2, 3])
def test_reserved_header_of_a_client_is_removed(name, spell, times):
    got = sent_to_target([("X-Model", "m"), *[(spell(name), f"forged-{n}") for n in range(times)]])
    assert [found.lower() for found in got] == ["x-model", "content-length"]


@pytest.mark.parametrize("name", RESERVED_HEADERS)
def test_own_reserved_header_replaces_forged_ones(name):
    got = sent_to_target([(name.lower(), "forged"), (name, "forged")], {name: "own"})
    assert [found.lower() for found in got].count(name.lower()) == 1


@pytest.mark.parametrize("name", RESERVED_HEADERS)
def test_reserved_header_listed_in_connection_is_removed(name):
    got = sent_to_target([("Connection", f"close, {name}"), (name, "forged")])
    assert name.lower() not in [found.lower() for found in got]
