"""The `traystall members` commands: list, add, remove, replace, handover."""

from traystall.cli.client import BadUsage
from traystall.cli.output import show
from traystall.rpc.gen.wire import ttypes

# The leader answers an addition or a replacement only after the new member has caught up.
_CHANGE_TIMEOUT_SECONDS = 90.0


class Members:
    """Show and change the voters of the control group."""

    def __init__(self, call_client, token, output):
        self._call_client = call_client
        self._token = token
        self._output = output

    def list(self):
        """Show the members and how far each has replicated."""
        self._run(ttypes.MembersRequest(action="list", token=self._token))

    def add(self, address, data_centre=""):
        """Add the running control daemon at ADDRESS; return once it is caught up and votes."""
        member = self._probe(address, data_centre)
        self._run(ttypes.MembersRequest(action="add", member=member, token=self._token))

    def remove(self, identity):
        """Remove the member IDENTITY."""
        member = ttypes.Member(identity=str(identity))
        self._run(ttypes.MembersRequest(action="remove", member=member, token=self._token))

    def replace(self, identity, address, data_centre=""):
        """Replace the lost member IDENTITY by the daemon at ADDRESS; return once it votes."""
        member = self._probe(address, data_centre)
        request = ttypes.MembersRequest(
            action="replace", member=member, replaces=str(identity), token=self._token
        )
        self._run(request)

    def handover(self):
        """Hand leadership to another voter."""
        request = ttypes.HandoverRequest(token=self._token)
        reply = self._call_client(lambda client: client.call_leader(request))
        show({"leader": reply.leader}, self._output)

    def _probe(self, address, data_centre):
        reply = self._call_client(lambda client: client.probe(str(address)))
        if not reply.identity:
            raise BadUsage(f"The process at {address} is not a control daemon.")
        return ttypes.Member(
            identity=reply.identity,
            address=str(address),
            data_centre=str(data_centre),
            voter=True,
        )

    def _run(self, request):
        reply = self._call_client(
            lambda client: client.call_leader(request, _CHANGE_TIMEOUT_SECONDS)
        )
        matched = reply.matched or {}
        show(
            {
                "leader": reply.leader,
                "commit": reply.commit,
                "members": [
                    {
                        "identity": member.identity,
                        "address": member.address,
                        "data_centre": member.data_centre,
                        "voter": member.voter,
                        "matched": matched.get(member.identity, reply.commit),
                    }
                    for member in reply.members
                ],
            },
            self._output,
        )
