"""Replicated state: what the control hosts agree on and store on disk."""

from __future__ import annotations

from attrs import define, field

from gentianworks.core.configuration.change_log import ChangeLog
from gentianworks.core.evacuations.registry import Evacuations
from gentianworks.core.ledger.ledger import Ledger
from gentianworks.core.operators.audit import AuditTrail
from gentianworks.core.orders.fencing import OrderRegistry
from gentianworks.core.orders.records import OrderRecords
from gentianworks.core.quarantine.replica_suspects import ReplicaSuspectRegistry
from gentianworks.core.quarantine.suspects import SuspectRegistry
from gentianworks.core.replication.members import Membership
from gentianworks.core.types import Configuration


@define
class ReplicatedState:
    """State that survives the loss of a minority of control hosts."""

    configuration: Configuration = field(factory=Configuration)
    membership: Membership = field(factory=Membership)
    changes: ChangeLog = field(factory=ChangeLog)
    audit: AuditTrail = field(factory=AuditTrail)
    ledger: Ledger = field(factory=Ledger)
    suspects: SuspectRegistry = field(factory=SuspectRegistry)
    replica_suspects: ReplicaSuspectRegistry = field(factory=ReplicaSuspectRegistry)
    orders: OrderRegistry = field(factory=OrderRegistry)
    order_records: OrderRecords = field(factory=OrderRecords)
    evacuations: Evacuations = field(factory=Evacuations)
