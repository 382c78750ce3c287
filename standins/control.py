"""Control: status, leaders, changes and network partitions of control hosts."""

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


def request_status(member: Member) -> StatusReport | None:
    """Return the status report of one control host, or None if it doesn't answer."""
    client = ControlClient([member.http_address], member.token)
    return client.try_fetch("/status", StatusReport).default_value(None)


def wait_for_leader(fleet: Fleet) -> Member:
    """Return the leading control host once all running hosts agree on it."""
    leaders: set[str] = set()

    def have_agreed() -> bool:
        leaders.clear()
        leaders.update(_list_leaders(fleet))
        return len(leaders) == 1

    wait_until(have_agreed)
    (address,) = leaders
    return next(item for item in fleet.controls if item.peer_address == address)


def _list_leaders(fleet: Fleet) -> set[str]:
    reports = [request_status(item) for item in fleet.controls if _is_running(item)]
    return {
        next((item.peer_address for item in report.controls if item.is_leader), "")
        for report in reports
        if report is not None and report.is_confirmed
    } - {""}


def _is_running(member: Member) -> bool:
    return member.process.poll() is None


def read_confirmed_revision(member: Member) -> int | None:
    """Return the revision that a host confirms with a quorum, or None."""
    client = ControlClient([member.http_address], member.token)
    answer = client.try_fetch("/configuration", ConfigurationReport)
    return answer.ok.configuration.revision if answer.is_ok() else None


@define
class OperatorClient:
    """Client that applies changes, each retried under its id until it is answered."""

    members: list[Member]
    revision: int = 0
    changes: list[str] = field(factory=list)

    def apply_next_change(self) -> ChangeReport:
        """Apply the next change at any host that answers."""
        change = f"change-{self.revision + 1}"
        report = self.send_change(change, self.revision)
        self.revision += 1
        assert report.revision == self.revision
        return report

    def send_change(self, change: str, expected_revision: int) -> ChangeReport:
        """Send a change with its id and the revision that it is based on."""
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
    """Wait until each host confirms a revision with a quorum."""
    wait_until(
        lambda: all(read_confirmed_revision(item) == revision for item in members)
    )


def start_proxied_controls(fleet: Fleet) -> None:
    """Start three control hosts, each behind a proxy for the messages it receives."""
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
class IsolationResult:
    """Result of an isolation.

    `revisions` are those that the isolated leader answered with, `change_count` counts
    the changes that the other hosts accepted meanwhile.
    """

    revisions: set[int]
    change_count: int


def isolate_leader(fleet: Fleet, seconds: float) -> IsolationResult:
    """Partition the leader from the other hosts while these accept changes.

    Afterwards waits until every host confirms the last revision of the others.
    """
    leader = wait_for_leader(fleet)
    others = [item for item in fleet.controls if item is not leader]
    OperatorClient(fleet.controls).apply_next_change()
    proxies = {
        item.name: fleet.members[f"proxy-{item.name[-1]}"] for item in fleet.controls
    }
    proxies[leader.name].set_fault(Fault.CUT)
    for item in others:
        proxies[item.name].block_sender(leader.name)
    end = time.monotonic() + seconds
    wait_until(lambda: all(read_confirmed_revision(item) == 1 for item in others))
    operator = OperatorClient(others, revision=1)
    answers: set[int | None] = set()
    while time.monotonic() < end:
        operator.apply_next_change()
        answers.add(read_confirmed_revision(leader))
    for proxy in proxies.values():
        proxy.set_fault(Fault.NONE)
        proxy.block_sender("")
    wait_for_revision(fleet.controls, operator.revision)
    return IsolationResult(
        {item for item in answers if item is not None}, operator.revision - 1
    )
