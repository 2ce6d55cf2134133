"""The `traystall` command-line program for operators, built on fire.

Exit codes: 0 success; 1 no control daemon reachable; 2 invalid arguments or bundle;
3 the number belongs to a bundle with other content; 4 outcome unknown, or the configuration
is not yet in force; 5 refused.
"""

import asyncio
import getpass
import json
import os
import sys

import fire

from traystall.catalog.bundle import load_bundle
from traystall.catalog.deltas import EMPTY_DIGEST, make_delta
from traystall.cli.client import (
    BadUsage,
    Conflict,
    ControlClient,
    InDoubt,
    Refused,
    get_document,
    post_request,
)
from traystall.cli.costs import GROUPS, read_costs
from traystall.cli.evacuations import send_evacuation_order
from traystall.cli.members import Members
from traystall.cli.output import show
from traystall.cli.quarantine import Quarantine
from traystall.cli.rests import Limits, Rests
from traystall.cli.status import status_document
from traystall.cli.trace import read_line
from traystall.cli.trace import trace as trace_request
from traystall.core import clock
from traystall.core.exceptions import BundleError, ClientError
from traystall.rpc.gen.wire import ttypes

_POLL_SECONDS = 0.1
_RESPONSE_MARGIN_SECONDS = 5.0


class Traystall:
    """Operate a traystall cluster.

    Args:
      control: control daemons as IP:PORT, comma separated (TRAYSTALL_CONTROL).
      cluster: name of the cluster (TRAYSTALL_CLUSTER).
      secret: shared secret of the cluster (TRAYSTALL_SECRET).
      token: operator token of the cluster (TRAYSTALL_OPERATOR_TOKEN).
      output: text or json.
      seconds: how long to try.
    """

    def __init__(
        self, control=None, cluster=None, secret=None, token=None, output="text", seconds=15.0
    ):
        control = control or os.environ.get("TRAYSTALL_CONTROL", "")
        if isinstance(control, str):
            control = control.split(",")
        self._controls = [str(word).strip() for word in control if str(word).strip()]
        self._cluster = cluster or os.environ.get("TRAYSTALL_CLUSTER", "traystall")
        self._secret = str(secret or os.environ.get("TRAYSTALL_SECRET", ""))
        self._token = str(token or os.environ.get("TRAYSTALL_OPERATOR_TOKEN", ""))
        self._output = output
        self._seconds = float(seconds)
        self.members = Members(self._call_client, self._token, output)
        self.quarantine = Quarantine(self._call_client, self._token, output)
        self.rests = Rests(self._secret, output)
        self.limits = Limits(self._secret, output)

    def check(self, bundle, number=None):
        """Check a bundle without calling anyone; list every problem."""
        loaded = _load_bundle(bundle, number)
        counts = _count_entity_kinds(loaded.entities)
        show({"number": loaded.number, "digest": loaded.digest.hex(), **counts}, self._output)

    def diff(self, bundle, number=None):
        """Show what applying a bundle would change."""
        loaded = _load_bundle(bundle, number)
        reply = self._call_client(_fetch_configuration)
        delta = make_delta(reply.puts or {}, loaded.encoded)
        old = reply.puts or {}
        result = {
            "in_force": reply.number,
            "added": sorted(key for key in delta.puts if key not in old),
            "changed": sorted(key for key in delta.puts if key in old),
            "removed": sorted(delta.deletes),
        }
        show(result, self._output)

    def apply(self, bundle, number=None, wait=True, operator=None):
        """Apply a whole bundle; with --wait, return once it is in force everywhere."""
        loaded = _load_bundle(bundle, number)
        request = ttypes.ApplyRequest(
            number=loaded.number,
            digest=loaded.digest,
            entities=loaded.encoded,
            operator=str(operator or getpass.getuser()),
            token=self._token,
        )
        reply = self._call_client(lambda client: client.call_leader(request))
        result = {
            "outcome": reply.outcome,
            "number": loaded.number,
            "digest": loaded.digest.hex(),
            "current": reply.current,
            "resent": reply.resent,
        }
        if reply.outcome != "accepted":
            raise Conflict(
                f"Number {loaded.number} is {'taken' if reply.outcome == 'conflict' else 'stale'}: "
                f"'{reply.winner}' holds number {reply.number} with digest {reply.digest.hex()}; "
                f"the newest is {reply.current}. Take a higher number."
            )
        if wait:
            result["in_force"] = self._call_client(lambda c: self._wait_in_force(c, loaded.number))
        show(result, self._output)

    def status(self):
        """Show leader, members, gateways with their revision, evacuations, laggards, claims."""
        reply = self._call_client(self._read_status)
        show(status_document(reply), self._output)

    def evacuate(self, data_centre, wait=True, operator=None):
        """Send nothing more to a data centre's targets; with --wait, return once all obey."""
        self._order_evacuation(data_centre, True, wait, operator)

    def restore(self, data_centre, wait=True, operator=None):
        """Take an evacuation back; with --wait, return once all gateways obey."""
        self._order_evacuation(data_centre, False, wait, operator)

    def costs(self, by="stage"):
        """Show busy and wasted seconds of targets, by stage, pipeline or customer."""
        if by not in GROUPS:
            raise BadUsage(f"--by must be one of {', '.join(GROUPS)}, not '{by}'.")
        reply = self._call_client(self._read_status)
        show({"costs": asyncio.run(read_costs(reply.gateways or [], by))}, self._output)

    def request(
        self,
        pipeline,
        customer,
        gateway,
        body="{}",
        deadline_ms=None,
        key="",
        priority=None,
        not_repeatable=False,
    ):
        """Send one request to a gateway and show the answer and where each stage ran."""
        headers = {"Traystall-Customer": str(customer)}
        if deadline_ms is not None:
            headers["Traystall-Deadline-Ms"] = str(deadline_ms)
        if key:
            headers["Idempotency-Key"] = str(key)
        if priority:
            headers["Traystall-Class"] = str(priority)
        if not_repeatable:
            headers["Traystall-Not-Repeatable"] = "true"
        document = _read_body(body)
        seconds = (deadline_ms or 3_600_000) / 1000 + _RESPONSE_MARGIN_SECONDS
        status, answer = asyncio.run(
            post_request(str(gateway), str(pipeline), headers, document, seconds)
        )
        show(answer, self._output)
        if status != 200:
            raise Refused(f"{answer.get('code')}: {answer.get('title')} run={answer.get('run')}")

    def explain(self, request):
        """Show where a recent request's stages ran and why."""
        reply = self._call_client(self._read_status)
        show(asyncio.run(_explain(str(request), reply.gateways or [])), self._output)

    def trace(self, request, logs):
        """Follow a request through collected log files: LOGS is FILE,FILE,... or - for input."""
        names = [logs] if isinstance(logs, str) else list(logs)
        names = [part for name in names for part in str(name).split(",")]
        found = trace_request(str(request), _read_log_lines(names))
        if not found.steps:
            raise Refused(f"The logs contain no line about request '{request}'.")
        document = {
            "request": found.request,
            "outcome": found.outcome,
            "steps": [line.text() for line in found.steps],
            "meanwhile": [line.text() for line in found.context_lines],
        }
        show(document, self._output)

    def _order_evacuation(self, data_centre, evacuated, wait, operator):
        request = ttypes.EvacuateRequest(
            data_centre=str(data_centre),
            evacuated=evacuated,
            operator=str(operator or getpass.getuser()),
            token=self._token,
        )
        seconds = self._seconds if wait else None
        result = self._call_client(lambda client: send_evacuation_order(client, request, seconds))
        show(result, self._output)

    def _call_client(self, action):
        async def run():
            client = ControlClient(self._controls, self._cluster, self._secret, self._seconds)
            try:
                return await action(client)
            finally:
                await client.close()

        return asyncio.run(run())

    async def _read_status(self, client):
        return await client.call_leader(ttypes.StatusRequest(token=self._token))

    async def _wait_in_force(self, client, number):
        """Wait until every live gateway has the revision in force; return their instance names."""
        deadline = clock.monotonic() + self._seconds
        while True:
            reply = await self._read_status(client)
            lagging = [g.instance for g in reply.gateways or () if g.number < number]
            if not lagging:
                return [g.instance for g in reply.gateways or ()]
            if clock.monotonic() > deadline:
                raise InDoubt(
                    f"The bundle was accepted but is not yet in force at: {', '.join(lagging)}."
                )
            await asyncio.sleep(_POLL_SECONDS)


