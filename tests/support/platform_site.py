"""One control daemon, one gateway and one target on the platform, each process at its own address.

The processes are started by the platform's entry scripts with settings files of its form, so that
the machine's limits and those of the configuration can be lowered. The target is a thread of the
test process: the memory and the descriptors of the gateway are its own.
"""

import asyncio
import contextlib
import itertools
import json
import os
import resource
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

import aiohttp
from traystall_platform.names import HEADERS

from tests.support.cluster import ROOT, get, wait_until
from tests.support.pausing_target import PausingTarget

HOST = "shop.example"
LINK_PORT, FRONT_PORT, READY_PORT, CONTROL_PORT = 7740, 8625, 8621, 8628
HEALTH_PORT = LINK_PORT + 1
MEGABYTE = 1_000_000
# Descriptors that the platform reserves for files outside the disk folder.
RESERVED_DESCRIPTORS = 200
_BEAT_SECONDS = 1.0
_SAMPLE_SECONDS = 0.05
# What an ordinary caller waits for one answer, and how often it tries on a new connection.
_PATIENCE_SECONDS = 10.0
_TRIES = 4
_START_SECONDS = 40.0
_addresses = itertools.count(1)


class Limits:
    """The limits of a test: of the machines, and in the configuration."""

    def __init__(
        self, memory_mb=160, max_fds=4100, idle_ms=15_000, head_ms=3_000, timeout_ms=8_000
    ):
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.timeout_ms = timeout_ms
        self.document = {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": head_ms,
            "idle-timeout-ms": idle_ms,
        }


class Machine:
    """A process of the platform, with its peak of memory: its own, and what it has not read."""

    def __init__(self, folder, role, seeds, limits, bootstrap=False):
        number = next(_addresses)
        self.ip = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{number}"
        self.role = role
        self._limits = limits
        self._folder = Path(folder)
        self._seeds = seeds or f"{self.ip}:{CONTROL_PORT}"
        self._bootstrap = bootstrap
        self.popen = None
        self._peak_bytes = 0
        self._is_over = threading.Event()

    def address(self, port: int) -> str:
        return f"{self.ip}:{port}"

    def start(self):
        """Start the process; its descriptors are limited by the kernel as well."""
        settings = self._folder / f"{self.role}.conf"
        settings.write_text(self._settings())
        environ = {k: v for k, v in os.environ.items() if not k.startswith("TRAYSTALL_")}
        with open(self._folder / f"{self.role}.log", "ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, f"platform/{self.role}.py"],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environ | {"TRAYSTALL_NODE_FILE": str(settings)},
            )
        hard = self._limits.max_fds
        resource.prlimit(self.popen.pid, resource.RLIMIT_NOFILE, (hard, hard))
        threading.Thread(target=self._watch, daemon=True).start()

    def stop(self):
        self._is_over.set()
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGKILL)
        if self.popen is not None:
            self.popen.wait()

    @property
    def is_alive(self) -> bool:
        return self.popen.poll() is None

    def log(self) -> str:
        return (self._folder / f"{self.role}.log").read_text()

    def descriptors(self) -> int:
        """Return the number of open descriptors, or 0 if the process has ended."""
        with contextlib.suppress(OSError):
            return len(os.listdir(f"/proc/{self.popen.pid}/fd"))
        return 0

    def sockets(self) -> int:
        """Return the number of open sockets, or 0 if the process has ended."""
        with contextlib.suppress(OSError):
            return sum(name.startswith("socket:") for name in self._open_files())
        return 0

    def peak_bytes(self) -> int:
        """Return the most memory so far, with the bytes that had arrived and were not read."""
        return max(self._peak_bytes, self._status("VmHWM"))

    def _open_files(self):
        folder = f"/proc/{self.popen.pid}/fd"
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                yield os.readlink(f"{folder}/{name}")

    def _watch(self):
        while not self._is_over.wait(_SAMPLE_SECONDS):
            self._peak_bytes = max(self._peak_bytes, self._status("VmRSS") + self._unread_bytes())

    def _status(self, field):
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.popen.pid}/status").read_text().splitlines():
                if line.startswith(f"{field}:"):
                    return int(line.split()[1]) * 1024
        return 0

    def _unread_bytes(self):
        """Return the bytes in the receive buffers of all connections to this machine."""
        local = "".join(f"{int(part):02X}" for part in reversed(self.ip.split(".")))
        total = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_connected = fields[3] != "0A"
            if is_connected and fields[1].startswith(local):
                total += int(fields[4].partition(":")[2], 16)
        return total

    def _settings(self):
        fields = {
            "node": f"{self.role}-1",
            "role": self.role,
            "ip": self.ip,
            "zone": "hall-a",
            "region": "north",
            "zones.hall-a": "north",
            "port-range": f"{LINK_PORT},{LINK_PORT + 15}",
            "seeds": self._seeds,
            "bootstrap": "true" if self._bootstrap else "false",
            "limits.cpu-share": "0.5",
            "limits.cores": "1",
            "limits.memory-mb": self._limits.memory_mb,
            "limits.max-fds": self._limits.max_fds,
            "limits.link-mbps": "1000",
            "limits.disk-mb": "1000",
            "bounds.grace-s": "8",
        }
        if self.role == "control":
            fields["listen.control"] = self.address(CONTROL_PORT)
            fields["data-dir"] = str(self._folder / "data")
        else:
            fields["listen.front"] = self.address(FRONT_PORT)
            fields["listen.ready"] = self.address(READY_PORT)
        return "".join(f"{name}={value}\n" for name, value in fields.items())


