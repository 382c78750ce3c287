"""Tests of serving through faults, with real processes behind a proxy."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import anyio
import httpcore
import pytest

from gentianworks.tests.traffic import (
    CHATS,
    ENGINE,
    SLOTS,
    count_whole,
    send_chats_beside,
    send_chats_through,
)
from standins.control import wait_for_leader
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_for_status
from standins.members import Member
from standins.proxy import Fault

LEAVING_TIME = 3.0  # seconds
FLAPS = 6
FLAP_INTERVAL = 1.0  # seconds
ENDPOINT = b"gw-endpoint"
PLAN = FleetPlan(routers=2, endpoints=plan_endpoints("chat", 3, ENGINE, SLOTS))


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path / "fleet") as fleet:
        fleet.build(PLAN)
        yield fleet


def watch_platform(fleet: Fleet, platform: Member) -> None:
    """Restart the control host with the platform's address among its settings."""
    control = fleet.controls[0]
    control.kill()
    settings = fleet.folder / control.name / "90-platform.ini"
    settings.write_text(f"[platform]\naddress = {platform.http_address}\n")
    fleet.restart(control.name)
    wait_for_leader(fleet)
    wait_for_status(platform.http_address, "/hosts")


class TestHosts:
    def test_a_frozen_agent_s_streams_go_on_elsewhere(self, fleet: Fleet) -> None:
        agent = fleet.agents["chat-1"]
        answers = anyio.run(send_chats_through, fleet, agent.freeze)
        agent.thaw()
        assert count_whole(answers) == CHATS

    def test_a_killed_agent_s_streams_go_on_elsewhere(self, fleet: Fleet) -> None:
        agent = fleet.agents["chat-1"]
        answers = anyio.run(send_chats_through, fleet, agent.kill)
        assert count_whole(answers) == CHATS

    def test_a_stopping_router_finishes_its_streams(self, fleet: Fleet) -> None:
        router = fleet.routers[0]
        answers = anyio.run(send_chats_through, fleet, router.process.terminate)
        assert count_whole(answers) == CHATS
        assert router.process.wait(15) == 0


class TestMembership:
    def test_a_leaving_endpoint_gets_no_new_work_within_3_s(self, fleet: Fleet) -> None:
        platform = fleet.start_platform(lag=0.0)
        watch_platform(fleet, platform)
        leaving = fleet.agents["chat-1"].http_address
        hosts = {"hosts": [{"address": leaving, "state": "leaving"}]}
        url = f"http://{platform.http_address}/hosts"
        httpcore.request("POST", url, content=json.dumps(hosts).encode())
        time.sleep(LEAVING_TIME)
        answers = anyio.run(send_chats_through, fleet, lambda: None)
        assert count_whole(answers) == CHATS
        assert b"chat-1" not in {dict(item.headers)[ENDPOINT] for item in answers}

    def test_a_flapping_endpoint_costs_no_answer(self, fleet: Fleet) -> None:
        def flap() -> None:
            for _ in range(FLAPS):
                time.sleep(FLAP_INTERVAL)
                fleet.agents["chat-1"].kill()
                fleet.restart("agent-chat-1")

        async def flap_beside() -> None:
            await anyio.to_thread.run_sync(flap)

        answers = anyio.run(send_chats_beside, fleet, flap_beside)
        assert count_whole(answers) == len(answers) > CHATS


class TestConnections:
    def test_doubled_answers_reach_no_caller(self, fleet: Fleet) -> None:
        proxy = insert_proxy(fleet, "chat-1")
        proxy.set_fault(Fault.DOUBLE)
        answers = anyio.run(send_chats_through, fleet, lambda: None)
        assert count_whole(answers) == CHATS

    def test_crossed_answers_reach_no_caller(self, fleet: Fleet) -> None:
        proxy = insert_proxy(fleet, "chat-1")
        cross = partial(proxy.set_fault, Fault.CROSS)
        answers = anyio.run(send_chats_through, fleet, cross)
        assert count_whole(answers) == CHATS
        assert any("GW5002" in read_log(fleet, item) for item in fleet.routers)
        assert all(item.process.poll() is None for item in fleet.routers)

    def test_cut_connections_are_resumed(self, fleet: Fleet) -> None:
        proxy = insert_proxy(fleet, "chat-1")
        reset = partial(proxy.set_fault, Fault.RESET)
        answers = anyio.run(send_chats_through, fleet, reset)
        assert count_whole(answers) == CHATS


def read_log(fleet: Fleet, member: Member) -> str:
    return (fleet.folder / f"{member.name}.log").read_text()


def insert_proxy(fleet: Fleet, endpoint: str) -> Member:
    """Put a proxy before an agent, and restart the routers so that they use it."""
    agent = fleet.agents[endpoint]
    proxy = fleet.start_proxy(f"proxy-{endpoint}", agent.http_address)
    agent.http_address = proxy.http_address
    fleet.apply(fleet.write_declarations(PLAN))
    for router in fleet.routers:
        router.kill()
        fleet.restart(router.name)
        wait_for_status(router.http_address, "/readyz")
    return proxy
