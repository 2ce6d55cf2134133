"""Conversion between rows of the gateway directory and wire records."""

from traystall.rpc.gen.wire.ttypes import GatewayRecord, Member
from traystall.tables.gateways import GatewayRow


def to_row(record: GatewayRecord, seen_at: float, direct: bool) -> GatewayRow:
    """Convert a wire record to a row.

    `seen_at` is in seconds of this process's monotonic clock.
    """
    return GatewayRow(
        identity=record.identity,
        instance=record.instance,
        data_centre=record.data_centre,
        address=record.address,
        rpc_address=record.rpc_address,
        number=record.number or 0,
        state=record.state or "",
        seen_at=seen_at,
        direct=direct,
        leaving=tuple(record.leaving or ()),
        started_at=seen_at - (record.uptime or 0.0),
        evacuation_version=record.evacuation_version or 0,
        lends=bool(record.lends),
        keeps_streams=bool(record.keeps_streams),
        size=record.size or 0.0,
    )


def to_record(row: GatewayRow, now: float) -> GatewayRecord:
    """Convert a row to a wire record.

    The record carries the age of the row because monotonic clocks differ between processes.
    """
    return GatewayRecord(
        identity=row.identity,
        instance=row.instance,
        data_centre=row.data_centre,
        address=row.address,
        rpc_address=row.rpc_address,
        number=row.number,
        state=row.state,
        age=now - row.seen_at,
        leaving=list(row.leaving),
        uptime=row.seen_at - row.started_at,
        evacuation_version=row.evacuation_version,
        lends=row.lends,
        keeps_streams=row.keeps_streams,
        size=row.size,
    )


def to_wire_member(member) -> Member:
    """Convert a member of the control group to a wire message."""
    return Member(
        identity=member.identity,
        address=member.address,
        data_centre=member.data_centre,
        voter=member.voter,
    )
