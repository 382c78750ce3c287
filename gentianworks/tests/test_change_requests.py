"""Tests of changes that a control host refuses from any client."""

from __future__ import annotations

from gentianworks.core.commands.base import apply_command
from gentianworks.core.commands.configuration import ConfigurationChanged
from gentianworks.core.configuration.change_requests import build_command
from gentianworks.core.events.operators import ConfigurationChangeRequested
from gentianworks.core.operators.audit import AuditAction
from gentianworks.core.state import State
from gentianworks.core.types import (
    Configuration,
    Node,
    ProblemKind,
    Role,
    Workspace,
)


def apply(state: State, configuration: Configuration) -> ConfigurationChanged:
    request = ConfigurationChangeRequested(
        "e", "olwen", "c", "digest", 0, configuration
    )
    command = build_command(request, state, 1.0)
    outcome = apply_command(command, state.control.replicated)
    assert isinstance(outcome, ConfigurationChanged)
    return outcome


class TestRefusal:
    def test_invalid_contents_change_nothing_and_are_recorded_in_the_audit(
        self,
    ) -> None:
        node = Node("control", Role.CONTROL, "eu-west", "a", "", "")
        state = State(node)
        duplicates = (Workspace("parish"), Workspace("parish", weight=2.0))
        outcome = apply(state, Configuration(workspaces=duplicates))
        assert outcome.record.problem is not None
        assert outcome.record.problem.kind is ProblemKind.INVALID_CONFIGURATION
        assert "[workspace parish] is declared more" in outcome.record.problem.detail
        assert state.control.replicated.configuration == Configuration()
        (entry,) = state.control.replicated.audit.entries
        assert entry.action is AuditAction.REFUSED
        assert entry.operator == "olwen"
