"""Property tests of requests that must not run twice, under faults of every kind."""

from __future__ import annotations

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from properties.ledger_simulation import AGENTS, CONTROL_HOST, ROUTERS, LedgerSimulation

KEYS = ("key-1", "key-1", "key-1", "key-2")
NAMES = (*ROUTERS, *AGENTS)
CHOICES = st.integers(min_value=0, max_value=63)


class LedgerMachine(RuleBasedStateMachine):
    """Random faults of two routers, two agents and a control host."""

    def __init__(self) -> None:
        """Start the fleet."""
        super().__init__()
        self.simulation = LedgerSimulation()

    @rule(router=st.sampled_from(ROUTERS), key=st.sampled_from(KEYS))
    def send_request(self, router: str, key: str) -> None:
        """Send a request with an idempotency key."""
        if router not in self.simulation.frozen:
            self.simulation.send_request(router, key)

    @precondition(lambda self: self.simulation.list_deliverable())
    @rule(choice=CHOICES, is_duplicated=st.sampled_from((False, False, False, True)))
    def deliver(self, choice: int, is_duplicated: bool) -> None:
        """Deliver any message in transit; a duplicated one may arrive again."""
        envelopes = self.simulation.list_deliverable()
        self.simulation.deliver(envelopes[choice % len(envelopes)], is_duplicated)

    @rule(name=st.sampled_from((CONTROL_HOST, CONTROL_HOST, *NAMES)))
    def deliver_to(self, name: str) -> None:
        """Deliver everything in transit to one process."""
        for _ in range(len(self.simulation.in_transit)):
            for envelope in self.simulation.list_deliverable():
                if envelope.target == name:
                    self.simulation.deliver(envelope)
                    break

    @rule(seconds=st.sampled_from((0.0, 0.3, 1.1)))
    def deliver_all(self, seconds: float) -> None:
        """Deliver everything in order before and after an advance of time."""
        self.simulation.deliver_all()
        self.simulation.advance(seconds)
        self.simulation.deliver_all()

    @rule()
    def start_all_calls(self) -> None:
        """Let every call reach its engine."""
        for call in list(self.simulation.pending_calls):
            self.simulation.start_call(call)

    @precondition(lambda self: self.simulation.in_transit)
    @rule(choice=CHOICES)
    def drop(self, choice: int) -> None:
        """Drop a message."""
        envelopes = self.simulation.in_transit
        self.simulation.drop(envelopes[choice % len(envelopes)])

    @precondition(lambda self: self.simulation.connections)
    @rule(choice=CHOICES)
    def cut_connection(self, choice: int) -> None:
        """Cut the connection between a router and an agent."""
        attempts = sorted(self.simulation.connections)
        self.simulation.cut_connection(attempts[choice % len(attempts)])

    @rule(seconds=st.sampled_from((0.3, 2.0, 11.0, 61.0)))
    def advance(self, seconds: float) -> None:
        """Advance virtual time."""
        self.simulation.advance(seconds)

    @precondition(lambda self: self.simulation.pending_calls)
    @rule(choice=CHOICES, fails=st.sampled_from((False, False, True)))
    def start_call(self, choice: int, fails: bool) -> None:
        """Let a call reach its engine, or fail before it does."""
        call = self.simulation.pending_calls[
            choice % len(self.simulation.pending_calls)
        ]
        if fails:
            self.simulation.fail_unsent_call(call)
        else:
            self.simulation.start_call(call)

    @precondition(lambda self: self.simulation.started_calls)
    @rule(choice=CHOICES, fails=st.sampled_from((False, False, True)))
    def end_call(self, choice: int, fails: bool) -> None:
        """Answer a call or crash its engine."""
        calls = self.simulation.started_calls
        self.simulation.end_call(calls[choice % len(calls)], fails)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Restart an agent or a router."""
        self.simulation.restart(name)

    @rule(name=st.sampled_from(NAMES))
    def toggle_freeze(self, name: str) -> None:
        """Freeze a process, or resume it if it is frozen."""
        if name in self.simulation.frozen:
            self.simulation.frozen.remove(name)
        else:
            self.simulation.frozen.add(name)

    @precondition(lambda self: self.simulation.callers)
    @rule(choice=CHOICES)
    def disconnect_caller(self, choice: int) -> None:
        """Disconnect a caller that waits for its answer."""
        waiting = [
            exchange
            for exchange, caller in self.simulation.callers.items()
            if not caller.is_finished and caller.router not in self.simulation.frozen
        ]
        if waiting:
            self.simulation.disconnect_caller(waiting[choice % len(waiting)])

    def teardown(self) -> None:
        """Heal every fault; each remaining caller has to receive an answer."""
        self.simulation.recover()
        unfinished = [
            exchange
            for exchange, caller in self.simulation.callers.items()
            if not caller.is_finished
        ]
        assert unfinished == []


class TestLedger:
    def test_never_runs_a_key_twice_nor_after_it_was_reported_not_run(self) -> None:
        run_state_machine_as_test(
            LedgerMachine,
            settings=settings(
                derandomize=True,
                deadline=None,
                phases=(Phase.generate,),
                max_examples=300,
                stateful_step_count=50,
            ),
        )
