"""Dispatch: the transport of attempts between router and agent."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.events.base import Message
from gentianworks.core.events.dispatch import Dispatch
from gentianworks.core.types import (
    AttemptId,
    ExchangeId,
)


@frozen
class SendDispatch(Effect):
    """Send an attempt to the agent at an HTTP address and read the response."""

    exchange: ExchangeId
    http_address: str
    dispatch: Dispatch


@frozen
class CancelDispatch(Effect):
    """Close the connection of an attempt at the router."""

    attempt: AttemptId


@frozen
class SendFrame(Effect):
    """Send one message of an attempt's response to the router."""

    attempt: AttemptId
    message: Message


@frozen
class CloseDispatch(Effect):
    """Close the connection of an attempt at the agent after its last message."""

    attempt: AttemptId
