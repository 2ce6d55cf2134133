"""Carry out operators' orders to evacuate or restore a data centre."""

import logging

from traystall.control.node import Node
from traystall.core import clock
from traystall.core.exceptions import RpcRefused
from traystall.core.logs import decision
from traystall.core.serialization import pack
from traystall.evacuations.cache import to_wire
from traystall.evacuations.models import OrderEvacuation
from traystall.rpc.gen.wire.ttypes import EvacuateReply, EvacuateRequest, EvacuationRecord

# Refusal code of an order that names no data centre of the cluster.
UNKNOWN_DATA_CENTRE = "unknown-data-centre"
# Timeout for the commit of an order; the same as for a configuration.
_COMMIT_TIMEOUT_SECONDS = 3.0

logger = logging.getLogger(__name__)


class EvacuationOrders:
    """Handle orders on the leader; `known` returns the data centres that an order may name."""

    def __init__(self, node: Node, known):
        self._node = node
        self._known = known

    async def order(self, request: EvacuateRequest) -> EvacuateReply:
        """Return once an order is committed; raise RpcRefused for an unknown data centre.

        An order that changes nothing is committed too. Only the commit ensures that the reply
        includes every order of other operators that was committed before.
        """
        name = request.data_centre or ""
        if name not in self._known():
            raise RpcRefused(
                UNKNOWN_DATA_CENTRE,
                f"'{name}' is no data centre of this cluster; name one of "
                f"{', '.join(sorted(self._known())) or 'none that is known yet'}.",
            )
        command = OrderEvacuation(
            data_centre=name,
            evacuated=bool(request.evacuated),
            operator=request.operator or "",
            time=clock.wall_time(),
        )
        result = await self._node.propose(pack(command), _COMMIT_TIMEOUT_SECONDS)
        decision(
            "evacuate" if command.evacuated else "restore",
            of=name,
            operator=command.operator,
            changed=result.changed,
            version=result.places.version,
        )
        return EvacuateReply(changed=result.changed, evacuated=to_wire(result.places))

    def records(self) -> list[EvacuationRecord]:
        """Return the evacuations in force as wire records, for operators to read."""
        now = clock.wall_time()
        return [
            EvacuationRecord(
                data_centre=row.data_centre,
                operator=row.operator,
                version=row.version,
                age=max(0.0, now - row.since),
            )
            for row in self._node.state.evacuations.listed()
        ]
