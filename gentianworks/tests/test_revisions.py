"""Tests of processes that restart while the control hosts have no quorum."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import httpcore
import pytest

from standins.control import request_status, wait_for_leader
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_for_status, wait_until
from standins.members import Member
from standins.payments import read_revision_in_force

PLAN = FleetPlan(controls=3, routers=2, endpoints=plan_endpoints("booking", 2))
NOT_READY = 503  # HTTP status
ABSENCE = 4.0  # seconds
OLD, NEW = b"parish", b"later"  # workspaces


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path / "fleet") as fleet:
        fleet.build(PLAN)
        yield fleet


def read_ready(router: Member) -> int:
    """Return what a router tells the balancer."""
    return httpcore.request("GET", f"http://{router.http_address}/readyz").status


def call(router: Member, workspace: bytes) -> int:
    """Return the status of a plain call through a router."""
    headers = [(b"gw-workspace", workspace), (b"gw-rank", b"drafts")]
    url = f"http://{router.http_address}/services/booking/shows"
    return httpcore.request("GET", url, headers=headers).status


def leave_behind(fleet: Fleet) -> tuple[Member, list[Member]]:
    """Let one control host miss a change; return it and the others, which are down."""
    leader = wait_for_leader(fleet)
    behind = next(item for item in fleet.controls if item is not leader)
    others = [item for item in fleet.controls if item is not behind]
    behind.freeze()
    (fleet.folder / "declarations" / "60-new.ini").write_text("[workspace later]\n")
    options = [text for item in others for text in ("--control", item.http_address)]
    fleet.run_command("apply", str(fleet.folder / "declarations"), *options)
    members = [*fleet.routers, *fleet.agents.values()]
    wait_until(lambda: {read_revision_in_force(item) for item in members} == {2})
    for member in others:
        member.kill()
    behind.thaw()
    wait_until(lambda: request_status(behind) is not None)
    return behind, others


class TestRestarts:
    def test_nothing_older_comes_into_force_without_a_quorum(
        self, fleet: Fleet
    ) -> None:
        _, others = leave_behind(fleet)
        router, agent = fleet.routers[1], fleet.agents["booking-2"]
        for member in (router, agent):
            member.kill()
            fleet.restart(member.name)
            wait_for_status(member.http_address, "/livez")
        end = time.monotonic() + ABSENCE
        while time.monotonic() < end:
            assert read_ready(router) == NOT_READY
            assert call(router, OLD) == NOT_READY
            assert (read_revision_in_force(router), read_revision_in_force(agent)) == (
                0,
                0,
            )
            assert call(fleet.routers[0], NEW) == 200
        fleet.restart(others[0].name)
        wait_for_status(router.http_address, "/readyz")
        wait_until(lambda: read_revision_in_force(agent) == 2)
        assert read_revision_in_force(router) == 2
        assert call(router, NEW) == 200
