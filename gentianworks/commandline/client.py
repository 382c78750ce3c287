"""Client: the calls of commands to the control hosts, each tried in turn."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import urlencode

import cattrs
import httpcore
from attrs import define, frozen
from expression import Error, Ok, Result

from gentianworks.commandline.output import (
    EXIT_BAD_INPUT,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    fail,
)
from gentianworks.core.operators.reports import Report
from gentianworks.secret_files import read_secret

CONNECT_TIMEOUT = 2.0  # seconds
READ_TIMEOUT = 10.0  # seconds
ROUNDS = 3
NO_ANSWER_STATUS = 503
UNREADABLE_STATUS = 400
RETRIED_STATUSES = frozenset({502, 503, 504})

R = TypeVar("R", bound=Report)


@frozen
class Refusal:
    """Hold what a control host refused, by the kind of problem and its detail."""

    status: int
    detail: str

    @property
    def is_retryable(self) -> bool:
        """Tell whether another control host may answer instead."""
        return self.status in RETRIED_STATUSES


@define
class ControlClient:
    """Ask control hosts in turn until one answers."""

    hosts: list[str]
    token: str

    def ask(self, path: str, kind: type[R], **values: object) -> R:
        """Return the report that answers a question."""
        return self._require(self.try_asking(path, kind, **values))

    def try_asking(
        self, path: str, kind: type[R], **values: object
    ) -> Result[R, Refusal]:
        """Return the report that answers a question, or why there is none."""
        query = urlencode({name: str(value) for name, value in values.items()})
        return self._call("GET", f"{path}?{query}", b"", kind)

    def send(self, path: str, document: dict[str, Any], kind: type[R]) -> R:
        """Return the report on an order; it is sent again where an answer is lost."""
        body = json.dumps(document).encode()
        return self._require(self._call("POST", path, body, kind))

    def _require(self, answer: Result[R, Refusal]) -> R:
        if answer.is_ok():
            return answer.ok
        refusal = answer.error
        code = EXIT_UNREACHABLE if refusal.is_retryable else EXIT_REFUSED
        fail(refusal.detail, code)

    def _call(
        self, method: str, target: str, body: bytes, kind: type[R]
    ) -> Result[R, Refusal]:
        details: dict[str, str] = {}
        for host in self.hosts * ROUNDS:
            answer = self._try(host, method, target, body)
            if answer.is_ok():
                return _read_report(answer.ok, kind)
            if not answer.error.is_retryable:
                return Error(answer.error)
            details[host] = answer.error.detail
        text = "\n".join(f"{host}: {detail}" for host, detail in details.items())
        remedy = "No control host gave an answer; name others with --control."
        return Error(Refusal(NO_ANSWER_STATUS, f"{text}\n{remedy}"))

    def _try(
        self, host: str, method: str, target: str, body: bytes
    ) -> Result[bytes, Refusal]:
        try:
            response = httpcore.request(
                method,
                f"http://{host}{target}",
                headers={"authorization": f"Bearer {self.token}"},
                content=body,
                extensions={
                    "timeout": {"connect": CONNECT_TIMEOUT, "read": READ_TIMEOUT}
                },
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as error:
            reason = str(error) or type(error).__name__
            return Error(Refusal(NO_ANSWER_STATUS, f"gave no answer ({reason})."))
        if response.status == 200:
            return Ok(response.content)
        return Error(_read_refusal(response))


def _read_report(content: bytes, kind: type[R]) -> Result[R, Refusal]:
    try:
        return Ok(cattrs.structure(json.loads(content), kind))
    except Exception as error:
        detail = f"The answer can't be read ({error!r}); run one release everywhere."
        return Error(Refusal(UNREADABLE_STATUS, detail))


def _read_refusal(response: httpcore.Response) -> Refusal:
    try:
        detail = json.loads(response.content)["detail"]
    except (ValueError, KeyError):
        detail = f"answered {response.status}; name the HTTP address of a control host."
    return Refusal(response.status, detail)


def create_client(hosts: list[str], token_file: Path) -> ControlClient:
    """Return a client for control hosts, with the token that a file holds."""
    token = read_secret(token_file)
    if token.is_error():
        fail(str(token.error), EXIT_BAD_INPUT)
    addresses = [
        address for host in hosts for address in host.replace(",", " ").split()
    ]
    return ControlClient(addresses, token.ok.decode())
