"""Messages with missing or invalid fields are refused with a clear error and end no daemon.

Guards against a message that ends a background loop: a gateway record without an identity or a
member without an address ended every control daemon that received it.
"""

import asyncio

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from thrift.Thrift import TType

from tests.control.test_self_repair import run_scenario
from traystall.catalog.models import ApplyBundle, SupersedeBundle
from traystall.control.state import StateMachine
from traystall.core.exceptions import RpcError, RpcRefused
from traystall.core.serialization import pack
from traystall.evacuations.models import OrderEvacuation
from traystall.ledger.models import Claim, Release, Settle
from traystall.quarantine.models import BeginTrial, LiftSuspect, ReportRuns
from traystall.rpc.client import Link, LinkIdentity
from traystall.rpc.gen.wire.ttypes import (
    AppendRequest,
    DigestRequest,
    GatewayRecord,
    JoinRequest,
    Member,
    MembersRequest,
    TrialRequest,
    WatchRequest,
)
from traystall.rpc.messages import PEER_MESSAGES, REQUEST_TYPES

_CALL_SECONDS = 6.0
_TEXTS = st.sampled_from(
    ["", "main", "here", "a", "x/1", "127.0.0.1:1", "no address", "list", "add"]
)
_NUMBERS = st.sampled_from([0, 1, -1, 2**31 - 1])
_REALS = st.sampled_from([0.0, 1.5, -1.0, float("inf"), float("nan")])
_SCALARS = {
    TType.BOOL: st.booleans(),
    TType.I32: _NUMBERS,
    TType.I64: _NUMBERS,
    TType.DOUBLE: _REALS,
}


def values(field_type, inner):
    """Return a strategy for the values of one field of a generated class."""
    if field_type == TType.STRING:
        return _TEXTS if inner == "UTF8" else _TEXTS.map(str.encode)
    if field_type == TType.STRUCT:
        return messages(inner[0])
    if field_type == TType.LIST:
        return st.lists(values(inner[0], inner[1]), max_size=2)
    if field_type == TType.MAP:
        return st.dictionaries(values(inner[0], inner[1]), values(inner[2], inner[3]), max_size=2)
    return _SCALARS[field_type]


def messages(kind):
    """Return a strategy for messages of a generated class, with any fields left out."""
    fields = {
        spec[2]: st.none() | values(spec[1], spec[3])
        for spec in kind.thrift_spec
        if spec is not None
    }
    return st.builds(kind, **fields)


# Messages between replicas are excluded: replicas trust each other, as the protocol requires.
CALLS = [kind for kind in REQUEST_TYPES.values() if kind not in PEER_MESSAGES]


async def call(daemon, message):
    """Send a message over a link; return the refusal code, the error's name or an empty string."""
    link = Link(daemon._address, LinkIdentity("test", "control", "fuzz"))
    try:
        await link.call(message, _CALL_SECONDS)
    except RpcRefused as refusal:
        return refusal.code
    except RpcError as error:
        return type(error).__name__
    finally:
        await link.close()
    return ""


async def settle(group):
    """Return once every background loop of all daemons has processed the messages."""
    await asyncio.sleep(1.2)
    group.raise_failure()
    await group.until(lambda: group.leader() is not None)


@pytest.mark.parametrize(
    "message",
    [
        WatchRequest(gateway=GatewayRecord(state="serving"), digest=b""),
        DigestRequest(sender="x", gateways=[GatewayRecord(state="serving")]),
        JoinRequest(member=Member(address="127.0.0.1:1")),
        JoinRequest(member=Member(identity="x/1")),
        JoinRequest(member=Member(identity="x/1", address="no address")),
        JoinRequest(member=Member(identity="x/1", address="127.0.0.1:70000")),
        JoinRequest(),
        MembersRequest(action="add", member=Member(identity="x/1")),
        MembersRequest(action="remove"),
        TrialRequest(),
    ],
    ids=lambda message: repr(message)[:60],
)
def test_message_without_a_required_field_is_refused(tmp_path, message):
    async def scenario(group):
        await group.until(lambda: group.leader() is not None)
        code = await call(group.leader(), message)
        assert code in ("bad-message", "bad-request")
        await settle(group)

    run_scenario(tmp_path, scenario)


def test_link_goes_on_after_a_message_that_can_not_be_read(tmp_path):
    async def scenario(group):
        await group.until(lambda: group.leader() is not None)
        link = Link(group.leader()._address, LinkIdentity("test", "control", "fuzz"))
        await link.send(AppendRequest(group="main"))
        await link.call(MembersRequest(action="list"), _CALL_SECONDS)
        assert link._writer is not None
        await link.close()

    run_scenario(tmp_path, scenario)


@settings(
    max_examples=4,
    derandomize=True,
    deadline=None,
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(sent=st.lists(st.one_of([messages(kind) for kind in CALLS]), min_size=60, max_size=60))
def test_daemons_outlive_any_message(tmp_path_factory, sent):
    async def scenario(group):
        await group.until(lambda: group.leader() is not None)
        daemons = list(group.daemons.values())
        codes = await asyncio.gather(
            *(call(daemons[number % 3], message) for number, message in enumerate(sent))
        )
        internal = [m for m, code in zip(sent, codes, strict=True) if code == "internal"]
        assert internal == []
        await settle(group)
        for name in list(group.daemons):
            await group.stop(name)
        await asyncio.gather(*(group.start(name) for name in "abc"))
        await group.until(lambda: group.leader() is not None)

    run_scenario(tmp_path_factory.mktemp("fuzz"), scenario)


COMMANDS = (
    ApplyBundle,
    SupersedeBundle,
    Claim,
    Settle,
    Release,
    OrderEvacuation,
    ReportRuns,
    BeginTrial,
    LiftSuspect,
)
_ANY = st.none() | _TEXTS | _TEXTS.map(str.encode) | _NUMBERS | _REALS | st.booleans()


def commands(kind):
    """Return a strategy for commands whose fields hold a valid or an arbitrary value."""
    fields = {field.name: _field(field.type) for field in msgspec.structs.fields(kind)}
    return st.builds(kind, **fields)


def _field(kind):
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return st.one_of(commands(kind), _ANY)
    # Neither the wire format nor the log encoding supports wider integers.
    proper = st.integers(-(2**63), 2**63 - 1) if kind is int else st.from_type(kind)
    return st.one_of(proper, _ANY)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(st.lists(st.one_of([commands(kind) for kind in COMMANDS]), min_size=1, max_size=4))
def test_accepted_command_can_be_applied_and_restored(given_commands):
    """A command that raises when it is applied would end every replica, at each start again."""
    state = StateMachine()
    for command in given_commands:
        data = pack(command)
        try:
            state.check(data)
        except msgspec.DecodeError:
            continue
        state.apply(data)
    other = StateMachine()
    other.restore(state.snapshot())
    assert other.snapshot() == state.snapshot()
