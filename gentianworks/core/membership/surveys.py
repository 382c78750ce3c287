"""Surveys: reports on the nodes, which control hosts request from the leader."""

from __future__ import annotations

from functools import singledispatch

from gentianworks.core.effects.base import Effect
from gentianworks.core.effects.lifecycle import SendMessage, SetTimer
from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.operators import (
    PlacementRequested,
    StatusRequested,
    SurveyedNode,
    SurveyGiven,
    SurveyRequested,
    SurveyTimedOut,
    SurveyWanted,
)
from gentianworks.core.load.bound import sum_loads
from gentianworks.core.membership.roster import Member
from gentianworks.core.operators.read_requests import (
    answer_confirmed,
    answer_unconfirmed,
)
from gentianworks.core.operators.reports import (
    CandidateReport,
    ControlReport,
    NodeReport,
    PlacementReport,
    RankReport,
    Report,
    ServiceReport,
    StatusReport,
)
from gentianworks.core.quarantine.suspects import Suspect
from gentianworks.core.reducer import reduce
from gentianworks.core.replication.elections import is_leading
from gentianworks.core.routing.placement import order_endpoints
from gentianworks.core.state import State
from gentianworks.core.types import (
    Endpoint,
    Load,
    Problem,
    Rank,
    Request,
    Role,
    Service,
)

SURVEY_TIMEOUT = 1.0  # seconds

Nodes = tuple[SurveyedNode, ...]


@answer_confirmed.register
def _(request: SurveyRequested, state: State, now: float) -> list[Effect]:
    replication = state.control.replication
    if replication is None or is_leading(state, now):
        return _answer(request, list_surveyed_nodes(state, now), state, True)
    message = SurveyWanted(
        sender=state.node.name,
        exchange=request.exchange,
        peer_address=state.node.peer_address,
    )
    timer = SetTimer(now + SURVEY_TIMEOUT, SurveyTimedOut(request.exchange))
    return [timer, SendMessage(replication.leader_address, message)]


@reduce.register
def _(event: SurveyWanted, state: State, now: float) -> list[Effect]:
    if not is_leading(state, now):
        return []
    nodes = list_surveyed_nodes(state, now)
    message = SurveyGiven(state.node.name, event.exchange, nodes)
    return [SendMessage(event.peer_address, message)]


@reduce.register
def _(event: SurveyGiven, state: State, now: float) -> list[Effect]:
    request = state.operators.pending_requests.get(event.exchange)
    if not isinstance(request, SurveyRequested):
        return []
    return _answer(request, event.nodes, state, True)


@reduce.register
def _(event: SurveyTimedOut, state: State, now: float) -> list[Effect]:
    request = state.operators.pending_requests.get(event.exchange)
    if not isinstance(request, SurveyRequested):
        return []
    return _answer(request, (), state, True)


@answer_unconfirmed.register
def _(
    request: StatusRequested, problem: Problem, state: State, now: float
) -> list[Effect]:
    return _answer(request, list_surveyed_nodes(state, now), state, False)


def _answer(
    request: SurveyRequested, nodes: Nodes, state: State, is_confirmed: bool
) -> list[Effect]:
    state.operators.pending_requests.pop(request.exchange, None)
    report = build_survey_report(request, nodes, state, is_confirmed)
    return [AnswerOperator(request.exchange, report)]


def list_surveyed_nodes(state: State, now: float) -> Nodes:
    """Return the nodes that this control host tracks as the leader."""
    members = sorted(state.roster.members.items())
    return tuple(_build_surveyed_node(member, state, now) for _, member in members)


def _build_surveyed_node(member: Member, state: State, now: float) -> SurveyedNode:
    heartbeat = member.heartbeat
    endpoint = state.configuration.find_endpoint(heartbeat.endpoint)
    is_listed = endpoint is not None and state.roster.is_listed_leaving(endpoint)
    return SurveyedNode(
        heartbeat=heartbeat,
        seconds_ago=round(now - member.last_heartbeat_at, 1),
        is_live=member.is_live(now),
        is_leaving=heartbeat.is_leaving or is_listed,
        is_held=member.is_held(now),
    )


@singledispatch
def build_survey_report(
    request: SurveyRequested, nodes: Nodes, state: State, is_confirmed: bool
) -> Report:
    """Return the report that answers a request for a survey of the nodes."""
    raise NotImplementedError(
        f"No survey report is registered for {type(request).__name__}; "
        f"register a function with build_survey_report.register."
    )


