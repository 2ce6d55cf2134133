"""Encode and decode wire messages; only this module uses thrift's protocol classes."""

import functools

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException, TType
from thrift.transport.TTransport import TMemoryBuffer
from thrift.TSerialization import serialize

from traystall.core.exceptions import RpcError
from traystall.rpc.gen.wire import ttypes
from traystall.rpc.gen.wire.ttypes import Method

_factory = TCompactProtocolAcceleratedFactory()

PROTOCOL_VERSION = 1
# Exceptions that the thrift decoders raise on invalid bytes.
_DECODE_ERRORS = (TException, EOFError, ValueError, TypeError, OverflowError, MemoryError)

REQUEST_TYPES = {
    Method.HELLO: ttypes.Hello,
    Method.VOTE_REQUEST: ttypes.VoteRequest,
    Method.VOTE_REPLY: ttypes.VoteReply,
    Method.APPEND_REQUEST: ttypes.AppendRequest,
    Method.APPEND_REPLY: ttypes.AppendReply,
    Method.SNAPSHOT_CHUNK: ttypes.SnapshotChunk,
    Method.SNAPSHOT_REPLY: ttypes.SnapshotReply,
    Method.TIMEOUT_NOW: ttypes.TimeoutNow,
    Method.PROBE: ttypes.ProbeRequest,
    Method.APPLY: ttypes.ApplyRequest,
    Method.STATUS: ttypes.StatusRequest,
    Method.WATCH: ttypes.WatchRequest,
    Method.DIGEST: ttypes.DigestRequest,
    Method.CLAIM: ttypes.ClaimRequest,
    Method.SETTLE: ttypes.SettleRequest,
    Method.RELEASE: ttypes.ReleaseRequest,
    Method.MEMBERS: ttypes.MembersRequest,
    Method.HOLD_RESULT: ttypes.HoldResultRequest,
    Method.FETCH_RESULT: ttypes.FetchResultRequest,
    Method.HANDOVER: ttypes.HandoverRequest,
    Method.BORROW: ttypes.BorrowRequest,
    Method.REGISTRY: ttypes.RegistryRequest,
    Method.STAGE: ttypes.StageRequest,
    Method.STAGE_CANCEL: ttypes.StageCancel,
    Method.STAGE_FREED: ttypes.StageFreed,
    Method.PING: ttypes.PingRequest,
    Method.PLACE: ttypes.PlaceRequest,
    Method.PLACE_NOTE: ttypes.PlaceNote,
    Method.JOIN: ttypes.JoinRequest,
    Method.READ: ttypes.ReadRequest,
    Method.EVACUATE: ttypes.EvacuateRequest,
    Method.TRANSFER: ttypes.TransferRequest,
    Method.REPORT_RUNS: ttypes.ReportRunsRequest,
    Method.TRIAL: ttypes.TrialRequest,
    Method.LIFT: ttypes.LiftRequest,
    Method.PERMIT: ttypes.PermitRequest,
    Method.PERMIT_RETURN: ttypes.PermitReturn,
    Method.LIMIT_NEWS: ttypes.LimitNews,
    Method.ENTRY_PART: ttypes.EntryPart,
    Method.ENTRY_PART_REPLY: ttypes.EntryPartReply,
    Method.TUNNEL: ttypes.TunnelRequest,
    Method.STREAM_ORIGINS: ttypes.StreamOriginsRequest,
    Method.FIND_STREAM: ttypes.FindStreamRequest,
}
REPLY_TYPES = {
    Method.HELLO: ttypes.HelloReply,
    Method.PROBE: ttypes.ProbeReply,
    Method.APPLY: ttypes.ApplyReply,
    Method.STATUS: ttypes.StatusReply,
    Method.WATCH: ttypes.WatchReply,
    Method.DIGEST: ttypes.DigestReply,
    Method.CLAIM: ttypes.ClaimReply,
    Method.SETTLE: ttypes.SettleReply,
    Method.RELEASE: ttypes.ReleaseReply,
    Method.MEMBERS: ttypes.MembersReply,
    Method.HOLD_RESULT: ttypes.HoldResultReply,
    Method.FETCH_RESULT: ttypes.FetchResultReply,
    Method.HANDOVER: ttypes.HandoverReply,
    Method.BORROW: ttypes.BorrowReply,
    Method.REGISTRY: ttypes.RegistryReply,
    Method.STAGE: ttypes.StageReply,
    Method.PING: ttypes.PingReply,
    Method.PLACE: ttypes.PlaceReply,
    Method.JOIN: ttypes.JoinReply,
    Method.READ: ttypes.ReadReply,
    Method.EVACUATE: ttypes.EvacuateReply,
    Method.TRANSFER: ttypes.TransferReply,
    Method.REPORT_RUNS: ttypes.ReportRunsReply,
    Method.TRIAL: ttypes.TrialReply,
    Method.LIFT: ttypes.LiftReply,
    Method.PERMIT: ttypes.PermitReply,
    Method.TUNNEL: ttypes.TunnelReply,
    Method.STREAM_ORIGINS: ttypes.StreamOriginsReply,
    Method.FIND_STREAM: ttypes.FindStreamReply,
}
# One-way messages between replicas of the log.
PEER_MESSAGES = (
    ttypes.VoteRequest,
    ttypes.VoteReply,
    ttypes.AppendRequest,
    ttypes.AppendReply,
    ttypes.EntryPart,
    ttypes.EntryPartReply,
    ttypes.SnapshotChunk,
    ttypes.SnapshotReply,
    ttypes.TimeoutNow,
)
METHOD_OF_REQUEST = {kind: method for method, kind in REQUEST_TYPES.items()}


def encode(message) -> bytes:
    """Return the compact encoding of a generated message."""
    return serialize(message, protocol_factory=_factory)


def decode(kind, data: bytes):
    """Return `data` decoded as the generated class `kind`.

    Raise RpcError if the data can't be decoded or lacks a required field. The background loops
    of the daemons rely on required fields: one row without an identity stopped all daemons.
    """
    message = kind()
    try:
        message.read(_factory.getProtocol(TMemoryBuffer(data)))
        _validate(message)
    except _DECODE_ERRORS as error:
        raise RpcError(f"A frame could not be decoded as {kind.__name__}: {error}.") from error
    return message


def _validate(message):
    """Raise TProtocolException if the message or a nested one lacks a required field."""
    message.validate()
    for name, is_list in _nested_fields(type(message)):
        value = getattr(message, name)
        for nested in value or () if is_list else (value,):
            if nested is not None:
                _validate(nested)


@functools.cache
def _nested_fields(kind) -> tuple[tuple[str, bool], ...]:
    """Return the names of the fields that hold messages, and whether each holds a list of them."""
    found = []
    for spec in filter(None, kind.thrift_spec):
        _, field_type, name, inner = spec[:4]
        if field_type == TType.STRUCT:
            found.append((name, False))
        elif field_type == TType.LIST and inner[0] == TType.STRUCT:
            found.append((name, True))
    return tuple(found)
