"""Handlers: import this module to register every subject with the reducer."""

from __future__ import annotations

from gentianworks.core import lifecycle
from gentianworks.core.admission import preemption as admission_preemption
from gentianworks.core.agents import arrivals as agents_arrivals
from gentianworks.core.agents import engine_answers as agents_engine_answers
from gentianworks.core.agents import recounting as agents_recounting
from gentianworks.core.agents import registration as agents_registration
from gentianworks.core.agents import serving as agents_serving
from gentianworks.core.cache import moves as cache_moves
from gentianworks.core.cache import offers as cache_offers
from gentianworks.core.configuration import (
    change_requests as configuration_change_requests,
)
from gentianworks.core.configuration import distribution as configuration_distribution
from gentianworks.core.gateway import attempts as gateway_attempts
from gentianworks.core.gateway import listing as gateway_listing
from gentianworks.core.gateway import replacing as gateway_replacing
from gentianworks.core.gateway import serving as gateway_serving
from gentianworks.core.ledger import claim_ends as ledger_claim_ends
from gentianworks.core.ledger import claim_keeping as ledger_claim_keeping
from gentianworks.core.ledger import claims as ledger_claims
from gentianworks.core.ledger import recording as ledger_recording
from gentianworks.core.load import falls as load_falls
from gentianworks.core.load import reports as load_reports
from gentianworks.core.membership import heartbeats as membership_heartbeats
from gentianworks.core.membership import surveys as membership_surveys
from gentianworks.core.operators import reporting as operators_reporting
from gentianworks.core.orders import ordering as orders_ordering
from gentianworks.core.orders import orders as orders_orders
from gentianworks.core.quarantine import (
    control_quarantine as quarantine_control_quarantine,
)
from gentianworks.core.quarantine import control_trials as quarantine_control_trials
from gentianworks.core.quarantine import enforcement as quarantine_enforcement
from gentianworks.core.quarantine import suspect_updates as quarantine_suspect_updates
from gentianworks.core.reducer import reduce
from gentianworks.core.replication import following as replication_following
from gentianworks.core.replication import formation as replication_formation
from gentianworks.core.replication import snapshots as replication_snapshots
from gentianworks.core.replication import timers as replication_timers
from gentianworks.core.routing import answers as routing_answers
from gentianworks.core.routing import routing as routing_routing

__all__ = [
    "admission_preemption",
    "agents_arrivals",
    "agents_engine_answers",
    "agents_recounting",
    "agents_registration",
    "agents_serving",
    "cache_moves",
    "cache_offers",
    "configuration_change_requests",
    "configuration_distribution",
    "gateway_attempts",
    "gateway_listing",
    "gateway_replacing",
    "gateway_serving",
    "ledger_claim_ends",
    "ledger_claim_keeping",
    "ledger_claims",
    "ledger_recording",
    "lifecycle",
    "load_falls",
    "load_reports",
    "membership_heartbeats",
    "membership_surveys",
    "operators_reporting",
    "orders_ordering",
    "orders_orders",
    "quarantine_enforcement",
    "quarantine_control_quarantine",
    "quarantine_suspect_updates",
    "quarantine_control_trials",
    "reduce",
    "replication_following",
    "replication_formation",
    "replication_snapshots",
    "replication_timers",
    "routing_answers",
    "routing_routing",
]