@build_survey_report.register
def _(
    request: StatusRequested, nodes: Nodes, state: State, is_confirmed: bool
) -> Report:
    return StatusReport(
        host=state.node.name,
        is_confirmed=is_confirmed,
        revision=state.control.replicated.configuration.revision,
        controls=_report_controls(state),
        nodes=tuple(_report_node(node) for node in nodes),
        services=tuple(
            _report_service(service, nodes, state)
            for service in state.configuration.services
        ),
        quarantined=_list_quarantined(state),
        orders=state.control.replicated.orders.list_latest(),
        ranks=tuple(_report_rank(rank, nodes) for rank in state.configuration.ranks),
    )


def _list_quarantined(state: State) -> tuple[Suspect, ...]:
    suspects = state.control.replicated.suspects.list_latest()
    return tuple(item for item in suspects if item.is_quarantined)


def _report_controls(state: State) -> tuple[ControlReport, ...]:
    replication = state.control.replication
    if replication is None:
        return ()
    return tuple(
        ControlReport(
            host=member.host,
            peer_address=member.peer_address,
            is_leader=member.host == replication.leader,
            is_learner=member.is_learner,
        )
        for member in replication.membership.members
    )


def _report_node(node: SurveyedNode) -> NodeReport:
    heartbeat = node.heartbeat
    return NodeReport(
        name=heartbeat.sender,
        role=Role.AGENT if heartbeat.endpoint else Role.ROUTER,
        endpoint=heartbeat.endpoint,
        revision=heartbeat.revision,
        seconds_ago=node.seconds_ago,
        is_live=node.is_live,
        is_leaving=node.is_leaving,
        is_held=node.is_held,
        requests=heartbeat.load.requests,
        queued=heartbeat.load.queued,
    )


def _report_service(service: Service, nodes: Nodes, state: State) -> ServiceReport:
    endpoints = {
        endpoint.name for endpoint in state.configuration.list_endpoints(service.name)
    }
    loads = [
        node.heartbeat.load
        for node in nodes
        if node.is_live and node.heartbeat.endpoint in endpoints
    ]
    total: Load = sum_loads(loads)
    return ServiceReport(
        service=service.name,
        endpoints=len(endpoints),
        live=len(loads),
        requests=total.requests,
        queued=total.queued,
        cost=total.cost,
    )


def _report_rank(rank: Rank, nodes: Nodes) -> RankReport:
    loads = [
        load
        for node in nodes
        for load in node.heartbeat.ranks
        if node.is_live and load.rank == rank.name
    ]
    return RankReport(
        rank=rank.name,
        requests=sum(load.requests for load in loads),
        queued=sum(load.queued for load in loads),
    )


@build_survey_report.register
def _(
    request: PlacementRequested, nodes: Nodes, state: State, is_confirmed: bool
) -> Report:
    node_by_endpoint = {node.heartbeat.endpoint: node for node in nodes}
    return PlacementReport(
        service=request.service,
        workspace=request.workspace,
        chat=request.chat,
        revision=state.configuration.revision,
        candidates=tuple(
            _report_candidate(endpoint, node_by_endpoint.get(endpoint.name), state)
            for endpoint in _order_endpoints(request, state)
        ),
    )


def _order_endpoints(request: PlacementRequested, state: State) -> list[Endpoint]:
    endpoints = state.configuration.list_endpoints(request.service)
    chat = Request(
        service=request.service,
        workspace=request.workspace,
        rank="",
        method="POST",
        path="",
        headers=(),
        body=b"",
        chat=request.chat,
    )
    return order_endpoints(chat, request.exchange, endpoints)


def _report_candidate(
    endpoint: Endpoint, node: SurveyedNode | None, state: State
) -> CandidateReport:
    reason = _explain_refusal(node)
    if endpoint.availability_zone in state.control.replicated.evacuations.zones:
        reason = "its availability zone is evacuated"
    return CandidateReport(
        endpoint=endpoint.name,
        availability_zone=endpoint.availability_zone,
        is_usable=not reason,
        reason=reason,
    )


def _explain_refusal(node: SurveyedNode | None) -> str:
    if node is None:
        return "no heartbeat received by the leading control host"
    if not node.is_live:
        return f"silent for {node.seconds_ago:g} s"
    if node.is_leaving:
        return "leaving"
    return "held back after repeated restarts or outages" if node.is_held else ""
