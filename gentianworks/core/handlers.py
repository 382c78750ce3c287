"""Handlers: importing this module registers the handlers of every subject."""

from __future__ import annotations

from gentianworks.core import lifecycle
from gentianworks.core.admission import preemption as admission_preemption
from gentianworks.core.agents import arrivals as agents_arrivals
from gentianworks.core.agents import engine_answers as agents_engine_answers
from gentianworks.core.agents import reconciliation as agents_reconciliation
from gentianworks.core.agents import registration as agents_registration
from gentianworks.core.agents import scheduler as agents_scheduler
from gentianworks.core.cache import moves as cache_moves
from gentianworks.core.cache import offers as cache_offers
from gentianworks.core.cold_replicas import routers as cold_replicas_routers
from gentianworks.core.configuration import (
    change_requests as configuration_change_requests,
)
from gentianworks.core.configuration import distribution as configuration_distribution
from gentianworks.core.evacuations import control as evacuations_control
from gentianworks.core.evacuations import routers as evacuations_routers
from gentianworks.core.gateway import attempts as gateway_attempts
from gentianworks.core.gateway import crashes as gateway_crashes
from gentianworks.core.gateway import dispatch as gateway_dispatch
from gentianworks.core.gateway import route_updates as gateway_route_updates
from gentianworks.core.gateway import suspect_updates as gateway_suspect_updates
from gentianworks.core.ledger import claim_failures as ledger_claim_failures
from gentianworks.core.ledger import claimed_runs as ledger_claimed_runs
from gentianworks.core.ledger import claims as ledger_claims
from gentianworks.core.ledger import control_claims as ledger_control_claims
from gentianworks.core.load import falls as load_falls
from gentianworks.core.load import reports as load_reports
from gentianworks.core.membership import heartbeats as membership_heartbeats
from gentianworks.core.membership import surveys as membership_surveys
from gentianworks.core.operators import read_requests as operators_read_requests
from gentianworks.core.orders import agent_orders as orders_agent_orders
from gentianworks.core.orders import control_orders as orders_control_orders
from gentianworks.core.outliers import control as outliers_control
from gentianworks.core.outliers import routers as outliers_routers
from gentianworks.core.quarantine import (
    control_quarantine as quarantine_control_quarantine,
)
from gentianworks.core.quarantine import control_trials as quarantine_control_trials
from gentianworks.core.quarantine import enforcement as quarantine_enforcement
from gentianworks.core.quarantine import replica_crashes as quarantine_replica_crashes
from gentianworks.core.quarantine import suspect_updates as quarantine_suspect_updates
from gentianworks.core.reducer import reduce
from gentianworks.core.replica_list import discovery as replica_list_discovery
from gentianworks.core.replication import follower as replication_follower
from gentianworks.core.replication import formation as replication_formation
from gentianworks.core.replication import snapshots as replication_snapshots
from gentianworks.core.replication import timers as replication_timers
from gentianworks.core.routing import answers as routing_answers
from gentianworks.core.routing import dispatch as routing_dispatch

__all__ = [
    "admission_preemption",
    "agents_arrivals",
    "agents_engine_answers",
    "agents_reconciliation",
    "agents_registration",
    "agents_scheduler",
    "cache_moves",
    "cache_offers",
    "cold_replicas_routers",
    "configuration_change_requests",
    "configuration_distribution",
    "evacuations_control",
    "evacuations_routers",
    "gateway_attempts",
    "replica_list_discovery",
    "gateway_dispatch",
    "gateway_crashes",
    "gateway_route_updates",
    "gateway_suspect_updates",
    "ledger_claim_failures",
    "ledger_claimed_runs",
    "ledger_claims",
    "ledger_control_claims",
    "lifecycle",
    "load_falls",
    "load_reports",
    "membership_heartbeats",
    "membership_surveys",
    "operators_read_requests",
    "orders_agent_orders",
    "orders_control_orders",
    "outliers_control",
    "outliers_routers",
    "quarantine_control_quarantine",
    "quarantine_control_trials",
    "quarantine_enforcement",
    "quarantine_replica_crashes",
    "quarantine_suspect_updates",
    "reduce",
    "replication_follower",
    "replication_formation",
    "replication_snapshots",
    "replication_timers",
    "routing_answers",
    "routing_dispatch",
]
