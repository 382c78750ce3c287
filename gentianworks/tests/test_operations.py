"""Tests that run the commands and tasks of the operators' page as written."""

from __future__ import annotations

import json
import os
import re
import shlex
import subprocess
import sys
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import pytest
from attrs import define, evolve

from gentianworks.tests.traffic import (
    ENGINE,
    ENGINE_SLOTS,
    send_chats,
    send_chats_during,
)
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_for_status, wait_until
from standins.members import Member

ROOT = Path(__file__).parents[2]
PAGE = ROOT / "docs" / "OPERATIONS.md"
SHELL_BLOCK = re.compile(r"```sh\n(.*?)```", re.DOTALL)
DIFFERENCES = 1  # exit code
OPERATOR_FOLDER = "operator"
CHATS = plan_endpoints("chat", 3, ENGINE, ENGINE_SLOTS)
PLAN = FleetPlan(
    controls=3,
    routers=2,
    endpoints=(*CHATS, *plan_endpoints("drafting", 1)),
    workspaces=("parish", "northside"),
    extra_declarations="[service drafting]\nkind = model\n",
)


def list_commands() -> list[str]:
    """Return the shell commands of the page, in its order."""
    blocks = SHELL_BLOCK.findall(PAGE.read_text())
    lines = [line.strip() for block in blocks for line in block.splitlines()]
    return [line for line in lines if line]


@define
class Shell:
    """Shell in an operator's folder, with the environment variables of the page."""

    fleet: Fleet

    def run(self, line: str) -> subprocess.CompletedProcess[str]:
        """Run one line in bash and return its outcome."""
        program = f"{shlex.quote(sys.executable)} -m gentianworks"
        return subprocess.run(
            ["bash", "-c", f'gentianworks() {{ {program} "$@"; }}\n{line}'],
            cwd=self.fleet.folder / OPERATOR_FOLDER,
            capture_output=True,
            text=True,
            stdin=subprocess.DEVNULL,
            env=self._build_environment(),
        )

    def _build_environment(self) -> dict[str, str]:
        controls = " ".join(item.http_address for item in self.fleet.controls)
        return {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "GENTIANWORKS_CONTROL": controls,
            "GENTIANWORKS_TOKEN_FILE": str(self.fleet.folder / "token"),
        }


@pytest.fixture
def new_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("new")) as fleet:
        fleet.start(PLAN)
        folder = fleet.folder / OPERATOR_FOLDER
        folder.mkdir()
        (folder / "declarations").symlink_to(fleet.write_declarations(PLAN))
        (folder / "examples").symlink_to(ROOT / "examples")
        yield fleet


@pytest.fixture(scope="class")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("serving")) as fleet:
        fleet.build(PLAN)
        yield fleet


class TestPage:
    def test_commands_run_as_written(self, new_fleet: Fleet) -> None:
        shell = Shell(new_fleet)
        for line in list_commands():
            done = shell.run(line)
            allowed = {0, DIFFERENCES} if " diff " in line else {0}
            assert done.returncode in allowed, (line, done.stdout, done.stderr)
        for router in new_fleet.routers:
            wait_for_status(router.http_address, "/readyz")


def read_status(fleet: Fleet) -> dict[str, Any]:
    """Return the output of `status`."""
    controls = [
        item for member in fleet.controls for item in build_control_option(member)
    ]
    status: dict[str, Any] = json.loads(
        fleet.run_command("status", *controls, "--json")
    )
    return status


def read_revision(fleet: Fleet) -> int:
    """Return the accepted revision."""
    revision: int = read_status(fleet)["revision"]
    return revision


def build_control_option(member: Member) -> tuple[str, str]:
    """Return the option that names a control host."""
    return "--control", member.http_address


def is_live(fleet: Fleet, name: str, revision: int) -> bool:
    """Return whether a node is live, staying and at a revision or a later one."""
    nodes = read_status(fleet)["nodes"]
    node = next(node for node in nodes if node["name"] == name)
    is_serving = node["is_live"] and not node["is_leaving"]
    return is_serving and node["revision"] >= revision


def answers_status(fleet: Fleet, member: Member) -> bool:
    """Return whether a control host answers `status` itself."""
    return fleet.try_command("status", *build_control_option(member)).returncode == 0


def is_complete_group(fleet: Fleet) -> bool:
    """Return whether every control host has a vote and one of them leads."""
    status = read_status(fleet)
    voters = [item for item in status["controls"] if not item["is_learner"]]
    has_leader = any(item["is_leader"] for item in voters)
    return status["is_confirmed"] and has_leader and len(voters) == len(fleet.controls)


def sort_leader_last(fleet: Fleet) -> list[Member]:
    """Return the control hosts, the leader last."""
    controls = read_status(fleet)["controls"]
    leading = {item["peer_address"] for item in controls if item["is_leader"]}
    return sorted(fleet.controls, key=lambda item: item.peer_address in leading)


def assert_serves_during(fleet: Fleet, run: Callable[[], None]) -> None:
    """Run a task during traffic and check that every answer is complete."""
    task = partial(anyio.to_thread.run_sync, run)
    answers = anyio.run(send_chats_during, fleet, task)
    assert answers
    assert [answer for answer in answers if not answer.is_complete] == []


class TestTasks:
    def test_an_upgrade_interrupts_no_request(self, fleet: Fleet) -> None:
        revision = read_revision(fleet)

        def upgrade() -> None:
            for member in (*fleet.agents.values(), *fleet.routers):
                assert member.stop() == 0
                fleet.restart(member.name)
                wait_until(partial(is_live, fleet, member.name, revision))
            for member in fleet.routers:
                wait_for_status(member.http_address, "/readyz")
            for member in sort_leader_last(fleet):
                assert member.stop() == 0
                fleet.restart(member.name)
                wait_until(partial(answers_status, fleet, member))
                wait_until(partial(is_complete_group, fleet))

        assert_serves_during(fleet, upgrade)

    def test_an_endpoint_moves_to_another_host(self, fleet: Fleet) -> None:
        new = evolve(CHATS[0], name="chat-4")
        both = evolve(PLAN, endpoints=(*PLAN.endpoints, new))
        rest = evolve(PLAN, endpoints=(*PLAN.endpoints[1:], new))

        def replace() -> None:
            fleet.start_endpoint(new)
            fleet.apply(fleet.write_declarations(both))
            wait_until(partial(is_live, fleet, "agent-chat-4", read_revision(fleet)))
            assert fleet.agents["chat-1"].stop() == 0
            fleet.apply(fleet.write_declarations(rest))

        assert_serves_during(fleet, replace)
        answers = anyio.run(send_chats, fleet)
        endpoints = {dict(answer.headers)[b"gw-endpoint"] for answer in answers}
        assert b"chat-4" in endpoints
        assert b"chat-1" not in endpoints

    def test_a_second_agent_of_an_endpoint_gets_no_work(self, fleet: Fleet) -> None:
        def start_second() -> None:
            fleet.start_endpoint(CHATS[1], "second")
            log = fleet.folder / "agent-second.log"
            wait_until(lambda: "GW5005" in log.read_text())

        assert_serves_during(fleet, start_second)
