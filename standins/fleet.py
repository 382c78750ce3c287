"""Fleet: starts and stops a small fleet of real processes on loopback."""

from __future__ import annotations

import json
import os
import secrets
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from types import TracebackType

import httpcore
from attrs import asdict, define, field, frozen

from gentianworks.tokens import create_token, digest_token
from standins.engine import CRASH_EXIT_CODE, EngineSettings
from standins.members import Member
from standins.ports import find_free_port

START_TIMEOUT = 30.0  # seconds
POLL_INTERVAL = 0.02  # seconds
EXPECTED_EXIT_CODES = frozenset({0, -signal.SIGTERM, -signal.SIGKILL, CRASH_EXIT_CODE})

RANKS = """
[rank submissions]
priority = 0
guaranteed_share = 0.3
queue_timeout = 10
worth = 100
[rank drafts]
priority = 1
guaranteed_share = 0.2
queue_timeout = 10
worth = 10
[rank questions]
priority = 2
guaranteed_share = 0.1
queue_timeout = 10
worth = 1
"""


def wait_for_status(address: str, path: str, status: int = 200) -> None:
    """Wait until an address answers a path with a status.

    Raises TimeoutError after START_TIMEOUT.
    """
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        try:
            if httpcore.request("GET", f"http://{address}{path}").status == status:
                return
        except (httpcore.NetworkError, httpcore.ProtocolError):
            pass
        time.sleep(POLL_INTERVAL)
    raise TimeoutError(
        f"{address}{path} did not answer with status {status} in time; see its log."
    )


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition is true.

    Raises TimeoutError after START_TIMEOUT.
    """
    deadline = time.monotonic() + START_TIMEOUT
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError("The condition was not met in time; see the logs.")
        time.sleep(POLL_INTERVAL)


@frozen
class EndpointPlan:
    """Endpoint of a fleet with its engine and agent.

    `agent_settings` are INI lines for the `[agent]` section of the agent's settings.
    """

    name: str
    service: str
    availability_zone: str
    capacity: int = 8
    engine: EngineSettings = field(factory=EngineSettings)
    agent_settings: str = ""


@frozen
class FleetPlan:
    """Processes and declarations of a fleet."""

    controls: int = 1
    routers: int = 1
    endpoints: tuple[EndpointPlan, ...] = ()
    workspaces: tuple[str, ...] = ("parish",)
    ranks: str = RANKS
    extra_declarations: str = ""
    zones: tuple[str, ...] = ("a", "b", "c")


def plan_endpoints(
    service: str, count: int, engine: EngineSettings | None = None, capacity: int = 8
) -> tuple[EndpointPlan, ...]:
    """Return `count` endpoints of a service, spread over three availability zones."""
    return tuple(
        EndpointPlan(
            name=f"{service}-{number}",
            service=service,
            availability_zone="abc"[number % 3],
            capacity=capacity,
            engine=engine or EngineSettings(slots=capacity),
        )
        for number in range(1, count + 1)
    )


@define
class Fleet:
    """Processes of a fleet, with their settings, data and logs in one folder.

    Each fleet has its own key and token, so that a fleet that reaches a port of
    another fleet is refused.
    """

    folder: Path
    token: str = field(factory=create_token)
    members: dict[str, Member] = field(factory=dict)
    controls: list[Member] = field(factory=list)
    routers: list[Member] = field(factory=list)
    agents: dict[str, Member] = field(factory=dict)
    engines: dict[str, Member] = field(factory=dict)
    unexpected_exits: list[str] = field(factory=list)
    recorded_exits: set[str] = field(factory=set)

    def __enter__(self) -> Fleet:
        """Create the folder, the key shared by the processes and the operator token."""
        self.folder.mkdir(parents=True, exist_ok=True)
        key = self.folder / "key"
        key.write_text(secrets.token_hex())
        key.chmod(0o600)
        token = self.folder / "token"
        token.write_text(self.token)
        token.chmod(0o600)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Kill every process that is still running."""
        for member in self.members.values():
            member.process.kill()
        for member in self.members.values():
            member.process.wait()

    def build(self, plan: FleetPlan) -> None:
        """Start a plan, apply its declarations and wait until the routers are ready."""
        self.start(plan)
        self.apply(self.write_declarations(plan))
        for router in self.routers:
            wait_for_status(router.http_address, "/readyz")

    def start(self, plan: FleetPlan) -> None:
        """Start every process of a plan without applying its declarations."""
        self.start_controls(plan.controls)
        for endpoint in plan.endpoints:
            self.start_endpoint(endpoint)
        for number in range(1, plan.routers + 1):
            zone = plan.zones[number % len(plan.zones)]
            self.routers.append(self.start_role("router", f"router-{number}", zone))
        for control in self.controls:
            wait_for_status(control.http_address, "/livez")

    def start_controls(self, count: int) -> None:
        """Start the control hosts, each with its own data folder."""
        addresses = [f"tcp://127.0.0.1:{find_free_port()}" for _ in range(count)]
        for number, address in enumerate(addresses, start=1):
            member = self.start_role(
                "control",
                f"control-{number}",
                "abc"[number % 3],
                peer_address=address,
                control=" ".join(addresses),
            )
            self.controls.append(member)

    def start_endpoint(self, plan: EndpointPlan, host: str = "") -> None:
        """Start the engine and the agent of an endpoint, on a named host."""
        host = host or plan.name
        engine = self.start_engine(f"engine-{host}", plan.engine)
        self.engines[plan.name] = engine
        extra = (
            f"[agent]\nendpoint = {plan.name}\nengine_address = {engine.http_address}\n"
            f"{plan.agent_settings}"
        )
        self.agents[plan.name] = self.start_role(
            "agent", f"agent-{host}", plan.availability_zone, extra=extra
        )

    def start_engine(self, name: str, settings: EngineSettings | None = None) -> Member:
        """Start a stand-in engine."""
        address = f"127.0.0.1:{find_free_port()}"
        document = json.dumps(asdict(settings or EngineSettings()))
        arguments = ["-m", "standins.engine", address, "--settings", document]
        return self._start_member(name, arguments, address, "")

    def start_proxy(self, name: str, target: str) -> Member:
        """Start a proxy in front of an address, IP:PORT or tcp://IP:PORT."""
        scheme, _, address = target.rpartition("//")
        listen = f"127.0.0.1:{find_free_port()}"
        control = f"127.0.0.1:{find_free_port()}"
        arguments = ["-m", "standins.proxy", listen, address, control]
        member = self._start_member(name, arguments, listen, f"{scheme}//{listen}")
        member.fault_address = control
        wait_for_status(control, "/")
        return member

    def start_platform(self, lag: float = 2.0) -> Member:
        """Start the stand-in for the platform's host list; `lag` is in seconds."""
        address = f"127.0.0.1:{find_free_port()}"
        arguments = ["-m", "standins.platform", address, "--lag", str(lag)]
        return self._start_member("platform", arguments, address, "")

    def start_role(
        self,
        role: str,
        name: str,
        zone: str,
        control: str = "",
        extra: str = "",
        peer_address: str = "",
        listen_address: str = "",
    ) -> Member:
        """Start a gentianworks process in a role, with its own settings folder."""
        http_address = f"127.0.0.1:{find_free_port()}"
        peer_address = peer_address or f"tcp://127.0.0.1:{find_free_port()}"
        controls = control or " ".join(item.peer_address for item in self.controls)
        folder = self.folder / name
        folder.mkdir()
        if role == "control":
            digest = digest_token(self.token)
            (folder / "operators.ini").write_text(
                f"[operator olwen]\ndigest = {digest}\n"
            )
        (folder / "settings.ini").write_text(
            f"[node]\nname = {name}\nregion = eu-west\navailability_zone = {zone}\n"
            f"http_address = {http_address}\npeer_address = {peer_address}\n"
            f"key_file = {self.folder / 'key'}\ndata_folder = {folder / 'data'}\n"
            f"peer_listen_address = {listen_address}\n"
            f"[control]\npeer_addresses = {controls}\n{extra}"
        )
        arguments = ["-m", "gentianworks", role, "--settings", str(folder)]
        return self._start_member(name, arguments, http_address, peer_address)

    def list_exited(self) -> list[Member]:
        """Return the members whose processes have exited."""
        return [
            member
            for member in self.members.values()
            if member.process.poll() is not None
        ]

    def take_unexpected_exits(self) -> list[str]:
        """Return the unexpected exits of processes since the last call."""
        self._record_unexpected_exits()
        exits, self.unexpected_exits = self.unexpected_exits, []
        return exits

    def _record_unexpected_exits(self) -> None:
        for member in self.list_exited():
            code = member.process.returncode
            exit_text = f"{member.name} {member.process.pid} exited with {code}"
            if code not in EXPECTED_EXIT_CODES and exit_text not in self.recorded_exits:
                self.recorded_exits.add(exit_text)
                self.unexpected_exits.append(exit_text)

    def read_logs(self, lines: int) -> dict[str, str]:
        """Return the last lines of each member's log and the state of its process."""
        tails = {}
        for member in self.members.values():
            code = member.process.poll()
            log = (self.folder / f"{member.name}.log").read_text(errors="replace")
            state = "running" if code is None else f"exited with {code}"
            tail = log.splitlines()[-lines:]
            tails[member.name] = "\n".join([f"pid {member.process.pid} {state}", *tail])
        return tails

    def restart(self, name: str) -> Member:
        """Restart a member that has exited, with the same settings."""
        self._record_unexpected_exits()
        member = self.members[name]
        member.process = self._spawn(name, member.arguments)
        return member

    def write_declarations(self, plan: FleetPlan) -> Path:
        """Write the declarations of a plan and return their folder."""
        folder = self.folder / "declarations"
        folder.mkdir(exist_ok=True)
        (folder / "10-ranks.ini").write_text(plan.ranks)
        names = "".join(f"[workspace {name}]\n" for name in plan.workspaces)
        (folder / "20-workspaces.ini").write_text(names)
        (folder / "30-services.ini").write_text(self._format_services(plan))
        (folder / "40-endpoints.ini").write_text(self._format_endpoints(plan))
        (folder / "50-more.ini").write_text(plan.extra_declarations)
        return folder

    def _format_services(self, plan: FleetPlan) -> str:
        services = sorted({item.service for item in plan.endpoints})
        kinds = {name: "model" if "chat" in name else "plain" for name in services}
        return "".join(f"[service {name}]\nkind = {kinds[name]}\n" for name in services)

    def _format_endpoints(self, plan: FleetPlan) -> str:
        return "".join(
            f"[endpoint {item.name}]\nservice = {item.service}\n"
            f"availability_zone = {item.availability_zone}\n"
            f"capacity = {item.capacity}\n"
            f"http_address = {self.agents[item.name].http_address}\n"
            f"peer_address = {self.agents[item.name].peer_address}\n"
            for item in plan.endpoints
        )

    def apply(self, folder: Path) -> str:
        """Apply a folder of declarations and return the output of the command."""
        address = self.controls[0].http_address
        return self.run_command("apply", str(folder), "--control", address)

    def run_command(self, *arguments: str) -> str:
        """Run a command as the operator and return its output.

        Raises RuntimeError if the command fails.
        """
        completed = self.try_command(*arguments)
        if completed.returncode:
            raise RuntimeError(
                f"{arguments[0]} exited with {completed.returncode}: "
                f"{completed.stderr.decode()}"
            )
        return completed.stdout.decode()

    def try_command(self, *arguments: str) -> subprocess.CompletedProcess[bytes]:
        """Run a command as the operator and return its exit code and output."""
        return subprocess.run(
            [sys.executable, "-m", "gentianworks", *arguments],
            capture_output=True,
            stdin=subprocess.DEVNULL,
            env={**os.environ, "GENTIANWORKS_TOKEN_FILE": str(self.folder / "token")},
        )

    def _start_member(
        self, name: str, arguments: list[str], http_address: str, peer_address: str
    ) -> Member:
        process = self._spawn(name, arguments)
        member = Member(name, http_address, peer_address, process, arguments)
        member.token = self.token
        self.members[name] = member
        return member

    def _spawn(self, name: str, arguments: list[str]) -> subprocess.Popen[bytes]:
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, *arguments], stdout=log, stderr=log
            )
