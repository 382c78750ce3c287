"""Operator exchanges: pass requests of operators to the reducer and await answers."""

from __future__ import annotations

from gentianworks.core.effects.operators import AnswerOperator
from gentianworks.core.events.operators import OperatorRequest
from gentianworks.process import Process, perform


async def submit_request(request: OperatorRequest, process: Process) -> AnswerOperator:
    """Pass a request to the reducer and return its answer."""
    with process.open_outbox(request.exchange) as outbox:
        process.handle(request)
        answer = await outbox.get()
    assert isinstance(answer, AnswerOperator)
    return answer


@perform.register
def _(effect: AnswerOperator, process: Process) -> None:
    outbox = process.outboxes.get(effect.exchange)
    if outbox is not None:
        outbox.put(effect)
