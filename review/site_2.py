"""A small deployment for the scripts of this review: daemons, runners, operator and clients.

Daemons are the project's programs, started with the commands of the deploy file. Everything else
is a stand-in on the standard library alone. Each machine has a loopback address of its own, and a
port is the same on all of them.
"""

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "hive.example"
# Bounds of the small deployments, in seconds.
CONTACT, CONFIG_APPLY, GRACE, CATCH_UP, DRAIN, LOSS_SLACK = 3.0, 2.0, 8.0, 4.0, 2.0, 0.2
HEARTBEAT = 1.2


class CannotRun(Exception):
    """The deployment did not come up, so the case shows nothing."""


class Record:
    """The lines of record.txt, with the seconds since the start of the case."""

    def __init__(self, path):
        self.began = time.monotonic()
        self._path = Path(path)
        self._path.write_text("")

    def __call__(self, text):
        with open(self._path, "a") as file:
            file.write(f"{time.monotonic() - self.began:8.3f}  {text}\n")


class Machine:
    """One machine with one process of the project."""

    def __init__(self, site, role, zone, ip, bootstrap=False, seeds=None):
        self.site, self.role, self.zone, self.ip = site, role, zone, ip
        self.name = f"{role}-{ip}"
        self.bootstrap = bootstrap
        self.seeds = list(seeds or site.seeds)
        self.folder = site.folder / self.name
        self.folder.mkdir()
        self.process = None

    def at(self, port):
        return f"{self.ip}:{port}"

    def write_settings(self):
        """Write the settings file as a whole: a new one takes the place of the old one."""
        ports = self.site.ports
        fields = {
            "node": self.name,
            "role": self.role,
            "class": "core" if self.role == "control" else "edge",
            "serves": "control" if self.role == "control" else "edge",
            "ip": self.ip,
            "zone": self.zone,
            "region": "north",
            **{f"zones.{zone}": "north" for zone in self.site.zones},
            "port-range": f"{ports['links']},{ports['links'] + 15}",
            "seeds": ",".join(f"{ip}:{ports['control']}" for ip in self.seeds),
            "bootstrap": "true" if self.bootstrap else "false",
            "loss-counts": "true" if self.role == "control" else "false",
            "limits.cpu-share": "0.537",
            "limits.cores": "2",
            "limits.memory-mb": "300",
            "limits.max-fds": "4100",
            "limits.link-mbps": "1000.0",
            "limits.disk-mb": "128" if self.role == "control" else "0",
            "discovery": "registration",
            "entry": "vip",
            "heartbeat-ms": "1200",
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,stages",
            "tolerate.machines": "1",
            "tolerate.zones": "1",
            "tolerate.regions": "0",
            "bounds.seed-lag-s": "3",
            "bounds.addr-reuse-s": "2",
            "bounds.contact-ms": "3000",
            "bounds.ack-ms": "4000",
            "bounds.catch-up-s": "4",
            "bounds.drain-ms": "2000",
            "bounds.grace-s": "8",
            "bounds.loss-slack-ms": "200",
            "bounds.config-apply-ms": "2000",
            "bounds.rollback-slack-ms": "250",
            "bounds.outer-ms": "5000",
            "bounds.retry-ratio": "0.2",
            "bounds.retry-window-s": "10",
            "bounds.retry-slack": "58",
            "bounds.recover-s": "12",
            "config-mode": "highest",
        }
        if self.role == "control":
            fields["listen.control"] = self.at(ports["control"])
            fields["data-dir"] = str(self.folder / "data")
            (self.folder / "data").mkdir(exist_ok=True)
        else:
            fields["listen.front"] = self.at(ports["front"])
            fields["listen.ready"] = self.at(ports["ready"])
        new = self.folder / "settings.new"
        new.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
        new.replace(self.folder / "settings.conf")

    def start(self):
        self.write_settings()
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TRAYSTALL_NODE_FILE"] = str(self.folder / "settings.conf")
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-S", f"platform/{self.role}.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.site.record(f"{self.name}: started")

    def send(self, number):
        self.site.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def lose_disk(self):
        """Empty the data folder of a process that has ended."""
        self.site.record(f"{self.name}: its disk is lost")
        shutil.rmtree(self.folder / "data")
        self.bootstrap = False

    def peak_mb(self):
        """Return the most memory that the running process has had, in MB."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1000
        return 0


class Site:
    """Run machines and runners; every process started here ends with it."""

    zones = ("hall-a", "hall-b", "hall-c")

    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = Path(tempfile.mkdtemp(prefix="traystall-review-"))
        self._net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self._numbers = iter(range(1, 250))
        self.ports = self._free_ports()
        self.machines = []
        self.runners = []
        self.seeds = []
        self.version = 0

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process in [m.process for m in self.machines] + [r.process for r in self.runners]:
            if process is not None and process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
        for process in [m.process for m in self.machines] + [r.process for r in self.runners]:
            if process is not None:
                process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)

    def next_ip(self):
        return f"{self._net}.{next(self._numbers)}"

    def _free_ports(self):
        first = random.randrange(20000, 30000, 40)
        names = {"front": first + 20, "ready": first + 21, "control": first + 22, "links": first}
        for port in (first, first + 1, *names.values()):
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind((f"{self._net}.1", port))
        return names

    # ---- machines ----

    def add_core(self, count=3):
        ips = [self.next_ip() for _ in range(count)]
        self.seeds = ips[:3]
        return [self.add("control", number, ip, bootstrap=True) for number, ip in enumerate(ips)]

    def add(self, role, number=0, ip=None, **options):
        zone = self.zones[number % len(self.zones)]
        machine = Machine(self, role, zone, ip or self.next_ip(), **options)
        self.machines.append(machine)
        machine.start()
        return machine

    async def until(self, is_true, what, seconds=20.0):
        """Wait until `is_true()` (a coroutine function) holds; CannotRun if it never does."""
        deadline = time.monotonic() + seconds
        while not await is_true():
            if time.monotonic() > deadline:
                raise CannotRun(f"{what}: not within {seconds} s")
            await asyncio.sleep(0.05)
        self.record(f"{what}: yes")

    async def is_ready(self, machine):
        with contextlib.suppress(OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            answer = await call(machine.at(self.ports["ready"]), "GET", "/traystall/ready")
            return answer.status == 200
        return False

    # ---- operator ----

    async def configure(self, controls, document, seconds=10.0):
        """Send a configuration to one daemon after the other until it is acknowledged."""
        self.version += 1
        body = json.dumps({"version": self.version, **document}).encode()
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for control in controls:
                with contextlib.suppress(OSError, TimeoutError, ValueError, EOFError):
                    answer = await call(
                        control.at(self.ports["control"]), "PUT", "/traystall/config", body=body
                    )
                    if answer.status == 200:
                        self.record(
                            f"operator: version {self.version} acknowledged by {control.name}"
                        )
                        return time.monotonic()
                    if answer.status in (400, 409, 413, 422):
                        raise CannotRun(f"the configuration was refused: {answer}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"version {self.version} was not acknowledged")

    async def read_config(self, control):
        with contextlib.suppress(OSError, TimeoutError, ValueError, EOFError):
            answer = await call(control.at(self.ports["control"]), "GET", "/traystall/config")
            if answer.status == 200:
                return json.loads(answer.body)["version"]
        return None

    # ---- runners ----

    def add_runner(self, service, controls, script="runner_2.py", zone="hall-a", **options):
        runner = RunnerProcess(self, service, controls, script, zone, options)
        self.runners.append(runner)
        return runner


class RunnerProcess:
    """A stand-in of a runner in a process of its own; it writes what it runs to a file."""

    def __init__(self, site, service, controls, script, zone, options):
        self.site = site
        self.id = f"i-{random.randrange(16**8):08x}"
        ip = site.next_ip()
        with socket.socket() as probe:
            probe.bind((ip, 0))
            self.address = f"{ip}:{probe.getsockname()[1]}"
        self.file = site.folder / f"{self.id}.txt"
        self.file.touch()
        settings = {
            "id": self.id,
            "service": service,
            "addr": self.address,
            "zone": zone,
            "controls": [control.at(site.ports["control"]) for control in controls],
            "file": str(self.file),
            **options,
        }
        self.process = subprocess.Popen(
            [sys.executable, str(HERE / script), json.dumps(settings)], stdin=subprocess.PIPE
        )
        site.record(f"runner {self.id} ({service}) at {self.address}: started")

    def order(self, word):
        """Tell the runner something, such as `drain`."""
        self.site.record(f"runner {self.id}: told to {word}")
        self.process.stdin.write(f"{word}\n".encode())
        self.process.stdin.flush()

    def lines(self):
        """Return what the runner has written: JSON objects with `what` and `at`."""
        return [json.loads(line) for line in self.file.read_text().splitlines()]

    def runs(self):
        return [line for line in self.lines() if line["what"] == "run"]


class Answer:
    """What a client received; `end` is whole, cut, reset or late."""

    def __init__(self, status=0, headers=None, body=b"", end="whole"):
        self.status, self.headers, self.body, self.end = status, headers or {}, body, end

    def __str__(self):
        return f"{self.status} {len(self.body)} bytes {self.end}"


async def call(
    address, method, path, headers=(), body=b"", seconds=1.5, rate=None, buffer=None, before=None
):
    """Send one request on a new connection and return the answer, whole or not.

    With `rate` the client reads so many bytes a second, and `buffer` is its receive buffer. With
    `before`, the path and headers of a GET, the connection is one that this request has used.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
    loop = asyncio.get_running_loop()
    writer = None
    try:
        async with asyncio.timeout(seconds):
            await loop.sock_connect(sock, (host, int(port)))
            limit = 64 * 1024 if rate is None else 16 * 1024
            reader, writer = await asyncio.open_connection(sock=sock, limit=limit)
            if before is not None:
                writer.write(_request("GET", before[0], before[1], address, b""))
                first = await _read_answer(reader)
                if first.status != 200 or first.end != "whole":
                    return first
            writer.write(_request(method, path, headers, address, body))
            return await _read_answer(reader, rate)
    finally:
        if writer is not None:
            writer.transport.abort()
        else:
            sock.close()


