"""Tests of serving during faults, with real processes and a faulty proxy."""

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
    CHAT_COUNT,
    ENGINE,
    ENGINE_SLOTS,
    count_complete,
    send_chats_during,
    send_chats_with_fault,
)
from standins.control import wait_for_leader
from standins.fleet import Fleet, FleetPlan, plan_endpoints, wait_for_status
from standins.members import Member
from standins.proxy import Fault

LEAVE_DETECTION_TIME = 3.0  # seconds
FLAPS = 6  # restarts of the flapping agent
FLAP_INTERVAL = 1.0  # seconds
ENDPOINT_HEADER = b"gw-endpoint"
PLAN = FleetPlan(routers=2, endpoints=plan_endpoints("chat", 3, ENGINE, ENGINE_SLOTS))


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    with Fleet(tmp_path / "fleet") as fleet:
        fleet.build(PLAN)
        yield fleet


def connect_platform(fleet: Fleet, platform: Member) -> None:
    """Restart the control host with the platform's address in its settings."""
    control = fleet.controls[0]
    control.kill()
    settings = fleet.folder / control.name / "90-platform.ini"
    settings.write_text(f"[platform]\naddress = {platform.http_address}\n")
    fleet.restart(control.name)
    wait_for_leader(fleet)
    wait_for_status(platform.http_address, "/hosts")


class TestHosts:
    def test_streams_of_a_frozen_agent_resume_on_another(self, fleet: Fleet) -> None:
        agent = fleet.agents["chat-1"]
        answers = anyio.run(send_chats_with_fault, fleet, agent.freeze)
        agent.thaw()
        assert count_complete(answers) == CHAT_COUNT

    def test_streams_of_a_killed_agent_resume_on_another(self, fleet: Fleet) -> None:
        agent = fleet.agents["chat-1"]
        answers = anyio.run(send_chats_with_fault, fleet, agent.kill)
        assert count_complete(answers) == CHAT_COUNT

    def test_a_stopping_router_finishes_its_streams(self, fleet: Fleet) -> None:
        router = fleet.routers[0]
        answers = anyio.run(send_chats_with_fault, fleet, router.process.terminate)
        assert count_complete(answers) == CHAT_COUNT
        assert router.process.wait(15) == 0


class TestMembership:
    def test_a_leaving_endpoint_gets_no_new_work_within_3_s(self, fleet: Fleet) -> None:
        platform = fleet.start_platform(lag=0.0)
        connect_platform(fleet, platform)
        leaving = fleet.agents["chat-1"].http_address
        hosts = {"hosts": [{"address": leaving, "state": "leaving"}]}
        url = f"http://{platform.http_address}/hosts"
        httpcore.request("POST", url, content=json.dumps(hosts).encode())
        time.sleep(LEAVE_DETECTION_TIME)
        answers = anyio.run(send_chats_with_fault, fleet, lambda: None)
        assert count_complete(answers) == CHAT_COUNT
        assert b"chat-1" not in {
            dict(item.headers)[ENDPOINT_HEADER] for item in answers
        }

    def test_a_flapping_endpoint_costs_no_answer(self, fleet: Fleet) -> None:
        def flap() -> None:
            for _ in range(FLAPS):
                time.sleep(FLAP_INTERVAL)
                fleet.agents["chat-1"].kill()
                fleet.restart("agent-chat-1")

        async def flap_in_thread() -> None:
            await anyio.to_thread.run_sync(flap)

        answers = anyio.run(send_chats_during, fleet, flap_in_thread)
        assert count_complete(answers) == len(answers) > CHAT_COUNT


class TestConnections:
    def test_duplicated_answers_reach_no_caller(self, fleet: Fleet) -> None:
        proxy = insert_proxy(fleet, "chat-1")
        proxy.set_fault(Fault.DOUBLE)
        answers = anyio.run(send_chats_with_fault, fleet, lambda: None)
        assert count_complete(answers) == CHAT_COUNT

    def test_crossed_answers_reach_no_caller(self, fleet: Fleet) -> None:
        proxy = insert_proxy(fleet, "chat-1")
        cross = partial(proxy.set_fault, Fault.CROSS)
        answers = anyio.run(send_chats_with_fault, fleet, cross)
        assert count_complete(answers) == CHAT_COUNT
        assert any("GW5002" in read_log(fleet, item) for item in fleet.routers)
        assert all(item.process.poll() is None for item in fleet.routers)

    def test_cut_connections_are_resumed(self, fleet: Fleet) -> None:
        proxy = insert_proxy(fleet, "chat-1")
        reset = partial(proxy.set_fault, Fault.RESET)
        answers = anyio.run(send_chats_with_fault, fleet, reset)
        assert count_complete(answers) == CHAT_COUNT


def read_log(fleet: Fleet, member: Member) -> str:
    return (fleet.folder / f"{member.name}.log").read_text()


def insert_proxy(fleet: Fleet, endpoint: str) -> Member:
    """Insert a proxy in front of an agent and restart the routers to use it."""
    agent = fleet.agents[endpoint]
    proxy = fleet.start_proxy(f"proxy-{endpoint}", agent.http_address)
    agent.http_address = proxy.http_address
    fleet.apply(fleet.write_declarations(PLAN))
    for router in fleet.routers:
        router.kill()
        fleet.restart(router.name)
        wait_for_status(router.http_address, "/readyz")
    return proxy
