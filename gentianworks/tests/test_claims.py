"""Tests of claims between routers, agents and the ledger."""

from __future__ import annotations

from gentianworks.core.events.ledger import IncarnationStarted
from gentianworks.core.quarantine.fingerprints import compute_fingerprint
from gentianworks.core.quarantine.suspects import Suspect
from gentianworks.core.types import Problem, ProblemKind, RunState
from properties.ledger_simulation import (
    AGENTS,
    CONTROL_HOST,
    START_TIME,
    LedgerSimulation,
)
from properties.ledger_types import Envelope

KEY = "fee-1"


def run_engines(world: LedgerSimulation) -> None:
    """Deliver every call to its engine, end it and have it recorded."""
    for call in list(world.pending_calls):
        world.start_call(call)
    for call in list(world.started_calls):
        world.end_call(call, fails=False)
    world.deliver_all()


def build_unregistered_agents() -> LedgerSimulation:
    """Return a simulation whose agents have sent their registrations just now."""
    world = LedgerSimulation()
    for name in (CONTROL_HOST, *AGENTS):
        world.start(name)
    return world


def deliver_claims(world: LedgerSimulation) -> None:
    """Deliver what routers and the ledger send each other, but no registration."""
    while True:
        messages = [
            *list_envelopes(world, "router-1"),
            *(
                item
                for item in list_envelopes(world, CONTROL_HOST)
                if not isinstance(item.event, IncarnationStarted)
            ),
        ]
        if not messages:
            return
        world.deliver(messages[0])


def get_problem(world: LedgerSimulation, exchange: str) -> Problem:
    """Return the problem that a caller received."""
    problem = world.callers[exchange].problem
    assert problem is not None
    return problem


def list_envelopes(world: LedgerSimulation, target: str) -> list[Envelope]:
    """Return the envelopes in transit to a process."""
    return [item for item in world.in_transit if item.target == target]


