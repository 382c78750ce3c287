"""Fleet: starts the product's programs on loopback, with stand-ins around them.

Three machines run `control` and `router` with the commands of the deploy file. The
platform's list of replicas is served by this process. All else that a case needs, its
clients and its operator, are functions of this module.
"""

from __future__ import annotations

import asyncio
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
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from harness.replica import read_head

ROOT = Path(__file__).resolve().parents[2]
START_TIME = 30.0  # seconds
LIST_LAG = 0.8  # seconds; `lagMs` of the sheets
HOST = "cases.example"

# What clients and the operator sent and got, for the record: time, text.
exchanges: list[tuple[float, str]] = []


def find_free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free at an address, each with a free one behind it."""
    sockets: list[socket.socket] = []
    ports: list[int] = []
    while len(ports) < count:
        first, second = socket.socket(), socket.socket()
        sockets += [first, second]
        first.bind((host, 0))
        port = first.getsockname()[1]
        try:
            second.bind((host, port + 1))
        except (OSError, OverflowError):
            continue
        ports.append(port)
    for item in sockets:
        item.close()
    return ports


@dataclass
class Machine:
    """Machine of the platform that runs `control` and `router`."""

    name: str
    ip: str
    zone: str
    ports: dict[str, int]  # by purpose

    def address(self, purpose: str) -> str:
        """Return the IP:PORT for a purpose."""
        return f"{self.ip}:{self.ports[purpose]}"


@dataclass
class Answer:
    """What a client got; the status is 0 if the connection ended without an answer."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


@dataclass
class Fleet:
    """The product's processes, the platform's list and a record of what happens."""

    record_file: Path
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp()))
    machines: list[Machine] = field(default_factory=list)
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    entries: list[dict[str, Any]] = field(default_factory=list)
    list_address: str = ""
    started_at: float = field(default_factory=time.time)
    _versions: list[tuple[float, list[dict[str, Any]]]] = field(default_factory=list)
    _server: asyncio.Server | None = None

    def __post_init__(self) -> None:
        """Empty the record."""
        self.record_file.write_text("")

    def note(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        line = f"{time.time() - self.started_at:8.3f} {text}"
        with self.record_file.open("a") as file:
            file.write(line + "\n")
        print(line, flush=True)

    # The machines and their programs.

    async def start(self, machine_count: int = 3) -> None:
        """Start the list, the control hosts and the routers."""
        block = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}"
        host = f"{block}.100"
        (port,) = find_free_ports(host, 1)
        self.list_address = f"{host}:{port}"
        self._server = await asyncio.start_server(self._serve_list, host, port)
        purposes = ("front", "ready", "control", "peer")
        ports = find_free_ports(f"{block}.1", len(purposes))
        for number in range(1, machine_count + 1):
            machine = Machine(
                f"front-z{number}-1",
                f"{block}.{number}",
                f"z{number}",
                dict(zip(purposes, ports, strict=True)),
            )
            self.machines.append(machine)
        for machine in self.machines:
            self.start_program(machine, "control")
            self.start_program(machine, "router")

    def start_program(
        self, machine: Machine, role: str, is_first_start: bool = True
    ) -> None:
        """Start one program as the deploy file says."""
        name = f"{machine.name}/{role}"
        settings = self.folder / f"{machine.name}-{role}.toml"
        settings.write_text(self._write_settings(machine, role, is_first_start))
        log = (self.folder / f"{machine.name}-{role}.log").open("ab")
        environment = {
            key: value
            for key, value in os.environ.items()
            if key in {"PATH", "HOME", "LANG"}
        }
        environment |= {
            "GENTIANWORKS_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        self.processes[name] = subprocess.Popen(
            ["python3", "-m", "gentianworks.platform", role],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )

    def start_replica(
        self, name: str, address: str, work: float, slots: int, size: int = 800
    ) -> None:
        """Start a stand-in of a replica."""
        program = Path(__file__).with_name("replica.py")
        runs = str(self.folder / "runs")
        words = [address, name, runs, str(work), str(slots), str(size)]
        self.processes[name] = subprocess.Popen(
            [sys.executable, str(program), *words], stdin=subprocess.DEVNULL
        )

    def read_runs(self) -> list[dict[str, Any]]:
        """Return what the replicas have written about their requests."""
        file = self.folder / "runs"
        lines = file.read_text().splitlines() if file.exists() else []
        return [json.loads(line) for line in lines]

    def read_log(self, machine: Machine, role: str) -> list[dict[str, Any]]:
        """Return the log lines of a program that are JSON."""
        file = self.folder / f"{machine.name}-{role}.log"
        found = []
        for line in file.read_text(errors="replace").splitlines():
            try:
                found.append(json.loads(line))
            except ValueError:
                continue
        return found

    def note_exits(self) -> None:
        """Record which programs have ended by themselves, and why."""
        for machine in self.machines:
            for role in ("router", "control"):
                for line in self.read_log(machine, role):
                    if line.get("event") == "GW1006":
                        error = str(line.get("traceback", "")).split("\n")[-1]
                        self.note(f"{machine.name}/{role}: {line['text']} {error}")
                process = self.processes[f"{machine.name}/{role}"]
                if process.poll() is not None:
                    self.note(f"{machine.name}/{role} ended: {process.poll()}")

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes[name].send_signal(number)

    async def stop(self) -> None:
        """End all processes that this fleet started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if self._server is not None:
            self._server.close()
        self._record_details()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _record_details(self) -> None:
        """Write to the record what was sent, answered and run, in order of time."""
        runs = [
            (x["at"], f"{x['replica']} {x['event']} {x['request']} for {x['tenant']}")
            for x in self.read_runs()
        ]
        with self.record_file.open("a") as file:
            for at, text in sorted([*exchanges, *runs]):
                file.write(f"{at - self.started_at:8.3f}   {text}\n")

    def _write_settings(self, machine: Machine, role: str, first: bool) -> str:
        data = self.folder / f"{machine.name}-{role}-data"
        data.mkdir(exist_ok=True)
        seeds = ", ".join(f'"{item.address("control")}"' for item in self.machines[:3])
        peer = machine.ports["peer"]
        serves = "control" if role == "control" else "front"
        listen = (
            f'control = "{machine.address("control")}"'
            if role == "control"
            else f'front = "{machine.address("front")}"\n'
            f'ready = "{machine.address("ready")}"'
        )
        zones = "\n".join(f'{item.zone} = "r"' for item in self.machines)
        return f"""node = "{machine.name}"
