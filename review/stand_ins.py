"""Stand-ins for scripted cases: the platform, its runners, the operator and clients.

The project's own programs run as separate processes, with the commands of the deploy file. The
stand-ins run in the process of the case. Only the standard library is used. Every address is a
loopback address.
"""

import asyncio
import contextlib
import json
import os
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_SECONDS = 1.2
ZONES = ("zone-a", "zone-b", "zone-c")
BOUNDS = {
    "seed-lag-s": "3",
    "addr-reuse-s": "2",
    "contact-ms": "3000",
    "ack-ms": "4000",
    "catch-up-s": "4",
    "drain-ms": "2000",
    "grace-s": "8",
    "loss-slack-ms": "200",
    "config-apply-ms": "2000",
    "rollback-slack-ms": "250",
    "outer-ms": "5000",
    "strict-revoke": "false",
    "revoke-ms": "5000",
    "retry-ratio": "0.2",
    "retry-window-s": "10",
    "retry-slack": "58",
    "recover-s": "12",
    "pass-ms": "120",
    "retry-after-s": "10",
}
_PASSED_ENVIRONMENT = ("PATH", "HOME", "LANG")
_STOP_SECONDS = 5.0
_COULD_NOT_RUN = 2


class CannotRun(Exception):
    """Report that a case could not be set up, which says nothing about the rule."""


class Record:
    """Write what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path):
        self._file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115 - kept open.
        self._started = time.monotonic()

    def write(self, what: str, **details) -> None:
        """Write one line."""
        words = " ".join(f"{name}={value}" for name, value in details.items())
        self._file.write(f"{time.monotonic() - self._started:8.3f} {what} {words}".rstrip() + "\n")


class Machine:
    """One machine of the platform: its address, its settings file and its process."""

    def __init__(self, name: str, role: str, ip: str, zone: str, folder: Path, command: list[str]):
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.folder = folder
        self.process: subprocess.Popen | None = None
        self._command = command

    @property
    def settings_path(self) -> Path:
        """Return the path of the settings file."""
        return self.folder / "settings.conf"

    def start(self) -> None:
        """Start the process as the platform does: few variables, at the root of the project."""
        environment = {name: os.environ[name] for name in _PASSED_ENVIRONMENT if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["TRAYSTALL_NODE_FILE"] = str(self.settings_path)
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process that this case started."""
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)


