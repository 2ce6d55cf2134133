"""Conversion of suspects to RPC messages."""

from traystall.quarantine.models import Suspect
from traystall.quarantine.state import SuspectTable
from traystall.rpc.gen.wire.ttypes import SuspectDetail, SuspectRecord, Suspects


def to_wire(table: SuspectTable, known: int) -> Suspects:
    """Return the changes for a subscriber that holds version `known`, about 60 bytes a suspect."""
    changes = table.since(known)
    return Suspects(
        version=changes.version,
        full=changes.full,
        changed=[_to_record(table, row) for row in changes.suspects],
        removed=changes.removed,
    )


def to_details(table: SuspectTable) -> list[SuspectDetail]:
    """Return the published suspects with all details, for operators."""
    return [_to_detail(table, row) for row in table.listed()]


def _to_record(table, row: Suspect) -> SuspectRecord:
    return SuspectRecord(
        digest=row.digest,
        customer=row.customer,
        route=row.route,
        ends=row.ends,
        refused=table.refused_seconds(row),
    )


def _to_detail(table, row: Suspect) -> SuspectDetail:
    return SuspectDetail(
        digest=row.digest,
        customer=row.customer,
        route=row.route,
        pool=row.pool,
        ends=row.ends,
        refused=table.refused_seconds(row),
        evidence=row.evidence,
        age=table.time - row.since,
        last_age=table.time - row.last,
        lives=list(row.lives),
        trials=row.trials,
    )