def _request(method, path, headers, address, body):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {dict(headers).get('Host', address)}"]
    lines += [f"{name}: {value}" for name, value in headers if name != "Host"]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def _read_answer(reader, rate=None):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer = Answer(int(head[0].split()[1]))
    for line in filter(None, head[1:]):
        name, _, value = line.partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    body = bytearray()
    try:
        if answer.headers.get("transfer-encoding") == "chunked":
            while size := int(await reader.readline(), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readline()
        else:
            left = int(answer.headers.get("content-length", 0))
            while left:
                part = await reader.read(min(left, 16 * 1024))
                if not part:
                    answer.end = "cut"
                    break
                body += part
                left -= len(part)
                if rate:
                    await asyncio.sleep(len(part) / rate)
    except (ValueError, asyncio.IncompleteReadError):
        answer.end = "cut"
    except ConnectionError:
        answer.end = "reset"
    answer.body = bytes(body)
    return answer


def route(name, service, prefix, kind="idempotent", **more):
    """Return one route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path-prefix": prefix,
        "kind": kind,
        "timeout-ms": 8000,
        "goal-ms": 400,
        "priority": 1,
        "service": service,
        "max-attempts": 1,
        "public": True,
        **more,
    }


def document(routes, services):
    """Return a configuration without its version."""
    return {
        "routes": routes,
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }


def request_headers(deadline_ms):
    """Return the headers of a client's attempt, with an id of its own."""
    return [
        ("Host", HOST),
        ("X-Request-Id", f"{random.randrange(16**16):016x}"),
        ("X-Deadline-Ms", str(deadline_ms)),
    ]


def run(case, record_path, seconds=110.0):
    """Run `case(site)`, which returns whether the rule held, and exit as the issue asks."""

    async def limited():
        async with asyncio.timeout(seconds):
            with Site(record_path) as site:
                try:
                    held = await case(site)
                    site.record(f"verdict: the rule {'held' if held else 'was broken'}")
                    return HELD if held else BROKEN
                except CannotRun as error:
                    site.record(f"verdict: the case could not run: {error}")
                    return NOT_RUN

    try:
        code = asyncio.run(limited())
    except TimeoutError:
        code = NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code])
    sys.exit(code)
