"""Control: what a control host holds beside the replicated state."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.replication.replicated import Replicated
from gentianworks.core.replication.replication import Replication
from gentianworks.core.types import ExchangeId


@define
class ControlState:
    """Hold the replicated state and who waits for the outcome of a proposal.

    `replication` is None until the journal has been loaded.
    """

    replicated: Replicated = field(factory=Replicated)
    replication: Replication | None = None
    waiting: dict[str, ExchangeId] = field(factory=dict)