class Deployment:
    """A small deployment: one edge and one core machine in each of three zones."""

    def __init__(self, record: Record):
        self.record = record
        commands = _commands()
        self._net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.control_port, self.front_port, self.ready_port, self.first_port = _free_ports(
            self._net
        )
        self.folder = Path(tempfile.mkdtemp(prefix="traystall-review-"))
        self.controls = [
            self._machine(f"core-{zone}", "control", 10 + index, zone, commands["control"])
            for index, zone in enumerate(ZONES)
        ]
        self.gateways = [
            self._machine(f"edge-{zone}", "gateway", 20 + index, zone, commands["gateway"])
            for index, zone in enumerate(ZONES)
        ]

    def start(self) -> None:
        """Write the settings files and start every process."""
        for machine in (*self.controls, *self.gateways):
            machine.folder.mkdir()
            self._write_settings(machine, bootstrap=True)
            machine.start()
            self.record.write("started", machine=machine.name, pid=machine.process.pid)

    def restart(self, machine: Machine) -> None:
        """Start the process of a machine again; the system has started before."""
        self._write_settings(machine, bootstrap=False)
        machine.start()
        self.record.write("started-again", machine=machine.name, pid=machine.process.pid)

    def runner_ip(self, number: int) -> str:
        """Return a loopback address for a runner."""
        return f"{self._net}.{100 + number}"

    def control_address(self, machine: Machine) -> tuple[str, int]:
        """Return where runners and the operator call a core machine."""
        return machine.ip, self.control_port

    def front_address(self, machine: Machine) -> tuple[str, int]:
        """Return where clients call an edge machine."""
        return machine.ip, self.front_port

    async def until_configured(self, document: dict, seconds: float = 30.0) -> None:
        """Send the configuration until it is acknowledged; raise CannotRun if it is not."""
        deadline = time.monotonic() + seconds
        body = json.dumps(document).encode()
        while time.monotonic() < deadline:
            for machine in self.controls:
                with contextlib.suppress(OSError, TimeoutError, ValueError, EOFError):
                    answer = await call(
                        self.control_address(machine), "PUT", "/traystall/config", body, 3.0
                    )
                    self.record.write("config", machine=machine.name, status=answer.status)
                    if answer.status == 200:
                        return
            await asyncio.sleep(0.3)
        raise CannotRun("No configuration was acknowledged.")

    async def until_ready(self, seconds: float = 30.0) -> None:
        """Return once every edge machine calls itself ready; raise CannotRun if one does not."""
        deadline = time.monotonic() + seconds
        for machine in self.gateways:
            while not await self._is_ready(machine):
                if time.monotonic() > deadline:
                    raise CannotRun(f"{machine.name} is not ready.")
                await asyncio.sleep(0.2)

    async def _is_ready(self, machine):
        with contextlib.suppress(OSError, TimeoutError, ValueError, EOFError):
            answer = await call((machine.ip, self.ready_port), "GET", "/traystall/ready", b"", 1.0)
            return answer.status == 200
        return False

    def stop(self) -> None:
        """End every process that was started, and remove the temporary folder."""
        machines = [m for m in (*self.controls, *self.gateways) if m.process is not None]
        for machine in machines:
            machine.signal(signal.SIGCONT)
            machine.signal(signal.SIGKILL)
        for machine in machines:
            machine.process.wait(_STOP_SECONDS)
        if os.environ.get("KEEP"):
            print(f"kept: {self.folder}")
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def _machine(self, name, role, host, zone, command):
        return Machine(name, role, f"{self._net}.{host}", zone, self.folder / name, command)

    def _write_settings(self, machine, bootstrap):
        is_edge = machine.role == "gateway"
        seeds = ",".join(f"{control.ip}:{self.control_port}" for control in self.controls)
        fields = {
            "node": machine.name,
            "role": machine.role,
            "class": "edge" if is_edge else "core",
            "serves": "edge" if is_edge else "control",
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "region-1",
            **{f"zones.{zone}": "region-1" for zone in ZONES},
        }
        if is_edge:
            fields["listen.front"] = f"{machine.ip}:{self.front_port}"
            fields["listen.ready"] = f"{machine.ip}:{self.ready_port}"
        else:
            fields["listen.control"] = f"{machine.ip}:{self.control_port}"
            fields["data-dir"] = str(machine.folder / "data")
        fields |= {
            "port-range": f"{self.first_port},{self.first_port + 15}",
            "seeds": seeds,
            "bootstrap": "true" if bootstrap else "false",
            "loss-counts": "false" if is_edge else "true",
            "limits.cpu-share": "0.537" if is_edge else "0.645",
            "limits.cores": "2",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "limits.link-mbps": "1000.0",
            "limits.disk-mb": "0" if is_edge else "128",
            "discovery": "registration",
            "entry": "vip",
            "heartbeat-ms": str(int(HEARTBEAT_SECONDS * 1000)),
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,stages",
            "tolerate.machines": "1",
            "tolerate.zones": "1",
            "tolerate.regions": "0",
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "config-mode": "highest",
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        temporary = machine.settings_path.with_suffix(".new")
        temporary.write_text(text)
        temporary.replace(machine.settings_path)


def _commands() -> dict[str, list[str]]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    if not (ROOT / "target" / "deps").is_dir():
        raise CannotRun("target/deps is missing: run the build of the deploy file first.")
    return {name: role["run"].split() for name, role in deploy["roles"].items()}


def _free_ports(net: str) -> tuple[int, int, int, int]:
    """Return three ports, and the first of a range of 16, that are free on the loopback network."""
    for _ in range(50):
        base = random.randrange(12000, 28000)
        if all(_is_free(f"{net}.10", base + offset) for offset in range(20)):
            return base, base + 1, base + 2, base + 4
    raise CannotRun("No free ports.")


def _is_free(ip, port):
    with socket.socket() as found:
        try:
            found.bind((ip, port))
        except OSError:
            return False
    return True


# ---- HTTP ----


class Message:
    """A request or an answer that was read from a connection."""

    def __init__(self, first_line: str, headers: list[tuple[str, str]]):
        self.first_line = first_line
        self.headers = headers
        self.body = b""

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first_line.split()[1])

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split()[0]

    @property
    def path(self) -> str:
        """Return the target of a request."""
        return self.first_line.split()[1]

    def get(self, name: str) -> str | None:
        """Return the first header of this name, ignoring case."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return None


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message, or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ValueError("The head was cut.") from error
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    return Message(lines[0], headers)


async def read_chunks(reader: asyncio.StreamReader, message: Message):
    """Yield the body of a message as it arrives; raise EOFError or ValueError if it is cut."""
    try:
        if (message.get("Transfer-Encoding") or "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                chunk = await reader.readexactly(size + 2)
                yield chunk[:-2]
            await reader.readuntil(b"\r\n")
            return
        left = int(message.get("Content-Length") or 0)
        while left:
            data = await reader.read(min(left, 1 << 16))
            if not data:
                raise EOFError("The body was cut.")
            left -= len(data)
            yield data
    except asyncio.IncompleteReadError as error:
        raise EOFError("The body was cut.") from error


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next whole message, or None at the end of the connection."""
    message = await read_head(reader)
    if message is not None:
        message.body = b"".join([part async for part in read_chunks(reader, message)])
    return message


