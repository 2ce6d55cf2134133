"""The output document of `traystall status`."""

from traystall.rpc.gen.wire import ttypes


def status_document(reply: ttypes.StatusReply) -> dict:
    """Convert a leader's status reply into the output document."""
    gateways = reply.gateways or []
    return {
        "leader": reply.leader,
        "term": reply.term,
        "commit": reply.commit,
        "lease": reply.lease,
        "number": reply.number,
        "digest": (reply.digest or b"").hex(),
        "members": [
            {
                "identity": m.identity,
                "address": m.address,
                "data_centre": m.data_centre,
                "voter": m.voter,
            }
            for m in reply.members or ()
        ],
        "gateways": [
            {
                "instance": g.instance,
                "data_centre": g.data_centre,
                "address": g.address,
                "number": g.number,
                "state": g.state,
                "evacuation_version": g.evacuation_version or 0,
            }
            for g in gateways
        ],
        "evacuation_version": reply.evacuation_version or 0,
        "evacuated": [
            {
                "data_centre": e.data_centre,
                "operator": e.operator,
                "version": e.version,
                "seconds": round(e.age, 1),
            }
            for e in reply.evacuations or ()
        ],
        "lagging": [g.instance for g in gateways if g.number < reply.number],
        "claims": reply.claims,
        "doubtful": list(reply.doubtful or ()),
    }
