"""Outliers: routers' reports of failures, and the replicas to avoid."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.events.base import Message
from gentianworks.core.gateway.replicas import ReplicaName
from gentianworks.core.outliers.outcomes import FailureReport


@frozen
class ReplicaFailuresReported(Message):
    """A router's report to the leader of failures at a replica."""

    peer_address: str
    report: FailureReport


@frozen
class OutliersChanged(Message):
    """Replicas to avoid, each for a time in seconds, sent to the routers."""

    ejected: dict[ReplicaName, float]
