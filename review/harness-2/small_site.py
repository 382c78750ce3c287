"""Site: the programs of the deploy file on loopback, with stand-ins around them.

Each machine has a loopback address of its own and runs one control host and one router
as separate processes, started with the commands of `deploy/system.toml`. The list of
replicas, the replicas and the clients are stand-ins in the process of the script.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "clients.example"
KEY = "key0of0a0tenant00000"
TENANT = "tenant1"
START_TIMEOUT = 30.0  # seconds
CONTRACTS = "base drain config cost retry recover engine stream tenants"


class Profile:
    """Settings of a deployment that its site file names."""

    def __init__(
        self, memory_mb: int, contracts: str, bounds: dict[str, float]
    ) -> None:
        self.memory_mb = memory_mb
        self.contracts = contracts.split()
        self.bounds = bounds


COFRESTR_SIOE = Profile(
    300,
    CONTRACTS,
    {
        "stableWindowMs": 3000,
        "configMs": 2000,
        "drainMs": 3000,
        "graceS": 8,
        "reuseAfterS": 2,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetSlack": 62,
        "recoverS": 12,
    },
)
HHK_TM_GROWN = Profile(
    200,
    f"{CONTRACTS} health pool places pressure",
    {
        "stableWindowMs": 4000,
        "configMs": 2500,
        "drainMs": 4000,
        "graceS": 8,
        "reuseAfterS": 2,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetSlack": 96,
        "coldOverage": 1.5,
        "coldSlack": 5,
        "evacMs": 5000,
        "recoverS": 15,
    },
)

Reply = Callable[
    ["Request", asyncio.StreamReader, asyncio.StreamWriter], Awaitable[Any]
]


class Record:
    """Lines of what was sent, answered and run, written to record.txt."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        age = time.monotonic() - self._began_at
        self._file.write(f"{age:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Request:
    """Request as a stand-in received it."""

    def __init__(self, line: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.line = line
        self.headers = headers
        self.body = body

    def get(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return next((value for key, value in self.headers if key == name), "")


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, list[tuple[str, str]]]:
    """Return the first line and the headers of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text[:-4].split("\r\n")
    headers = []
    for line in lines:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: list[tuple[str, str]]
) -> bytes:
    """Return the body that follows a head."""
    values = dict(headers)
    if "chunked" in values.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(values.get("content-length", "0")))


class Replica:
    """Stand-in of a replica, which answers each request with what `reply` writes."""

    def __init__(self, name: str, service: str, zone: str, record: Record) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.record = record
        self.ip, self.port = "", 0
        self.state = "ready"
        self.slots = 64
        self.requests: list[Request] = []
        self.runs: list[str] = []  # request ids
        self.reply: Reply = self.answer
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        self.ip, self.port = self._server.sockets[0].getsockname()[:2]

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    @property
    def entry(self) -> dict[str, Any]:
        """The replica's entry in the list."""
        return {
            "id": self.name,
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                request = Request(line, headers, body)
                self.requests.append(request)
                expected = request.get("expect-instance")
                if expected and expected != self.name:
                    self.write_answer(request, writer, 421, b"", False)
                    continue
                await self.reply(request, reader, writer)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def run(self, request: Request) -> None:
        """Record that a request runs here."""
        self.runs.append(request.get("request-id"))
        self.record.write(f"{self.name} runs {request.get('request-id')}")

    async def answer(
        self,
        request: Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run a request and answer it."""
        self.run(request)
        self.write_answer(request, writer, 200, f"ran at {self.name}".encode())

    def write_answer(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        has_run: bool = True,
        extra: str = "",
    ) -> None:
        """Write a complete response with the headers of a replica."""
        mark = f"response-signature: {self.name}.{len(body)}\r\n"
        writer.write(
            (
                f"HTTP/1.1 {status} X\r\nrequest-id: {request.get('request-id')}\r\n"
                f"{mark if has_run else 'not-executed: 1' + chr(13) + chr(10)}"
                f"instance-load: 0,0,{self.slots}\r\n{extra}"
                f"content-length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )


class Machine:
    """Machine with a control host and a router."""

    def __init__(self, site: Site, number: int) -> None:
        self.site, self.number = site, number
        self.ip = f"{site.prefix}.{number}"
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    def write_settings(self, role: str, is_first: bool) -> Path:
        """Write the settings file of a role and return its path."""
        site = self.site
        data = site.folder / f"data-{self.number}-{role}"
        data.mkdir(exist_ok=True)
        names = ("control",) if role == "control" else ("front", "ready")
        seeds = [
            f"{site.prefix}.{x}:{site.ports['control']}" for x in site.seed_numbers
        ]
        lines = [
            f'node = "front-z{self.number}-1"',
            f'role = "{role}"',
            'machineClass = "front"',
            f"serves = {json.dumps(list(names[:1]))}",
            f'ip = "{self.ip}"',
            f'zone = "z{self.number}"',
            'region = "r"',
            f"internalPorts = [{site.ports['peer']}, {site.ports['peer'] + 15}]",
            f"seeds = {json.dumps(seeds)}",
            f"bootstrap = {json.dumps(is_first)}",
            "faultCounted = true",
            f'dataDir = "{data}"',
            'discovery = "cloud"',
            'entry = "vip"',
            f"contracts = {json.dumps(site.profile.contracts)}",
            'configMode = "highest"',
            "[zones]",
            *(f'z{x} = "r"' for x in range(1, site.count + 1)),
            "[listen]",
            *(f'{x} = "{self.ip}:{site.ports[x]}"' for x in names),
            "[limits]",
            f"memoryMb = {site.profile.memory_mb}",
            "maxFds = 4100",
            "diskMb = 64",
            "[tolerate]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {value}" for name, value in site.profile.bounds.items()),
            "[cloud]",
            f'address = "{site.list_address}"',
            "ratePerS = 47.0",
            "duties = []",
            "lagMs = 800",
        ]
        path = site.folder / f"settings-{self.number}-{role}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path

    async def start(self, role: str, is_first: bool = False) -> None:
        """Start a role with the command of the deploy file."""
        settings = self.write_settings(role, is_first)
        with (self.site.folder / f"log-{self.number}-{role}.txt").open("ab") as log:
            self.processes[role] = await asyncio.create_subprocess_exec(
                *self.site.commands[role],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "GENTIANWORKS_BOOT": str(settings),
                },
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.site.record.write(f"machine {self.number}: {role} started")

    def signal(self, role: str, number: signal.Signals) -> None:
        """Send a signal to a process that this script has started."""
        self.site.record.write(f"machine {self.number}: {number.name} to {role}")
        self.processes[role].send_signal(number)

    def has_ended(self, role: str) -> bool:
        """Return whether a process has ended."""
        return self.processes[role].returncode is not None

    def read_log(self, role: str) -> str:
        """Return what a role has logged."""
        return (self.site.folder / f"log-{self.number}-{role}.txt").read_text()


class Site:
    """Machines of a small deployment, the list of replicas and the operator."""

    def __init__(
        self, count: int, record: Record, profile: Profile = COFRESTR_SIOE
    ) -> None:
        self.count, self.record, self.profile = count, record, profile
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.seed_numbers = list(range(1, min(3, count) + 1))
        self.prefix = f"127.{random.randint(30, 250)}.{random.randint(1, 250)}"
        self.ports = _find_ports(f"{self.prefix}.1")
        self.replicas: list[Replica] = []
        self.machines = [Machine(self, x) for x in range(1, count + 1)]
        self.list_address = ""
        self._list: asyncio.Server | None = None
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {x: y["run"].split() for x, y in deploy["roles"].items()}

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start everything and wait until each router is ready."""
        await self.launch()
        await self.put(configuration)
        for machine in self.machines:
            await self.wait_ready(machine)

    async def launch(self) -> None:
        """Start the list of replicas and all processes, without a configuration."""
        self._list = await asyncio.start_server(
            self._serve_list, f"{self.prefix}.200", 0
        )
        ip, port = self._list.sockets[0].getsockname()[:2]
        self.list_address = f"{ip}:{port}"
        for machine in self.machines:
            for role in ("control", "router"):
                await machine.start(role, is_first=True)

    async def add_replica(
        self, name: str, service: str, zone: str = "z1", port: int = 0
    ) -> Replica:
        """Start a replica and list it."""
        replica = Replica(name, service, zone, self.record)
        await replica.start(f"{self.prefix}.{100 + len(self.replicas)}", port)
        self.replicas.append(replica)
        return replica

    async def wait_ready(
        self, machine: Machine, timeout: float = START_TIMEOUT
    ) -> None:
        """Wait until a router answers its readiness check with 200."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            status, _, _ = await self.call(machine.ip, "ready", "GET", "/ready")
            if status == 200:
                self.record.write(f"machine {machine.number}: ready")
                return
            await asyncio.sleep(0.1)
        raise TimeoutError(f"machine {machine.number} is not ready")

    async def put(self, configuration: dict[str, Any], number: int = 0) -> int:
        """Send a configuration until a control host acknowledges it."""
        body = json.dumps(configuration).encode()
        end = time.monotonic() + START_TIMEOUT
        while time.monotonic() < end:
            for machine in self.machines:
                if number and machine.number != number:
                    continue
                status, _, _ = await self.call(
                    machine.ip, "control", "PUT", "/config", body=body
                )
                version = configuration["version"]
                self.record.write(
                    f"operator: version {version} to machine {machine.number}: {status}"
                )
                if status == 200 or 400 <= status < 500:
                    return status
            await asyncio.sleep(0.2)
        raise TimeoutError("no control host has acknowledged the configuration")

    async def call(
        self,
        ip: str,
        port: str,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...] = (),
        body: bytes = b"",
        timeout: float = 5.0,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send one request on a new connection; the status is 0 if none came."""
        lines = [f"{method} {path} HTTP/1.1", f"host: {HOST}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method in {"PUT", "POST"}:
            lines.append(f"content-length: {len(body)}")
        request = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
        try:
            async with asyncio.timeout(timeout):
                return await send_raw(ip, self.ports[port], request)
        except (OSError, EOFError, TimeoutError):
            return 0, {}, b""

    async def send(
        self,
        machine: Machine,
        request_id: str,
        path: str,
        method: str = "POST",
        body: bytes = b"form",
        headers: tuple[tuple[str, str], ...] = (),
        deadline_ms: int = 1500,
        key: str = KEY,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a client's request to a router."""
        sent = (
            ("request-id", request_id),
            ("request-deadline", str(deadline_ms)),
            ("authorization", f"Bearer {key}"),
            *headers,
        )
        self.record.write(f"client sends {request_id} to machine {machine.number}")
        answer = await self.call(
            machine.ip, "front", method, path, sent, body, deadline_ms / 1000 + 1
        )
        self.record.write(
            f"client gets {answer[0]} for {request_id}: {answer[2][:60]!r}"
        )
        return answer

    async def stop(self) -> None:
        """End all processes that were started and remove the folder."""
        for machine in self.machines:
            for process in machine.processes.values():
                if process.returncode is None:
                    process.kill()
                await process.wait()
        for replica in self.replicas:
            await replica.stop()
        if self._list is not None:
            self._list.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    async def _serve_list(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await read_head(reader)
                entries = [item.entry for item in self.replicas if item.state]
                body = json.dumps({"instances": entries, "next": None}).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n" % len(body) + body
                )
                await writer.drain()
        except (OSError, EOFError):
            writer.close()


async def send_raw(
    ip: str, port: int, request: bytes
) -> tuple[int, dict[str, str], bytes]:
    """Send bytes on a new connection and return the response."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request)
        first, headers = await read_head(reader)
        values = dict(headers)
        if "content-length" in values or "transfer-encoding" in values:
            body = await read_body(reader, headers)
        else:
            body = b""
        return int(first.split(" ")[1]), values, body
    finally:
        writer.close()


def build_configuration(
    version: int, routes: list[dict[str, Any]], services: list[str]
) -> dict[str, Any]:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConnections": 130,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def build_route(name: str, service: str, **values: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": "unsafe",
        "timeoutMs": 1500,
        "targetLatencyMs": 400,
        "priority": 0,
        "service": service,
        "maxAttempts": 1,
        "allowAnonymous": False,
        "sticky": False,
        "resumeStreams": False,
        **values,
    }


def _find_ports(ip: str) -> dict[str, int]:
    """Return ports that are free now at an address."""
    ports: dict[str, int] = {}
    for name in ("front", "ready", "control", "peer"):
        with socket.socket() as listener:
            listener.bind((ip, 0))
            ports[name] = listener.getsockname()[1]
    while ports["peer"] + 15 > 65535:
        with socket.socket() as listener:
            listener.bind((ip, 0))
            ports["peer"] = listener.getsockname()[1]
    return ports


def main(folder: str, play: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Run a case and exit with 1 if a rule was broken, 0 if it held, 2 on failure."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {has_trouble}")
    try:
        is_broken = asyncio.run(play(record, has_trouble))
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    record.write("the rule was broken" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