def request_bytes(method: str, path: str, host: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return an encoded request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an encoded answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value is not None]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def call(address, method: str, path: str, body: bytes, seconds: float) -> Message:
    """Return the answer to one request on a connection of its own."""
    async with asyncio.timeout(seconds):
        reader, writer = await asyncio.open_connection(*address)
        try:
            headers = {"Content-Type": "application/json", "Connection": "close"}
            writer.write(request_bytes(method, path, address[0], headers, body))
            answer = await read_message(reader)
            if answer is None:
                raise EOFError("No answer came.")
            return answer
        finally:
            writer.transport.abort()


# ---- runners ----


class Runner:
    """One runner: it registers itself, and serves one request at a time on each connection.

    `serve(request, connection)` is overridden; it writes the answer. A runner drops a request once
    its connection closes.
    """

    def __init__(self, deployment: Deployment, service: str, number: int, slots: int = 1):
        self.identity = f"i-{secrets.token_hex(5)}"
        self.service = service
        self.slots = slots
        self.zone = ZONES[number % len(ZONES)]
        self.ip = deployment.runner_ip(number)
        self.address = ""
        self.record = deployment.record
        self.state = "ready"
        self.beats = True
        self._deployment = deployment
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()
        self._control = number % len(deployment.controls)

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        self._server = await asyncio.start_server(self._serve_connection, self.ip, 0)
        self.address = f"{self.ip}:{self._server.sockets[0].getsockname()[1]}"
        self._spawn(self._beat_forever())

    async def stop(self) -> None:
        """End."""
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def beat(self) -> bool:
        """Send one heartbeat, to the next daemon if one does not acknowledge it in a second."""
        for _ in self._deployment.controls:
            machine = self._deployment.controls[self._control]
            self._sequence += 1
            body = {
                "service": self.service,
                "addr": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold-left-ms": 0,
                "seq": self._sequence,
            }
            path = f"/traystall/instances/{self.identity}"
            with contextlib.suppress(OSError, TimeoutError, ValueError, EOFError):
                address = self._deployment.control_address(machine)
                answer = await call(address, "PUT", path, json.dumps(body).encode(), 1.0)
                if 200 <= answer.status < 300:
                    return True
            self._control = (self._control + 1) % len(self._deployment.controls)
        return False

    async def serve(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        raise NotImplementedError

    def reply(self, writer, request: Message, status: int, body: bytes = b"", **headers) -> None:
        """Write an answer; it carries back the request's id."""
        own = {"X-Request-Id": request.get("X-Request-Id")}
        own |= {name.replace("_", "-"): value for name, value in headers.items()}
        writer.write(answer_bytes(status, own, body))

    async def _beat_forever(self):
        while True:
            if self.beats:
                await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve_connection(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while (request := await read_message(reader)) is not None:
                await self._serve_until_closed(request, reader, writer)
        except (OSError, ValueError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.transport.abort()

    async def _serve_until_closed(self, request, reader, writer):
        """Serve a request, and drop it as soon as its connection closes."""
        expected = request.get("X-Expect-Instance")
        if expected not in (None, self.identity):
            self.reply(writer, request, 421, X_Instance=self.identity)
            return
        if request.path == "/health":
            self.reply(writer, request, 200, X_Instance=self.identity)
            return
        work = asyncio.create_task(self.serve(request, writer))
        closed = asyncio.create_task(_until_closed(reader))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise EOFError("The caller has closed the connection.")
            work.result()
        finally:
            for task in (work, closed):
                task.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

    def _spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


async def _until_closed(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(0.01)


# ---- running a case ----


def main(folder: Path, case) -> None:
    """Run `case(deployment)`, which returns whether the rule held, and exit as agreed.

    The status is 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    """
    # A run that is ended from outside ends its processes too.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(_COULD_NOT_RUN))
    record = Record(folder)
    try:
        held = _run(record, case)
    except CannotRun as error:
        record.write("could-not-run", why=error)
        print(f"could not run: {error}")
        sys.exit(_COULD_NOT_RUN)
    except Exception:
        # An error of the script itself says nothing about the rule.
        traceback.print_exc()
        sys.exit(_COULD_NOT_RUN)
    print("the rule held" if held else "the rule was broken")
    record.write("verdict", held=held)
    sys.exit(0 if held else 1)


def _run(record: Record, case) -> bool:
    deployment = Deployment(record)
    try:
        return asyncio.run(case(deployment))
    finally:
        deployment.stop()


def has_trouble() -> bool:
    """Return whether the case applies its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"
