"""Control: the state of a control host, replicated and local."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.replication.replicated_state import ReplicatedState
from gentianworks.core.replication.replication import Replication
from gentianworks.core.types import ExchangeId


@define
class ControlState:
    """Replicated state, replication and pending callers of a control host.

    `replication` is None until the journal has been loaded;
    `exchanges_by_proposal` maps a proposal to the exchange that waits for its outcome.
    """

    replicated: ReplicatedState = field(factory=ReplicatedState)
    replication: Replication | None = None
    exchanges_by_proposal: dict[str, ExchangeId] = field(factory=dict)
