"""The `traystall quarantine` commands: list, lift."""

import getpass

from traystall.cli.client import BadUsage
from traystall.cli.output import show
from traystall.rpc.gen.wire import ttypes


class Quarantine:
    """Show and lift the quarantine of requests during which targets have ended."""

    def __init__(self, call_client, token, output):
        self._call_client = call_client
        self._token = token
        self._output = output

    def list(self):
        """Show the requests under which targets have ended, the refused ones first."""
        request = ttypes.StatusRequest(token=self._token)
        reply = self._call_client(lambda client: client.call_leader(request))
        show({"suspects": [_document(one) for one in reply.suspects or ()]}, self._output)

    def lift(self, suspect, operator=None):
        """Forget what is held against SUSPECT, as `list` names it; it may run at once."""
        request = ttypes.LiftRequest(
            digest=_digest(suspect), operator=str(operator or getpass.getuser()), token=self._token
        )
        reply = self._call_client(lambda client: client.call_leader(request))
        show({"lifted": bool(reply.lifted)}, self._output)


def _digest(text):
    try:
        return bytes.fromhex(str(text))
    except ValueError as error:
        raise BadUsage(f"'{text}' is no suspect; `quarantine list` shows them.") from error


def _document(one: ttypes.SuspectDetail) -> dict:
    return {
        "suspect": one.digest.hex(),
        "kind": "part" if one.part else "request",
        "customer": one.customer,
        "route": one.route,
        "pool": one.pool,
        "ends": one.ends,
        "trials": one.trials or 0,
        "refused_seconds": round(one.refused or 0.0, 1),
        "evidence": one.evidence,
        "first_seconds": round(one.age or 0.0, 1),
        "last_seconds": round(one.last_age or 0.0, 1),
        "lives": list(one.lives or ()),
    }
