"""Control daemons and pass-through gateways in processes of their own, with pausing targets.

The targets are threads of the test process, so that what they ran can be read at any time. A pause
stops the whole event loop of a target, which looks like a stopped process to its peers.
"""

import asyncio
import contextlib
import signal

import aiohttp

from tests.support.cluster import CLUSTER, Process, get, wait_until
from tests.support.control_group import free_address
from tests.support.pausing_target import PausingTarget
from tests.support.site import HOST, KEY
from traystall.catalog.deltas import entities_digest
from traystall.core import clock
from traystall.core.ids import new_id
from traystall.passthrough.dialect import HeaderNames
from traystall.rpc.client import LinkIdentity, LinkPool
from traystall.rpc.gen.wire.ttypes import ApplyRequest
from traystall.rpc.leader import LeaderLink

CONTROLS = ("a", "b", "c")
_APPLY_SECONDS = 10.0
# Interval at which a target notes that it runs, and by how much it is late after a hold-up. A timer
# that is less late does not show that the target could not work meanwhile.
_WATCH_SECONDS = 0.02
_MIN_HOLD_UP_SECONDS = 0.2
# A target that goes on after a silence notices that a connection was closed within two events.
_NOTICE_SECONDS = 0.1
_REQUEST_ID = HeaderNames().request_id


class Run:
    """One run of a request at a target: when it began and ended, and whether it got to its end."""

    def __init__(self, target: str, request_id: str):
        self.target = target
        self.request_id = request_id
        self.began = clock.monotonic()
        self.ended = float("inf")
        self.is_finished = False


class RecordingRunner(PausingTarget.runner_class):
    """Record when each run begins and ends."""

    def __init__(self, identity):
        super().__init__(identity)
        self.recorded: list[Run] = []

    async def _run(self, writer, request, fault):
        run = Run(self.identity, request["headers"].get(_REQUEST_ID.lower(), ""))
        self.recorded.append(run)
        try:
            run.is_finished = await super()._run(writer, request, fault)
            return run.is_finished
        finally:
            run.ended = clock.monotonic()


class RecordingTarget(PausingTarget):
    """A pausing target that also records its pauses, and when its thread was held up."""

    runner_class = RecordingRunner

    def __init__(self, identity, pool, **options):
        super().__init__(identity, **options)
        self.pool = pool
        # [begin, end] of each pause; a target that is dark for good has an endless one.
        self.pauses: list[list[float]] = []
        # [begin, end] of each time in which the thread could not run, as in a collection of garbage
        # by this process. Pauses are among them once they have ended.
        self.hold_ups: list[list[float]] = []
        self._loop.call_soon(self._watch, float("inf"))

    def pause(self, seconds):
        self._is_resumed.clear()
        self._loop.call_soon_threadsafe(self._pause_now, seconds)

    def _pause_now(self, seconds):
        now = clock.monotonic()
        pause = [now, now + seconds]
        self.pauses.append(pause)
        self._is_resumed.wait(None if seconds == float("inf") else seconds)
        pause[1] = clock.monotonic()

    def _watch(self, due):
        now = clock.monotonic()
        if now - due > _MIN_HOLD_UP_SECONDS:
            self.hold_ups.append([due, now])
        self._loop.call_later(_WATCH_SECONDS, self._watch, now + _WATCH_SECONDS)

    def leaves_by(self, begin: float, seconds: float) -> float:
        """Return until when a target may work on a request that was continued elsewhere at `begin`.

        That is `seconds` after it could first work again. A silence that begins in that time leaves
        it the time to notice that its connection was closed.
        """
        silences = sorted(self.pauses + self.hold_ups)
        for silent_at, silent_until in silences:
            if silent_at <= begin < silent_until:
                begin = silent_until
        end = begin + seconds
        for silent_at, silent_until in silences:
            if begin <= silent_at < end:
                end = max(end, silent_until + _NOTICE_SECONDS)
        return end