role = "{role}"
machineClass = "front"
serves = ["{serves}"]
ip = "{machine.ip}"
zone = "{machine.zone}"
region = "r"
internalPorts = [{peer}, {peer + 15}]
seeds = [{seeds}]
bootstrap = {str(first).lower()}
faultCounted = true
dataDir = "{data}"
discovery = "cloud"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover",
  "engine","stream","tenants"]
configMode = "highest"
[zones]
{zones}
[listen]
{listen}
[limits]
cpuShare = 0.968
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 3000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
failClosed = false
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 64
recoverS = 12
passMs = 120
againS = 10
capX = 2
[cloud]
address = "{self.list_address}"
ratePerS = 47.0
duties = []
lagMs = 800
"""

    # The platform's list.

    def set_list(self, entries: list[dict[str, Any]]) -> None:
        """Replace the platform's list, which shows it after its lag."""
        self._versions.append((time.time() + LIST_LAG, entries))

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while await read_head(reader) is not None:
                now = time.time()
                shown = [entries for at, entries in self._versions if at <= now]
                entries = shown[-1] if shown else []
                body = json.dumps({"instances": entries, "next": None}).encode()
                head = (
                    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(body)}\r\n\r\n"
                )
                writer.write(head.encode() + body)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    # The operator.

    async def put_configuration(self, document: dict[str, Any]) -> Answer:
        """Send a configuration to one node after the other until it is acknowledged."""
        body = json.dumps(document).encode()
        end = time.time() + START_TIME
        answer = Answer()
        while time.time() < end:
            for machine in self.machines:
                answer = await send_once(
                    machine.address("control"),
                    "PUT /config",
                    {"content-type": "application/json"},
                    body,
                    timeout=2.0,
                )
                if answer.status in {200, 400, 409, 412, 413, 422}:
                    return answer
            await asyncio.sleep(0.2)
        return answer

    async def wait_until_ready(self) -> bool:
        """Wait until each router answers the readiness check with 200."""
        end = time.time() + START_TIME
        while time.time() < end:
            answers = [
                await send_once(item.address("ready"), "GET /ready", {}, timeout=1.0)
                for item in self.machines
            ]
            if all(item.status == 200 for item in answers):
                return True
            await asyncio.sleep(0.2)
        return False


