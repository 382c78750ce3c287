"""Tests of the registration of agents' incarnations."""

from __future__ import annotations

from gentianworks.core.agents.registration import warn_if_misplaced
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.events.ledger import IncarnationStarted, RegistrationDue
from gentianworks.core.handlers import reduce
from gentianworks.core.state import State
from gentianworks.tests.fixtures import NOW, build_agent_at


def list_registrations(state: State) -> list[IncarnationStarted]:
    """Return the registrations that an agent sends when its registration is due."""
    effects = reduce(RegistrationDue(), state, NOW)
    messages = [item.message for item in effects if isinstance(item, SendMessage)]
    return [item for item in messages if isinstance(item, IncarnationStarted)]


class TestDeclaredAddress:
    def test_agent_at_the_declared_address_registers(self) -> None:
        state = build_agent_at("tcp://127.0.0.1:1")
        assert len(list_registrations(state)) == 1
        assert warn_if_misplaced(state) == []

    def test_agent_at_another_address_logs_a_warning_and_does_not_register(
        self,
    ) -> None:
        state = build_agent_at("tcp://127.0.0.1:99")
        assert list_registrations(state) == []
        (log,) = warn_if_misplaced(state)
        assert isinstance(log, LogEvent)
        assert log.code == "GW5005"
