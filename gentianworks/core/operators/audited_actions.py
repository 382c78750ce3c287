"""Audited actions: entries of the audit trail that change no configuration."""

from __future__ import annotations

from gentianworks.core.commands.base import Command
from gentianworks.core.operators.audit import AuditAction, AuditEntry
from gentianworks.core.replication.replicated_state import ReplicatedState


def record_action(
    command: Command,
    operator: str,
    action: AuditAction,
    detail: str,
    replicated: ReplicatedState,
) -> None:
    """Add an operator's action to the audit trail."""
    revision = replicated.configuration.revision
    entry = AuditEntry(
        index=0,
        at=command.proposed_at,
        operator=operator,
        action=action,
        change=command.proposal,
        from_revision=revision,
        to_revision=revision,
        detail=(detail,),
    )
    replicated.audit.record(entry)
