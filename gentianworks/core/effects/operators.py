"""Operators: responses to operators."""

from __future__ import annotations

from attrs import frozen

from gentianworks.core.effects.base import Effect
from gentianworks.core.operators.reports import Report
from gentianworks.core.types import ExchangeId, Problem


@frozen
class AnswerOperator(Effect):
    """Respond to an operator's request with a report or a problem."""

    exchange: ExchangeId
    report: Report | None
    problem: Problem | None = None