class TestClaims:
    def test_a_router_that_resumes_after_its_claim_moved_runs_nothing(self) -> None:
        world = LedgerSimulation()
        first = world.send_request("router-1", KEY)
        world.frozen.add("router-1")
        world.deliver_all()
        second = world.send_request("router-2", KEY)
        world.deliver_all()
        world.advance(1.1)
        world.deliver_all()
        run_engines(world)
        assert world.callers[second].is_finished
        world.frozen.clear()
        world.deliver_all()
        run_engines(world)
        world.advance(0.3)
        world.deliver_all()
        assert world.run_counts[KEY] == 1
        assert world.callers[first].body == world.callers[second].body

    def test_a_request_waits_for_agents_that_are_not_registered_yet(self) -> None:
        world = build_unregistered_agents()
        exchange = world.send_request("router-1", KEY)
        for _ in range(3):
            deliver_claims(world)
        assert not world.callers[exchange].is_finished
        world.deliver_all()
        world.advance(0.3)
        world.deliver_all()
        run_engines(world)
        assert world.callers[exchange].body == f"receipt of {KEY}".encode()
        assert world.run_counts[KEY] == 1

    def test_agents_that_never_register_are_reported_within_seconds(self) -> None:
        world = build_unregistered_agents()
        exchange = world.send_request("router-1", KEY)
        for _ in range(12):
            deliver_claims(world)
            world.advance(0.25)
            deliver_claims(world)
        problem = get_problem(world, exchange)
        assert problem.kind is ProblemKind.NO_ENDPOINT
        assert problem.run_state is RunState.NOT_RUN
        assert world.now - START_TIME <= 3.0

    def test_a_dispatch_for_an_earlier_incarnation_is_not_run(self) -> None:
        world = LedgerSimulation()
        exchange = world.send_request("router-1", KEY)
        world.deliver(list_envelopes(world, CONTROL_HOST)[0])
        world.deliver(list_envelopes(world, "router-1")[0])
        dispatch = world.in_transit[0]
        agent = dispatch.target
        world.deliver(dispatch, is_duplicated=True)
        world.start_call(world.pending_calls[0])
        world.restart(agent)
        world.deliver_all()
        run_engines(world)
        world.advance(0.3)
        world.deliver_all()
        assert world.run_counts[KEY] == 1
        assert get_problem(world, exchange).kind is ProblemKind.OUTCOME_UNKNOWN

    def test_a_repeat_gets_the_recorded_answer(self) -> None:
        world = LedgerSimulation()
        first = world.send_request("router-1", KEY)
        world.deliver_all()
        run_engines(world)
        second = world.send_request("router-2", KEY)
        world.deliver_all()
        assert world.callers[first].body == world.callers[second].body
        assert world.run_counts[KEY] == 1

    def test_a_repeat_with_another_body_is_refused(self) -> None:
        world = LedgerSimulation()
        world.send_request("router-1", KEY)
        second = world.send_request("router-2", KEY, b"two ewes")
        world.deliver_all()
        assert get_problem(world, second).kind is ProblemKind.KEY_REUSED

    def test_an_answer_lost_after_the_run_is_read_from_the_ledger(self) -> None:
        world = LedgerSimulation()
        exchange = world.send_request("router-1", KEY)
        world.deliver_all()
        world.start_call(world.pending_calls[0])
        world.end_call(world.started_calls[0], fails=False)
        world.deliver(list_envelopes(world, CONTROL_HOST)[0])
        for envelope in list_envelopes(world, world.in_transit[0].target):
            world.deliver(envelope)
        world.drop(list_envelopes(world, "router-1")[0])
        world.deliver_all()
        assert world.callers[exchange].is_finished
        assert world.callers[exchange].body == f"receipt of {KEY}".encode()

    def test_a_deadline_before_the_dispatch_arrives_is_confirmed_as_not_run(
        self,
    ) -> None:
        world = LedgerSimulation()
        exchange = world.send_request("router-1", KEY)
        world.deliver(list_envelopes(world, CONTROL_HOST)[0])
        world.deliver(list_envelopes(world, "router-1")[0])
        world.advance(61.0)
        _, void = [item for item in world.in_transit if item.target != CONTROL_HOST]
        world.deliver(void)
        world.deliver_all()
        problem = get_problem(world, exchange)
        assert problem.kind is ProblemKind.DEADLINE_PASSED
        assert problem.run_state is RunState.NOT_RUN
        run_engines(world)
        assert world.run_counts[KEY] == 0

    def test_a_deadline_while_running_ends_as_unknown_and_is_recorded(self) -> None:
        world = LedgerSimulation()
        exchange = world.send_request("router-1", KEY)
        world.deliver_all()
        world.start_call(world.pending_calls[0])
        for _ in range(5):
            world.advance(61.0)
            world.deliver_all()
        problem = get_problem(world, exchange)
        assert problem.run_state is RunState.UNKNOWN
        run_engines(world)
        repeat = world.send_request("router-2", KEY)
        world.deliver_all()
        assert world.callers[repeat].body == f"receipt of {KEY}".encode()

    def test_an_engine_crash_ends_as_unknown_and_is_not_run_again(self) -> None:
        world = LedgerSimulation()
        first = world.send_request("router-1", KEY)
        world.deliver_all()
        world.start_call(world.pending_calls[0])
        world.end_call(world.started_calls[0], fails=True)
        second = world.send_request("router-2", KEY)
        world.deliver_all()
        world.advance(0.3)
        world.deliver_all()
        kinds = {get_problem(world, item).kind for item in (first, second)}
        assert kinds == {ProblemKind.OUTCOME_UNKNOWN}

    def test_a_refused_call_moves_to_the_next_endpoint(self) -> None:
        world = LedgerSimulation()
        exchange = world.send_request("router-1", KEY)
        world.deliver_all()
        world.fail_unsent_call(world.pending_calls[0])
        world.deliver_all()
        run_engines(world)
        assert world.callers[exchange].body == f"receipt of {KEY}".encode()
        assert world.run_counts[KEY] == 1

    def test_a_quarantined_request_is_claimed_at_one_endpoint_only(self) -> None:
        world = LedgerSimulation()
        exchange = world.send_request("router-1", KEY)
        request = world.states["router-1"].router.exchanges[exchange].request
        suspect = Suspect(compute_fingerprint(request), "booking", 2, world.now + 60)
        for agent in AGENTS:
            world.states[agent].suspects.update(1, (suspect,))
        world.deliver_all()
        problem = get_problem(world, exchange)
        assert problem.kind is ProblemKind.QUARANTINED
        assert problem.run_state is RunState.NOT_RUN
        assert world.states[CONTROL_HOST].control.replicated.ledger.last_number == 1
