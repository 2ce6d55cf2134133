"""Bootstrap of a group on its first start, at most once and never by accident.

A daemon with an empty data folder probes all initial members. If all of them answer that their logs
are empty, the one with the lowest name writes the first entry. If any of them has a log, this
daemon waits until it is added as a member.
"""

import asyncio
import logging

from traystall.consensus.models import MemberRecord
from traystall.control.node import Node
from traystall.core import clock
from traystall.core.exceptions import RpcError
from traystall.rpc.client import LinkPool
from traystall.rpc.gen.wire.ttypes import ProbeReply, ProbeRequest

_PROBE_INTERVAL_SECONDS = 0.3
_PROBE_TIMEOUT_SECONDS = 1.0

logger = logging.getLogger(__name__)


class InitialMember:
    """Hold one initial member's name, address and data centre."""

    def __init__(self, name: str, address: str, data_centre: str):
        self.name = name
        self.address = address
        self.data_centre = data_centre


def may_bootstrap(own_name: str, replies: dict[str, ProbeReply | None]) -> bool:
    """Return whether `own_name` may bootstrap the group, given each initial member's reply."""
    all_empty = all(reply is not None and reply.empty for reply in replies.values())
    return all_empty and own_name in replies and own_name == min(replies)


async def form_group(node: Node, name: str, initial: list[InitialMember], links: LinkPool) -> None:
    """Probe the initial members until this replica has a log; bootstrap the group if allowed."""
    while not node.replica.log.last_index:
        replies = await _probe_all(initial, links)
        if may_bootstrap(name, replies) and not node.replica.log.last_index:
            members = [
                MemberRecord(replies[m.name].identity, m.address, m.data_centre, True)
                for m in initial
            ]
            logger.info("bootstrapping group", extra={"members": [m.identity for m in members]})
            term = 1 + max(reply.term for reply in replies.values())
            node.replica.bootstrap_group(members, term, clock.monotonic())
            node.process_ready()
            return
        await asyncio.sleep(_PROBE_INTERVAL_SECONDS)


async def _probe_all(initial, links):
    results = await asyncio.gather(*(_probe(member, links) for member in initial))
    return {member.name: reply for member, reply in zip(initial, results, strict=True)}


async def _probe(member, links):
    try:
        request = ProbeRequest(instance=member.name)
        return await links.link(member.address).call(request, _PROBE_TIMEOUT_SECONDS)
    except RpcError:
        return None
