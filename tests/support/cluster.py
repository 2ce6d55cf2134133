"""A small cluster of real processes on the loopback interface."""

import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import msgspec
import yaml

from tests.support.fake_targets import FakeSpec

ROOT = Path(__file__).resolve().parents[2]
CLUSTER = "test"
# A loopback address that depends on the process id, so that parallel test runs share no ports.
HOST = f"127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"
READY_SECONDS = 40.0


def _port_numbers():
    """Yield ports below the range that the system assigns to outgoing connections."""
    first, last = 10_000, 32_000
    port = first + os.getpid() * 97 % (last - first)
    while True:
        port = port + 1 if port < last else first
        yield port


_ports = _port_numbers()


def free_ports(count: int) -> list[int]:
    """Return ports that are free at the time of the call and were not handed out before."""
    found: list[int] = []
    while len(found) < count:
        port = next(_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            found.append(port)
    return found


def wait_until(condition, what: str, seconds: float = READY_SECONDS):
    """Return the first true value of `condition()`; fail after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError(f"waited {seconds:.0f} s in vain for: {what}")


def get(address: str, path: str):
    """Return (status, text) of a GET, or (0, '') if nothing answers."""
    try:
        with urllib.request.urlopen(f"http://{address}{path}", timeout=2) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError:
        return 0, ""


def post(address: str, path: str, body, headers=None, seconds: float = 30.0):
    """Return (status, headers, document) of a POST; status 0 without a complete response."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data, headers or {})
    try:
        with urllib.request.urlopen(request, timeout=seconds) as response:
            return response.status, response.headers, json.loads(response.read() or b"{}")
    except urllib.error.HTTPError as error:
        return error.code, error.headers, json.loads(error.read() or b"{}")
    except (OSError, ValueError):
        return 0, {}, {}


class Process:
    """Run one child process."""

    def __init__(self, name, arguments, log_path, environ=None):
        self.name = name
        self.arguments = arguments
        self.log_path = log_path
        self.environ = environ or {}
        self.popen = None

    def start(self):
        """Start the process, or restart it with the same arguments."""
        environ = {k: v for k, v in os.environ.items() if not k.startswith("TRAYSTALL_")}
        with open(self.log_path, "ab") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.arguments],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environ | self.environ,
            )
        return self

    def kill(self):
        """Kill the process and wait until it has ended."""
        self.send(signal.SIGKILL)
        self.popen.wait()

    def send(self, number):
        """Send a signal to the process if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def stop(self, seconds=15.0):
        """Send SIGTERM; return the exit code, or None if the process had to be killed."""
        self.send(signal.SIGTERM)
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def log(self):
        """Return the contents of the log file."""
        return Path(self.log_path).read_text()


class Cluster:
    """Run control daemons, gateways and fake targets for one sample bundle."""

    def __init__(
        self,
        bundle: str,
        controls: int = 3,
        gateways_per_data_centre: int = 1,
        seconds=None,
        solo=(),
        control_flags=(),
        gateway_flags=(),
        log_level="info",
        folder=None,
        variant=None,
        relay=None,
    ):
        self.folder = Path(folder or tempfile.mkdtemp(prefix="traystall-"))
        self.documents = self._read(bundle)
        self.places = [row["name"] for row in self.documents["data_centres"]]
        self.fakes: dict[str, Process] = {}
        self.targets: dict[str, str] = {}
        self.controls: list[Process] = []
        self.gateways: list[Process] = []
        self.control_addresses = [f"{HOST}:{port}" for port in free_ports(controls)]
        self.control_http = [f"{HOST}:{port}" for port in free_ports(controls)]
        self.gateway_addresses: list[str] = []
        self.gateway_rpc: list[str] = []
        self._control_flags = list(control_flags)
        self._gateway_flags = list(gateway_flags)
        self._log_level = log_level
        self._variant = variant
        self._seconds = seconds or {}
        self._solo = set(solo)
        self._relay = relay
        self._make_fakes()
        self._make_controls()
        self._make_gateways(gateways_per_data_centre)
        self.bundle = self.write_bundle(1)

    # ---- lifecycle ----

    def start(self, apply=True):
        """Start all processes, apply the bundle, and return once every gateway is ready."""
        for process in [*self.fakes.values(), *self.controls, *self.gateways]:
            process.start()
        for address in self.targets.values():
            wait_until(lambda a=address: get(a, "/v1/state")[0] == 200, f"fake {address}")
        wait_until(self.leader, "a leader")
        if apply:
            code, _, error = self.cli("apply", self.bundle)
            assert code == 0, error
            self.wait_ready()
        return self

    def wait_ready(self):
        """Return once every gateway is ready."""
        for address in self.gateway_addresses:
            wait_until(lambda a=address: get(a, "/readyz")[0] == 200, f"gateway {address}")

    def close(self):
        """Kill all processes of the cluster and remove their files."""
        for process in [*self.gateways, *self.controls, *self.fakes.values()]:
            if process.popen is not None:
                process.send(signal.SIGCONT)
                process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        try:
            return self.start()
        except BaseException:
            self.close()
            raise

    def __exit__(self, *_):
        self.close()

    # ---- operations ----

    def cli(self, *words, seconds=60):
        """Run the command line client; return its exit code, output and errors."""
        done = subprocess.run(
            [sys.executable, "-m", "traystall.cli.main", *map(str, words)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=seconds,
            env=os.environ
            | {
                "TRAYSTALL_CONTROL": ",".join(self.control_addresses),
                "TRAYSTALL_CLUSTER": CLUSTER,
            },
        )
        return done.returncode, done.stdout, done.stderr

    def status(self):
        """Return the status document."""
        code, output, _ = self.cli("status", "--output", "json")
        return json.loads(output) if code == 0 else None

    def leader(self):
        """Return the index of the leading control daemon as a one-item list, or None."""
        document = self.status()
        if (
            not document
            or document["leader"] not in self.control_addresses
            or not document["lease"]
        ):
            return None
        return [self.control_addresses.index(document["leader"])]

    def ask(self, pipeline, customer, body=None, gateway=0, key="", seconds=30.0, headers=None):
        """Send one request; return (status, headers, document)."""
        sent = {"Traystall-Customer": customer, "Content-Type": "application/json"}
        if key:
            sent["Idempotency-Key"] = key
        sent |= headers or {}
        return post(
            self.gateway_addresses[gateway],
            f"/v1/pipelines/{pipeline}/requests",
            body if body is not None else {"input": "hello"},
            sent,
            seconds,
        )

    def set_mode(self, target, **mode):
        """Set the failure mode of a fake target."""
        status, _, _ = post(self.targets[target], "/test/mode", mode)
        assert status == 200

    def records(self, target):
        """Return the records of a fake target."""
        status, text = get(self.targets[target], "/test/records")
        return json.loads(text) if status == 200 else None

    def pool(self, pool):
        """Return the names of a pool's targets."""
        return [row["name"] for row in self.documents["targets"] if row["pool"] == pool]

    def runs(self, pool):
        """Return all runs that the fake targets of a pool recorded."""
        found = []
        for name in self.pool(pool):
            with contextlib.suppress(TypeError):
                found += self.records(name)["runs"]
        return found

    def write_bundle(self, number, change=None):
        """Write the bundle with a number, after `change(documents)`; return its folder."""
        documents = json.loads(json.dumps(self.documents))
        if change is not None:
            change(documents)
        folder = self.folder / f"bundle-{number}-{len(list(self.folder.glob('bundle-*')))}"
        folder.mkdir()
        documents["number"] = number
        (folder / "bundle.yaml").write_text(yaml.safe_dump(documents))
        return str(folder)

    # ---- construction ----

    def _read(self, bundle):
        documents = {}
        for file in sorted((ROOT / "bundles" / bundle).glob("*.yaml")):
            documents |= yaml.safe_load(file.read_text())
        return documents

    def _make_fakes(self):
        rows = self.documents["targets"]
        specs = []
        versions = {m["pool"]: m for m in self.documents.get("models", [])}
        for row, port in zip(rows, free_ports(len(rows)), strict=True):
            row["address"] = f"{HOST}:{port}"
            self.targets[row["name"]] = row["address"]
            seconds = self._seconds.get(row["pool"], 0.002)
            spec = FakeSpec(row["name"], row["kind"], HOST, port, row.get("slots", 4), seconds)
            spec.reports_load = row.get("reports_load", True)
            if row["kind"] == "engine":
                model = versions[row["pool"]]
                spec.models = [{"name": model["name"], "version": model["version"]}]
            specs.append(spec)
        groups: dict[str, list[FakeSpec]] = {}
        for spec, row in zip(specs, rows, strict=True):
            group = spec.name if spec.name in self._solo else row["pool"]
            groups.setdefault(group, []).append(spec)
        for group, members in groups.items():
            document = msgspec.json.encode(members).decode()
            arguments = ["tests.support.fake_targets", document]
            self.fakes[group] = Process(group, arguments, self.folder / f"{group}.log")

    def _make_controls(self):
        names = [f"control-{n + 1}" for n in range(len(self.control_addresses))]
        pairs = zip(names, self.control_addresses, strict=True)
        initial = ",".join(f"{name}={address}" for name, address in pairs)
        for number, name in enumerate(names):
            data_centre = self.places[number % len(self.places)]
            self.controls.append(
                self.make_control(
                    name,
                    data_centre,
                    self.control_addresses[number],
                    self.control_http[number],
                    initial,
                )
            )

    def make_control(self, name, data_centre, address, http_address, initial):
        """Return a control daemon that is not started yet."""
        listen = address
        if self._relay is not None:
            listen = f"{HOST}:{free_ports(1)[0]}"
            self._relay.add(name, address, listen)
        flags = {
            "cluster": CLUSTER,
            "instance": name,
            "data-centre": data_centre,
            "rpc-listen": listen,
            "rpc-advertise": address,
            "http-listen": http_address,
            "data-folder": str(self.folder / f"data-{name}"),
            "initial-members": initial,
            "initial-places": ",".join(
                f"control-{n + 1}={self.places[n % len(self.places)]}"
                for n in range(len(self.control_addresses))
            ),
            "log-level": self._log_level,
        }
        words = [f"--{flag}={value}" for flag, value in flags.items()]
        return Process(
            name,
            ["traystall.control.daemon", *words, *self._control_flags],
            self.folder / f"{name}.log",
        )

    def _make_gateways(self, per_data_centre):
        count = per_data_centre * len(self.places)
        ports = free_ports(count * 2)
        self.gateway_rpc = [f"{HOST}:{port}" for port in ports[count:]]
        for number in range(count):
            data_centre = self.places[number % len(self.places)]
            address = f"{HOST}:{ports[number]}"
            first = number % len(self.control_addresses)
            controls = self.control_addresses[first:] + self.control_addresses[:first]
            flags = {
                "cluster": CLUSTER,
                "instance": f"gateway-{number + 1}",
                "data-centre": data_centre,
                "listen": address,
                "rpc-listen": self.gateway_rpc[number],
                "control": ",".join(controls),
                "neighbours": ",".join(
                    a for a in self.gateway_rpc if a != self.gateway_rpc[number]
                ),
                "index": number // len(self.places),
                "drain-notice": "0.3",
                "log-level": self._log_level,
            }
            words = [f"--{flag}={value}" for flag, value in flags.items()]
            name = f"gateway-{number + 1}"
            program = "traystall.gateway.daemon"
            if self._variant is not None:
                program = "tests.support.variant_gateway"
            self.gateway_addresses.append(address)
            self.gateways.append(
                Process(
                    name,
                    [program, *words, *self._gateway_flags],
                    self.folder / f"{name}.log",
                    {"VARIANT": self._variant or ""},
                )
            )