def _load_bundle(path, number):
    try:
        return load_bundle(str(path), number)
    except BundleError as error:
        lines = "\n".join(f"  {problem}" for problem in error.problems)
        raise BadUsage(f"The bundle '{path}' is invalid:\n{lines}") from error


def _read_log_lines(names):
    """Yield the log lines of all files; raise BadUsage if a file can't be read."""
    for name in names:
        try:
            with sys.stdin if name == "-" else open(name, encoding="utf-8") as file:
                yield from filter(None, map(read_line, file))
        except (OSError, UnicodeDecodeError) as error:
            raise BadUsage(f"'{name}' can't be read: {error}.") from error


async def _fetch_configuration(client):
    """Fetch a full copy of the configuration; any control daemon can answer."""
    gateway = ttypes.GatewayRecord(
        identity="operator/diff",
        instance="operator",
        data_centre="",
        address="",
        rpc_address="",
        number=0,
        state="operator",
        age=1e9,
    )
    request = ttypes.WatchRequest(gateway=gateway, digest=EMPTY_DIGEST, directory_version=0)
    return await client.call_leader(request)


def _read_body(body):
    if isinstance(body, dict):
        return body
    try:
        document = json.loads(body)
    except (TypeError, ValueError) as error:
        raise BadUsage("--body must be a JSON object.") from error
    if not isinstance(document, dict):
        raise BadUsage("--body must be a JSON object.")
    return document


def _count_entity_kinds(entities):
    counts: dict[str, int] = {}
    for key in entities:
        kind = key.split("/")[0]
        counts[kind] = counts.get(kind, 0) + 1
    return counts


async def _explain(request, gateways):
    documents = await asyncio.gather(
        *(get_document(f"http://{g.address}/v1/requests/{request}") for g in gateways)
    )
    for document in documents:
        if document is not None:
            return document
    raise Refused(f"No live gateway has a record of request '{request}'.")


def main() -> None:
    """Run the program and exit with one of the codes listed above."""
    try:
        fire.Fire(Traystall, name="traystall")
    except ClientError as error:
        print(f"traystall: {error}", file=sys.stderr)
        sys.exit(error.exit_code)


if __name__ == "__main__":
    main()
