"""Property tests of operators' changes: races, lost answers, resends, snapshots."""

from __future__ import annotations

import cattrs
from attrs import define, field
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from gentianworks.core.commands.base import apply_command
from gentianworks.core.commands.configuration import (
    ChangeConfiguration,
    ConfigurationChanged,
)
from gentianworks.core.configuration.change_log import ChangeRecord
from gentianworks.core.configuration.change_requests import build_command
from gentianworks.core.events.operators import ConfigurationChangeRequested
from gentianworks.core.operators.audit import find_broken_link
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Configuration, Node, Role, Workspace

HOSTS = 3
NAMES = ("a", "b", "c")


@define
class Host:
    """Control host, and the number of commands that it has applied."""

    state: State
    applied: int = 0
    revisions: list[int] = field(factory=lambda: [0])
    answers: dict[str, ChangeRecord] = field(factory=dict)


def create_host(name: str) -> Host:
    node = Node(name, Role.CONTROL, "eu-west", "a", "tcp://127.0.0.1:1", "")
    return Host(State(node))


def build_request(
    operator: str, change: str, expected: int, names: frozenset[str]
) -> ConfigurationChangeRequested:
    workspaces = tuple(Workspace(name) for name in sorted(names))
    digest = f"{operator}/{expected}/{sorted(names)}"
    configuration = Configuration(workspaces=workspaces)
    return ConfigurationChangeRequested(
        "e", operator, change, digest, expected, configuration
    )


class Changes(RuleBasedStateMachine):
    """Operators that race through hosts, which apply one log at different speeds."""

    requests = Bundle("requests")

    def __init__(self) -> None:
        super().__init__()
        self.hosts = [create_host(name) for name in NAMES]
        self.log: list[ChangeConfiguration] = []
        self.count = 0
        self.first_answers: dict[ConfigurationChangeRequested, ChangeRecord] = {}

    @rule(
        target=requests,
        operator=st.sampled_from(["olwen", "mair"]),
        revisions_behind=st.integers(0, 2),
        names=st.frozensets(st.sampled_from(NAMES)),
        via=st.integers(0, HOSTS - 1),
    )
    def send(
        self, operator: str, revisions_behind: int, names: frozenset[str], via: int
    ) -> ConfigurationChangeRequested:
        host = self.hosts[via]
        revision = host.state.control.replicated.configuration.revision
        self.count += 1
        request = build_request(
            operator, str(self.count), max(0, revision - revisions_behind), names
        )
        self.resend(request, via)
        return request

    @rule(request=requests, via=st.integers(0, HOSTS - 1))
    def resend(self, request: ConfigurationChangeRequested, via: int) -> None:
        self.log.append(build_command(request, self.hosts[via].state, 1.0))

    @rule(request=requests, names=st.frozensets(st.sampled_from(NAMES)))
    def reuse_id(
        self, request: ConfigurationChangeRequested, names: frozenset[str]
    ) -> None:
        other = build_request("eve", request.change, request.expected_revision, names)
        self.log.append(build_command(other, self.hosts[0].state, 1.0))

    @rule(number=st.integers(0, HOSTS - 1), steps=st.integers(1, 5))
    def apply(self, number: int, steps: int) -> None:
        host = self.hosts[number]
        for command in self.log[host.applied : host.applied + steps]:
            outcome = apply_command(command, host.state.control.replicated)
            assert isinstance(outcome, ConfigurationChanged)
            host.applied += 1
            self.check_answer(host, command, outcome)

    def check_answer(
        self, host: Host, command: ChangeConfiguration, outcome: ConfigurationChanged
    ) -> None:
        revision = host.state.control.replicated.configuration.revision
        increase = revision - host.revisions[-1]
        assert increase == (1 if outcome.delta is not None else 0)
        host.revisions.append(revision)
        key = f"{command.change} {command.digest}"
        first = host.answers.setdefault(key, outcome.record)
        is_reuse = command.operator == "eve"
        assert is_reuse or first == outcome.record
        if is_reuse:
            assert outcome.delta is None

    @rule(number=st.integers(0, HOSTS - 1))
    def restart_from_snapshot(self, number: int) -> None:
        control = self.hosts[number].state.control
        snapshot = cattrs.unstructure(control.replicated)
        control.replicated = cattrs.structure(snapshot, ReplicatedState)

    @invariant()
    def audit_chain_is_unbroken(self) -> None:
        for host in self.hosts:
            assert find_broken_link(host.state.control.replicated.audit.entries) is None

    @invariant()
    def one_change_produces_each_revision(self) -> None:
        for host in self.hosts:
            records = host.state.control.replicated.changes.records.values()
            revisions_made = [item.revision for item in records if item.problem is None]
            assert len(revisions_made) == len(set(revisions_made))

    def teardown(self) -> None:
        for number, host in enumerate(self.hosts):
            self.apply(number, len(self.log) - host.applied)
        states = [host.state.control.replicated for host in self.hosts]
        assert states[0] == states[1] == states[2]


class TestChangeRequests:
    def test_one_change_produces_each_revision(self) -> None:
        run_state_machine_as_test(
            Changes, settings=settings(derandomize=True, max_examples=60, deadline=None)
        )
