"""Conversion of suspects to RPC messages."""

from traystall.quarantine.models import Suspect
from traystall.quarantine.parts import RefusedParts, SuspectPart
from traystall.quarantine.state import SuspectTable
from traystall.rpc.gen.wire.ttypes import (
    RefusedPartsRecord,
    SuspectDetail,
    SuspectPartRecord,
    SuspectRecord,
    Suspects,
)


def to_wire(table: SuspectTable, known: int) -> Suspects:
    """Return the changes for a subscriber that holds version `known`, about 60 bytes a suspect."""
    changes = table.since(known)
    return Suspects(
        version=changes.version,
        full=changes.full,
        changed=[_to_record(table, row) for row in changes.suspects],
        removed=changes.removed,
        parts=[
            SuspectPartRecord(digest=row.digest, ends=row.ends, restricted=row.is_restricted)
            for row in changes.parts
        ],
        refused_parts=[_to_refused_record(table, one) for one in table.parts.refused],
    )


def to_details(table: SuspectTable) -> list[SuspectDetail]:
    """Return the published suspects with all details, for operators."""
    parts = [_to_detail(table, row, is_part=True) for row in table.listed_parts()]
    return parts + [_to_detail(table, row) for row in table.listed()]


def _to_record(table, row: Suspect) -> SuspectRecord:
    return SuspectRecord(
        digest=row.digest,
        customer=row.customer,
        route=row.route,
        ends=row.ends,
        refused=table.refused_seconds(row),
    )


def _to_refused_record(table, refused: RefusedParts) -> RefusedPartsRecord:
    return RefusedPartsRecord(
        digests=list(refused.digests),
        customers=list(refused.customers),
        seconds=table.parts.seconds_left(refused, table.time),
        final=refused.is_final,
    )


def _to_detail(table, row: Suspect | SuspectPart, is_part=False) -> SuspectDetail:
    return SuspectDetail(
        digest=row.digest,
        customer=row.customer,
        route=row.route,
        pool=row.pool,
        ends=row.ends,
        refused=_refused_seconds(table, row),
        evidence=row.evidence,
        age=table.time - row.since,
        last_age=table.time - row.last,
        lives=list(row.lives),
        trials=row.trials,
        part=is_part,
    )


def _refused_seconds(table, row) -> float:
    if isinstance(row, SuspectPart):
        return table.parts.refused_seconds(row, table.time)
    return table.refused_seconds(row)