class ProcessSite:
    """Run control daemons, gateways and targets; use it as an asynchronous context manager."""

    def __init__(self, folder, gateways: int, drain_notice: float = 0.3):
        self._folder = folder
        self._drain_notice = drain_notice
        self._addresses = {name: free_address() for name in CONTROLS}
        self._http = {name: free_address() for name in CONTROLS}
        self.controls = [self._control(name) for name in CONTROLS]
        self.callers_at = [free_address() for _ in range(gateways)]
        self._health_at = [free_address() for _ in range(gateways)]
        self.gateways = [self._gateway(number) for number in range(gateways)]
        # Gateways that accept new requests: neither stopping nor starting.
        self.serving: set[int] = set()
        self.targets: list[RecordingTarget] = []
        self._stack = contextlib.ExitStack()
        self._number = 0

    # ---- lifecycle ----

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._links = LinkPool(LinkIdentity(CLUSTER, "gateway", "operator"))
        self._leader = LeaderLink(self._links, list(self._addresses.values()))
        for process in (*self.controls, *self.gateways):
            process.start()
        for address in self._http.values():
            await asyncio.to_thread(wait_until, lambda a=address: get(a, "/livez")[0], "a daemon")
        return self

    async def __aexit__(self, *error):
        await self.session.close()
        await self._links.close()
        for process in (*self.gateways, *self.controls):
            process.send(signal.SIGCONT)
            process.kill()
        await asyncio.to_thread(self._stack.close)

    async def until_ready(self):
        """Return once every gateway serves."""
        for number in range(len(self.gateways)):
            await self._until_ready(number)

    async def replace(self, number: int) -> int:
        """Stop a gateway with SIGTERM, start it again, and return its exit code."""
        self.serving.discard(number)
        process = self.gateways[number]
        process.send(signal.SIGTERM)
        code = await asyncio.to_thread(process.popen.wait)
        process.start()
        await self._until_ready(number)
        return code

    async def hold_up(self, number: int, seconds: float) -> None:
        """Stop the process of a gateway for `seconds`."""
        self.gateways[number].send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.gateways[number].send(signal.SIGCONT)

    # ---- operations ----

    async def apply(self, entities) -> None:
        """Apply the next revision of the configuration."""
        self._number += 1
        request = ApplyRequest(
            number=self._number,
            digest=entities_digest(entities),
            entities=entities,
            operator="test",
        )
        await self._leader.call(request, _APPLY_SECONDS)

    async def add(self, pool, version="", **options) -> RecordingTarget:
        """Start a target of a software version and report it to a control daemon."""
        target = RecordingTarget(f"{pool}-{len(self.targets)}", pool, **options)
        await asyncio.to_thread(self._stack.enter_context, target)
        target.runner.version = version
        async with asyncio.timeout(_APPLY_SECONDS):
            while not await self.report(target):
                await asyncio.sleep(0.1)
        self.targets.append(target)
        return target

    async def report(self, target, sequence=1) -> bool:
        """Report a target to a control daemon; return whether it was acknowledged."""
        body = {
            "pool": target.pool,
            "address": target.runner.address,
            "data_centre": "here",
            "version": target.runner.version,
            "slots": 64,
            "state": "ready",
            "sequence": sequence,
            "started": 1,
        }
        url = f"http://{self._http['a']}/v1/targets/{target.identity}"
        async with self.session.put(url, json=body) as response:
            return response.status == 200

    def post(self, number, path, body, **headers):
        """Return the context manager of one request to a gateway; ids are made where missing."""
        sent = {"Host": HOST, "Authorization": f"Token {KEY}", _REQUEST_ID: new_id()} | headers
        url = f"http://{self.callers_at[number]}{path}"
        return self.session.post(url, data=body, headers=sent)

    def runs(self) -> dict[str, list[Run]]:
        """Return the runs of each request in the order in which they began."""
        found: dict[str, list[Run]] = {}
        for target in self.targets:
            for run in list(target.runner.recorded):
                found.setdefault(run.request_id, []).append(run)
        return {name: sorted(runs, key=lambda run: run.began) for name, runs in found.items()}

    def log_lines(self, word: str) -> list[str]:
        """Return the lines with this word in the logs of the gateways."""
        return [
            f"{process.name}: {line}"
            for process in self.gateways
            for line in process.log().splitlines()
            if word in line
        ]

    # ---- construction ----

    async def _until_ready(self, number):
        address = self._health_at[number]
        await asyncio.to_thread(
            wait_until, lambda: get(address, "/readyz")[0] == 200, f"gateway {number}"
        )
        self.serving.add(number)

    def _control(self, name):
        members = ",".join(f"{known}={at}" for known, at in self._addresses.items())
        flags = {
            "cluster": CLUSTER,
            "instance": name,
            "data-centre": "here",
            "rpc-listen": self._addresses[name],
            "http-listen": self._http[name],
            "data-folder": str(self._folder / f"data-{name}"),
            "initial-members": members,
            "election-min": "0.4",
            "election-max": "0.8",
            "heartbeat": "0.1",
            "number-rule": "highest",
        }
        return self._process(f"control-{name}", "traystall.control.daemon", flags)

    def _gateway(self, number):
        flags = {
            "cluster": CLUSTER,
            "instance": f"gateway-{number}",
            "data-centre": "here",
            "listen": self.callers_at[number],
            "rpc-listen": free_address(),
            "health-listen": self._health_at[number],
            "control": ",".join(self._addresses.values()),
            "drain-notice": str(self._drain_notice),
        }
        return self._process(f"gateway-{number}", "traystall.passthrough.daemon", flags)

    def _process(self, name, program, flags):
        words = [f"--{flag}={value}" for flag, value in flags.items()]
        return Process(name, [program, *words], self._folder / f"{name}.log")