def describe_replica(
    name: str, service: str, address: str, slots: int, zone: str = "z1"
) -> dict[str, Any]:
    """Return an entry of the platform's list."""
    return {
        "id": name,
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": "ready",
        "coldRemainingMs": 0,
    }


def describe_route(name: str, service: str, kind: str, timeout_ms: int) -> dict:
    """Return a route of a configuration; its prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 2,
        "allowAnonymous": False,
        "sticky": False,
        "resumeStreams": False,
    }


def describe_configuration(
    version: int, routes: list[dict], services: list[str], key: str
) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": item,
                "healthPath": "/healthz",
                "maxConnections": 650,
                "protocol": "h1",
                "tls": False,
            }
            for item in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant1", "apiKeys": [key], "priority": 1}],
    }


@dataclass
class Client:
    """Client on one kept connection."""

    address: str
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def send(
        self, line: str, headers: dict[str, str], body: bytes, timeout: float
    ) -> Answer:
        """Send a request and return the answer; connect first if necessary."""
        what = f"{line} {headers.get('request-id', '')}".strip()
        exchanges.append((time.time(), f"{self.address} sent {what}"))
        try:
            async with asyncio.timeout(timeout):
                answer = await self._exchange(line, headers, body)
        except TimeoutError:
            self.close()
            answer = Answer(error="no answer in time")
        except (OSError, EOFError, ValueError) as error:
            self.close()
            answer = Answer(error=f"closed ({type(error).__name__})")
        got = f"{answer.status or ''} {answer.error}".strip()
        exchanges.append((time.time(), f"{self.address} answered {what}: {got}"))
        return answer

    async def _exchange(
        self, line: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        if self.reader is None or self.writer is None:
            host, _, port = self.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        method, path = line.split(" ")
        sent = {"host": HOST, "content-length": str(len(body)), **headers}
        head = "".join(f"{name}: {value}\r\n" for name, value in sent.items())
        self.writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
        received = await read_head(self.reader)
        if received is None:
            raise EOFError
        first, got = received
        if "content-length" in got:
            content = await self.reader.readexactly(int(got["content-length"]))
        else:
            content = await read_chunks(self.reader)
        if got.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(first.split(" ")[1]), got, content)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a body that is sent in chunks."""
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


async def send_once(
    address: str,
    line: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout: float = 5.0,
) -> Answer:
    """Send one request on a connection of its own."""
    client = Client(address)
    answer = await client.send(line, headers, body, timeout)
    client.close()
    return answer


def run_case(case: Callable[[Fleet, bool], Any], folder: Path) -> None:
    """Run a case and exit with its result.

    The case returns True if the rule held, False if it was broken and None if the case
    couldn't run. Its second argument tells whether there is a disruption.
    """

    async def run() -> int:
        fleet = Fleet(folder / "record.txt")
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(115):
                held = await case(fleet, os.environ.get("TROUBLE", "1") != "0")
        except TimeoutError:
            fleet.note("the case took too long")
            held = None
        except asyncio.CancelledError:
            fleet.note("the case was stopped by a signal")
            held = None
        except Exception as error:
            fleet.note(f"the case failed: {error!r}")
            held = None
        finally:
            await fleet.stop()
        result = {True: "held", False: "BROKEN"}.get(held, "could not run")
        fleet.note(f"result: {result}")
        return {True: 0, False: 1}.get(held, 2)

    raise SystemExit(asyncio.run(run()))
