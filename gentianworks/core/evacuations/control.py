"""Control: a control host's handlers for evacuations of availability zones."""

from __future__ import annotations

from gentianworks.core.commands.base import (
    Command,
    apply_command,
    handle_outcome,
    handle_unknown_outcome,
)
from gentianworks.core.commands.evacuations import EvacuationSet, SetEvacuation
from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import LogEvent, SendMessage
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.evacuations.registry import MAX_EVACUATED_ZONES
from gentianworks.core.events.evacuations import (
    EvacuationRequested,
    EvacuationsChanged,
)
from gentianworks.core.events.membership import Heartbeat
from gentianworks.core.membership.routers import notify_routers
from gentianworks.core.operators.audit import AuditAction
from gentianworks.core.operators.audited_actions import record_action
from gentianworks.core.operators.read_requests import refuse_pending_request
from gentianworks.core.operators.reports import EvacuationReport
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.proposals import propose
from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.state import State
from gentianworks.core.types import Problem, ProblemKind

RETRY_AFTER = 1.0  # seconds
# Seconds; an operator sends the order to another host after 1 s, by when this host's
# refusal has arrived. A host that proposed it for longer could undo an order that was
# acknowledged elsewhere in the meantime.
ORDER_TIMEOUT = 0.8


@reduce.register
def _(event: EvacuationRequested, state: State, now: float) -> list[Effect]:
    state.operators.pending_requests[event.exchange] = event
    return _propose_order(event, now, state, now)


def _propose_order(
    event: EvacuationRequested, received_at: float, state: State, now: float
) -> list[Effect]:
    command = SetEvacuation(
        proposal=state.create_id(),
        proposed_at=received_at,
        operator=event.operator,
        zone=event.zone,
        is_evacuated=event.is_evacuated,
        known_revision=state.control.replicated.evacuations.revision,
        exchange=event.exchange,
    )
    return propose(command, state, now, received_at + ORDER_TIMEOUT - now)


@apply_command.register
def _(command: SetEvacuation, replicated: ReplicatedState) -> EvacuationSet:
    evacuations = replicated.evacuations
    zone, is_evacuated = command.zone, command.is_evacuated
    if evacuations.is_stale(zone, is_evacuated, command.known_revision):
        return EvacuationSet(evacuations.revision, is_changed=False, is_stale=True)
    if not evacuations.has_room(zone, is_evacuated):
        return EvacuationSet(evacuations.revision, is_changed=False, has_room=False)
    is_changed = evacuations.set_evacuated(zone, is_evacuated)
    if is_changed:
        detail = f"zone {zone}: {_describe_state(is_evacuated)}"
        record_action(
            command, command.operator, AuditAction.EVACUATED, detail, replicated
        )
    return EvacuationSet(evacuations.revision, is_changed)


@handle_unknown_outcome.register
def _(
    command: SetEvacuation, problem: Problem, state: State, now: float
) -> list[Effect]:
    return refuse_pending_request(command.exchange, problem, state)


@handle_outcome.register
def _(
    outcome: EvacuationSet, command: Command, state: State, now: float
) -> list[Effect]:
    assert isinstance(command, SetEvacuation)
    effects = (
        notify_routers(_build_notice(state), state, now) if outcome.is_changed else []
    )
    if outcome.is_stale:
        return _repeat_order(command, state, now)
    request = state.operators.pending_requests.pop(command.exchange, None)
    if request is None:
        return effects
    if not outcome.has_room:
        answer = AnswerOperator(command.exchange, None, _describe_no_room(command))
        return [*effects, answer]
    details = (
        ("operator", command.operator),
        ("zone", command.zone),
        ("state", _describe_state(command.is_evacuated)),
        ("revision", str(outcome.revision)),
        ("changed", str(outcome.is_changed)),
    )
    report = EvacuationReport(command.zone, command.is_evacuated, outcome.revision)
    return [
        LogEvent("GW6004", details),
        AnswerOperator(command.exchange, report),
        *effects,
    ]


def _repeat_order(command: SetEvacuation, state: State, now: float) -> list[Effect]:
    """Propose an order again that its operator still awaits, on the present state."""
    request = state.operators.pending_requests.get(command.exchange)
    if not isinstance(request, EvacuationRequested):
        return []
    if now >= command.proposed_at + ORDER_TIMEOUT:
        return refuse_pending_request(command.exchange, _describe_stale(), state)
    return _propose_order(request, command.proposed_at, state, now)


def send_newer_evacuations(event: Heartbeat, state: State) -> list[Effect]:
    """Send the evacuated zones to a router whose heartbeat has an older revision."""
    revision = state.control.replicated.evacuations.revision
    if event.endpoint or event.evacuations_revision >= revision:
        return []
    return [SendMessage(event.peer_address, _build_notice(state))]


def _build_notice(state: State) -> EvacuationsChanged:
    evacuations = state.control.replicated.evacuations
    zones = tuple(evacuations.zones)
    return EvacuationsChanged(state.node.name, evacuations.revision, zones)


def _describe_state(is_evacuated: bool) -> str:
    return "evacuated" if is_evacuated else "open"


def _describe_stale() -> Problem:
    return Problem(
        ProblemKind.NOT_READY,
        "The state of the zone has changed since the order came; send it again.",
        retry_after=RETRY_AFTER,
    )


def _describe_no_room(command: SetEvacuation) -> Problem:
    return Problem(
        ProblemKind.NOT_READY,
        f"{MAX_EVACUATED_ZONES} zones are evacuated, which is the maximum; "
        f"reopen one before zone {command.zone!r} is evacuated.",
        retry_after=RETRY_AFTER,
    )