class PlatformSite:
    """Run the processes and the target; use it as an asynchronous context manager."""

    def __init__(self, folder, limits: Limits):
        self.limits = limits
        self.control = Machine(folder, "control", "", limits, bootstrap=True)
        self.gateway = Machine(folder, "gateway", self.control.address(CONTROL_PORT), limits)
        self._target = PausingTarget("i-1", names=HEADERS, large_bytes=4 * MEGABYTE)
        self._stack = contextlib.ExitStack()
        self._beats: asyncio.Task | None = None
        self._asked = itertools.count(1)
        self._version = 0

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        try:
            self._stack.enter_context(self._target)
            for machine in (self.control, self.gateway):
                self._stack.callback(machine.stop)
                machine.start()
            await self.configure()
            self._beats = asyncio.create_task(self._beat_forever())
            await self._until_served()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *error):
        if self._beats is not None:
            self._beats.cancel()
        await self.session.close()
        await asyncio.to_thread(self._stack.close)

    @property
    def target(self):
        """Return the emulated target."""
        return self._target.runner

    async def ask(self, body=b"x", path="/plain/1") -> tuple[int, bytes]:
        """Send one request as an ordinary caller; return the status and body of its answer.

        The caller tries again on a new connection after a refusal or a failure; the last outcome
        is (0, b"") without an answer.
        """
        outcome = 0, b""
        for _ in range(_TRIES):
            outcome = await self._try(body, path)
            if outcome[0] == 200:
                break
            await asyncio.sleep(0.2)
        return outcome

    async def _try(self, body, path):
        headers = {"Host": HOST, "X-Request-Id": f"q{next(self._asked)}"}
        url = f"http://{self.gateway.address(FRONT_PORT)}{path}"
        with contextlib.suppress(OSError, TimeoutError, aiohttp.ClientError):
            async with (
                asyncio.timeout(_PATIENCE_SECONDS),
                self.session.post(url, data=body, headers=headers) as response,
            ):
                return response.status, await response.read()
        return 0, b""

    async def read_configuration(self) -> int:
        """Return the status of an ordinary read of the configuration."""
        url = f"http://{self.control.address(CONTROL_PORT)}/traystall/config"
        status = 0
        for _ in range(_TRIES):
            with contextlib.suppress(OSError, TimeoutError, aiohttp.ClientError):
                async with asyncio.timeout(_PATIENCE_SECONDS), self.session.get(url) as response:
                    status = response.status
                    if status == 200:
                        break
            await asyncio.sleep(0.2)
        return status

    async def is_ready(self) -> bool:
        """Return whether the platform's readiness check gets 200."""
        address = self.gateway.address(READY_PORT)
        for _ in range(_TRIES):
            status, _ = await asyncio.to_thread(get, address, "/traystall/ready")
            if status == 200:
                return True
        return False

    async def configure(self, limits=None) -> None:
        """Send the next version of the configuration, with some limits replaced."""
        self._version += 1
        routes = [
            self._route("plain", "idempotent", 2),
            self._route("once", "non_idempotent", 1),
        ]
        service = {"name": "plain", "health-path": "/health", "max-conns": 500}
        document = {
            "version": self._version,
            "routes": routes,
            "services": [service],
            "limits": self.limits.document | (limits or {}),
        }
        deadline = time.monotonic() + _START_SECONDS
        while await self._call("/traystall/config", document) != 200:
            assert time.monotonic() < deadline, self.control.log()[-2000:]
            await asyncio.sleep(0.1)

    def _route(self, name, kind, attempts):
        return {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "kind": kind,
            "timeout-ms": self.limits.timeout_ms,
            "goal-ms": 1000,
            "service": "plain",
            "max-attempts": attempts,
            "public": True,
        }

    async def _beat_forever(self):
        for sequence in itertools.count(1):
            beat = {"service": "plain", "addr": self.target.address, "zone": "hall-a"}
            beat |= {"version": "v1", "slots": 500, "state": "ready", "seq": sequence, "born": 1}
            await self._call("/traystall/instances/i-1", beat)
            await asyncio.sleep(_BEAT_SECONDS)

    async def _call(self, path, document):
        url = f"http://{self.control.address(CONTROL_PORT)}{path}"
        with contextlib.suppress(OSError, TimeoutError, aiohttp.ClientError):
            async with (
                asyncio.timeout(5),
                self.session.put(url, data=json.dumps(document)) as response,
            ):
                return response.status
        return 0

    async def until_ready(self) -> None:
        """Return once the gateway says that it is ready; fail after some time."""
        address = self.gateway.address(READY_PORT)
        await asyncio.to_thread(
            wait_until, lambda: get(address, "/traystall/ready")[0] == 200, "a ready gateway"
        )

    async def _until_served(self):
        await self.until_ready()
        deadline = time.monotonic() + _START_SECONDS
        while (await self._try(b"x", "/plain/1"))[0] != 200:
            assert time.monotonic() < deadline, self.gateway.log()[-2000:]
            await asyncio.sleep(0.1)
