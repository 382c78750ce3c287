"""Tests of operators' commands against real control hosts."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import httpcore
import pytest

from standins.fleet import (
    Fleet,
    FleetPlan,
    plan_endpoints,
    wait_for_status,
    wait_until,
)
from standins.proxy import Fault

PLAN = (*plan_endpoints("chat", 1), *plan_endpoints("booking", 1))


@pytest.fixture(scope="class")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.build(FleetPlan(controls=3, endpoints=PLAN))
        yield fleet


def read_revision(fleet: Fleet) -> int:
    address = fleet.controls[0].http_address
    status = json.loads(fleet.run_command("status", "--control", address, "--json"))
    return int(status["revision"])


def list_orders(fleet: Fleet) -> list[int]:
    """Return the numbers of the orders that the control hosts report."""
    address = fleet.controls[0].http_address
    status = json.loads(fleet.run_command("status", "--control", address, "--json"))
    return [item["number"] for item in status["orders"]]


def write_declarations(fleet: Fleet, name: str) -> Path:
    """Write declarations that add a workspace, and return their folder."""
    folder = fleet.folder / name
    folder.mkdir()
    for file in (fleet.folder / "declarations").glob("*.ini"):
        (folder / file.name).write_text(file.read_text())
    (folder / "60-new.ini").write_text(f"[workspace {name}]\n")
    return folder


def start_command(fleet: Fleet, *arguments: str) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [
            sys.executable,
            *("-m", "gentianworks", *arguments),
            *("--token-file", str(fleet.folder / "token")),
        ],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


class TestOperators:
    def test_one_of_two_racing_operators_wins(self, fleet: Fleet) -> None:
        address = fleet.controls[0].http_address
        revision = read_revision(fleet)
        options = ("--expect", str(revision), "--control", address)
        racers = [
            start_command(
                fleet,
                "apply",
                str(write_declarations(fleet, name)),
                "--change",
                name,
                *options,
            )
            for name in ("first", "second")
        ]
        errors = [racer.communicate()[1].decode() for racer in racers]
        codes = [racer.returncode for racer in racers]
        assert sorted(codes) == [0, 4]
        winner = ("first", "second")[codes.index(0)]
        assert f"by change {winner} of olwen" in errors[codes.index(4)]
        assert "run diff, and apply again" in " ".join(errors[codes.index(4)].split())
        assert read_revision(fleet) == revision + 1

    def test_resend_gets_the_answer_that_was_lost(self, fleet: Fleet) -> None:
        address = fleet.controls[0].http_address
        proxy = fleet.start_proxy("operators-proxy", address)
        revision = read_revision(fleet)
        proxy.set_fault(Fault.HOLD_ANSWERS)
        folder = str(write_declarations(fleet, "lost"))
        hosts = ("--control", proxy.http_address, "--control", address)
        expected = ("--expect", str(revision))
        racer = start_command(fleet, "apply", folder, *expected, *hosts)
        wait_until(lambda: read_revision(fleet) == revision + 1)
        proxy.set_fault(Fault.CUT)
        output = racer.communicate()[0].decode()
        assert f"Revision {revision + 1} is accepted (as first answered)." in output
        assert read_revision(fleet) == revision + 1

    def test_an_order_whose_answer_is_lost_is_issued_once(self, fleet: Fleet) -> None:
        address = fleet.controls[0].http_address
        proxy = fleet.start_proxy("orders-proxy", address)
        proxy.set_fault(Fault.HOLD_ANSWERS)
        hosts = ("--control", proxy.http_address, "--control", address)
        order = ("chat-1", "change-role", "decode", "--request", "lost")
        sender = start_command(fleet, "order", *order, *hosts)
        wait_until(lambda: len(list_orders(fleet)) == 1)
        proxy.set_fault(Fault.CUT)
        assert "(as first answered)" in sender.communicate()[0].decode()
        assert len(list_orders(fleet)) == 1

    def test_first_answer_survives_a_restart_of_all_hosts(self, fleet: Fleet) -> None:
        addresses = [control.http_address for control in fleet.controls]
        hosts = [word for item in addresses for word in ("--control", item)]
        revision = read_revision(fleet)
        folder = str(write_declarations(fleet, "kept"))
        again = ("apply", folder, "--expect", str(revision), "--change", "kept", *hosts)
        fleet.run_command(*again)
        for control in fleet.controls:
            control.kill()
        for control in fleet.controls:
            fleet.restart(control.name)
            wait_for_status(control.http_address, "/livez")
        assert "(as first answered)" in fleet.run_command(*again)
        reused = fleet.try_command(
            *(
                "apply",
                str(write_declarations(fleet, "other")),
                "--expect",
                str(revision),
            ),
            *("--change", "kept", *hosts),
        )
        assert reused.returncode == 4
        assert b"came before with other contents" in reused.stderr

    def test_requests_without_a_token_are_rejected(self, fleet: Fleet) -> None:
        url = f"http://{fleet.controls[0].http_address}"
        paths = ("/configuration", "/status", "/audit", "/placement", "/changes")
        for headers in ([], [(b"authorization", b"Bearer wrong")]):
            for path in paths:
                answer = httpcore.request("GET", f"{url}{path}", headers=headers)
                assert answer.status == 401
                assert b"parish" not in answer.content
        posted = httpcore.request("POST", f"{url}/changes", content=b"{}")
        assert posted.status == 401

    def test_changes_and_refusals_are_in_the_audit(self, fleet: Fleet) -> None:
        address = fleet.controls[0].http_address
        stale = fleet.try_command(
            *("apply", str(write_declarations(fleet, "stale")), "--expect", "0"),
            *("--control", address),
        )
        assert stale.returncode == 4
        text = fleet.run_command("audit", "--verify", "--control", address)
        assert "+ workspace parish: weight 1.0" in text
        assert "olwen refused 0 ->" in text
        assert "The chain of" in text

    def test_any_control_host_reports_the_status(self, fleet: Fleet) -> None:
        for control in fleet.controls:
            address = control.http_address
            text = fleet.run_command("status", "--control", address, "--json")
            status = json.loads(text)
            assert status["is_confirmed"]
            assert [item["is_leader"] for item in status["controls"]].count(True) == 1
            names = {node["name"] for node in status["nodes"]}
            assert names == {"agent-chat-1", "agent-booking-1", "router-1"}

    def test_explains_the_placement_of_a_chat(self, fleet: Fleet) -> None:
        address = fleet.controls[0].http_address
        wanted = ("parish", "--service", "chat", "--chat", "c1")
        text = fleet.run_command("explain", *wanted, "--control", address)
        assert "chat-1" in text
        assert "can serve" in text

    def test_explains_the_outcome_of_a_key(self, fleet: Fleet) -> None:
        address = fleet.controls[0].http_address
        httpcore.request(
            "POST",
            f"http://{fleet.routers[0].http_address}/services/booking/pens",
            headers=[
                (b"gw-workspace", b"parish"),
                (b"gw-rank", b"submissions"),
                (b"idempotency-key", b"pen-7"),
            ],
            content=b"ewe",
        )
        for key, outcome in (("pen-7", "ran"), ("pen-8", "never-claimed")):
            wanted = ("explain", "parish", "--key", key, "--json")
            text = fleet.run_command(*wanted, "--control", address)
            assert json.loads(text)["outcome"] == outcome

    def test_release_is_in_the_audit(self, fleet: Fleet) -> None:
        options = ("--control", fleet.controls[1].http_address)
        text = fleet.run_command("release", "c0ffee", *options)
        assert "was not in quarantine" in text
        assert "olwen released" in fleet.run_command("audit", *options)

    def test_an_evacuation_reaches_routers_that_run_and_that_start(
        self, fleet: Fleet
    ) -> None:
        options = ("--control", fleet.controls[1].http_address)
        zone = PLAN[1].availability_zone

        def book(key: str) -> int:
            answer = httpcore.request(
                "POST",
                f"http://{fleet.routers[0].http_address}/services/booking/pens",
                headers=[(b"gw-workspace", b"parish"), (b"gw-rank", b"submissions")],
                content=key.encode(),
            )
            return answer.status

        assert book("ewe") == 200
        assert "gets no new calls" in fleet.run_command("evacuate", zone, *options)
        wait_until(lambda: book("ram") == 503)
        fleet.routers[0].kill()
        fleet.restart(fleet.routers[0].name)
        wait_for_status(fleet.routers[0].http_address, "/readyz")
        assert book("ram") == 503
        text = fleet.run_command("evacuate", zone, "--withdraw", *options)
        assert "is open" in text
        wait_until(lambda: book("ewe") == 200)
        audit = fleet.run_command("audit", *options)
        assert "olwen evacuated" in audit
        assert f"zone {zone}: open" in audit
