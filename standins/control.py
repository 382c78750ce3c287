"""Control: a fleet's control hosts, what they tell, and operators who change it."""

from __future__ import annotations

import time

import cattrs
from attrs import define, field, frozen

from gentianworks.commandline.client import ControlClient
from gentianworks.core.operators.reports import (
    ChangeReport,
    ConfigurationReport,
    StatusReport,
)
from gentianworks.core.types import Configuration, Workspace
from standins.fleet import Fleet, wait_until
from standins.members import Member
from standins.ports import find_free_port
from standins.proxy import Fault


def ask_status(member: Member) -> StatusReport | None:
    """Return what one control host tells, or None where it tells nothing."""
    client = ControlClient([member.http_address], member.token)
    return client.try_fetch("/status", StatusReport).default_value(None)


def find_leader(fleet: Fleet) -> Member:
    """Return the control host that leads, once all that run agree on it."""
    leaders: set[str] = set()

    def is_agreed() -> bool:
        leaders.clear()
        leaders.update(_list_leaders(fleet))
        return len(leaders) == 1

    wait_until(is_agreed)
    (address,) = leaders
    return next(item for item in fleet.controls if item.peer_address == address)


def _list_leaders(fleet: Fleet) -> set[str]:
    reports = [ask_status(item) for item in fleet.controls if _is_running(item)]
    return {
        next((item.peer_address for item in report.controls if item.is_leader), "")
        for report in reports
        if report is not None and report.is_confirmed
    } - {""}


def _is_running(member: Member) -> bool:
    return member.process.poll() is None


def read_revision(member: Member) -> int | None:
    """Return the revision that a host reads past a quorum, or None."""
    client = ControlClient([member.http_address], member.token)
    answer = client.try_fetch("/configuration", ConfigurationReport)
    return answer.ok.configuration.revision if answer.is_ok() else None


@define
class Operator:
    """Apply changes, each of them anew with its id until it is answered."""

    members: list[Member]
    revision: int = 0
    changes: list[str] = field(factory=list)

    def apply(self) -> ChangeReport:
        """Apply the next change at whichever host answers."""
        change = f"change-{self.revision + 1}"
        report = self.send(change, self.revision)
        self.revision += 1
        assert report.revision == self.revision
        return report

    def send(self, change: str, expected_revision: int) -> ChangeReport:
        """Send one change."""
        workspaces = (Workspace(change),)
        document = {
            "change": change,
            "expected_revision": expected_revision,
            "configuration": cattrs.unstructure(Configuration(workspaces=workspaces)),
        }
        hosts = [member.http_address for member in self.members]
        return ControlClient(hosts, self.members[0].token).submit(
            "/changes", document, ChangeReport
        )


def wait_for_revision(members: list[Member], revision: int) -> None:
    """Wait until each host reads a revision past a quorum."""
    wait_until(lambda: all(read_revision(item) == revision for item in members))


def start_behind_proxies(fleet: Fleet) -> None:
    """Start three control hosts, each behind a proxy for messages of the others."""
    listen = [f"tcp://127.0.0.1:{find_free_port()}" for _ in range(3)]
    proxies = [
        fleet.start_proxy(f"proxy-{number}", address)
        for number, address in enumerate(listen, start=1)
    ]
    addresses = [proxy.peer_address for proxy in proxies]
    for number, address in enumerate(addresses, start=1):
        member = fleet.start_role(
            "control",
            f"control-{number}",
            "abc"[number - 1],
            control=" ".join(addresses),
            extra="checks_invariants = yes\n",
            peer_address=address,
            listen_address=listen[number - 1],
        )
        fleet.controls.append(member)


@frozen
class Isolation:
    """Tell what came of a cut: what the cut host answered, and others' changes."""

    answers: set[int]
    changes: int


def isolate_leader(fleet: Fleet, seconds: float) -> Isolation:
    """Cut the leader off both ways for a time while the others take changes.

    Afterwards every host must come to the others' last revision.
    """
    leader = find_leader(fleet)
    others = [item for item in fleet.controls if item is not leader]
    Operator(fleet.controls).apply()
    proxies = {
        item.name: fleet.members[f"proxy-{item.name[-1]}"] for item in fleet.controls
    }
    proxies[leader.name].set_fault(Fault.CUT)
    for item in others:
        proxies[item.name].silence(leader.name)
    end = time.monotonic() + seconds
    wait_until(lambda: all(read_revision(item) == 1 for item in others))
    operator = Operator(others, revision=1)
    answers: set[int | None] = set()
    while time.monotonic() < end:
        operator.apply()
        answers.add(read_revision(leader))
    for proxy in proxies.values():
        proxy.set_fault(Fault.NONE)
        proxy.silence("")
    wait_for_revision(fleet.controls, operator.revision)
    return Isolation(
        {item for item in answers if item is not None}, operator.revision - 1
    )
