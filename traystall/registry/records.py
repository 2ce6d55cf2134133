"""Conversion between rows of the registry and RPC records."""

from traystall.registry.models import RegisteredState, RegisteredTarget, TargetReport
from traystall.rpc.gen.wire.ttypes import TargetRecord


def to_record(row: RegisteredTarget, now: float) -> TargetRecord:
    """Return the record of a row, with the age of the target's last report."""
    report = row.report
    return TargetRecord(
        identity=report.identity,
        pool=report.pool,
        address=report.address,
        data_centre=report.data_centre,
        version=report.version,
        slots=report.slots,
        state=report.state.value,
        sequence=report.sequence,
        warming=max(0.0, row.cold_until - row.seen_at),
        age=max(0.0, now - row.seen_at),
        started=report.started,
    )


def to_report(record: TargetRecord) -> TargetReport:
    """Return the report in a record."""
    return TargetReport(
        identity=record.identity,
        pool=record.pool or "",
        address=record.address or "",
        data_centre=record.data_centre or "",
        version=record.version or "",
        slots=record.slots or 1,
        state=RegisteredState(record.state),
        sequence=record.sequence or 0,
        warming=record.warming or 0.0,
        started=record.started or 0,
    )
