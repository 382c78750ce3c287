"""Tests of processes that restart while the control hosts have no quorum.

The only reachable control host has missed a change: a restarted process must not put
its older revision in force.
"""

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
QUORUM_LOSS_TIME = 4.0  # seconds
OLD, NEW = b"parish", b"later"  # workspaces


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path / "fleet") as fleet:
        fleet.build(PLAN)
        yield fleet


def read_readiness(router: Member) -> int:
    """Return the status of a router's readiness check."""
    return httpcore.request("GET", f"http://{router.http_address}/readyz").status


def call(router: Member, workspace: bytes) -> int:
    """Return the status of a request through a router."""
    headers = [(b"gw-workspace", workspace), (b"gw-rank", b"drafts")]
    url = f"http://{router.http_address}/services/booking/shows"
    return httpcore.request("GET", url, headers=headers).status


def build_stale_control_host(fleet: Fleet) -> tuple[Member, list[Member]]:
    """Let one control host miss a change; return it and the others, all killed."""
    leader = wait_for_leader(fleet)
    stale = next(item for item in fleet.controls if item is not leader)
    others = [item for item in fleet.controls if item is not stale]
    stale.freeze()
    (fleet.folder / "declarations" / "60-new.ini").write_text("[workspace later]\n")
    options = [text for item in others for text in ("--control", item.http_address)]
    fleet.run_command("apply", str(fleet.folder / "declarations"), *options)
    members = [*fleet.routers, *fleet.agents.values()]
    wait_until(lambda: {read_revision_in_force(item) for item in members} == {2})
    for member in others:
        member.kill()
    stale.thaw()
    wait_until(lambda: request_status(stale) is not None)
    return stale, others


class TestRestarts:
    def test_no_older_revision_takes_effect_without_a_quorum(
        self, fleet: Fleet
    ) -> None:
        _, others = build_stale_control_host(fleet)
        router, agent = fleet.routers[1], fleet.agents["booking-2"]
        for member in (router, agent):
            member.kill()
            fleet.restart(member.name)
            wait_for_status(member.http_address, "/livez")
        end = time.monotonic() + QUORUM_LOSS_TIME
        while time.monotonic() < end:
            assert read_readiness(router) == NOT_READY
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
