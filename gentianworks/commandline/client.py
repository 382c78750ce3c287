"""Client: sends requests of commands to the control hosts, with failover."""

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
MAX_ROUNDS = 3  # passes over the list of hosts
NO_RESPONSE_STATUS = 503
UNREADABLE_STATUS = 400
RETRIED_STATUSES = frozenset({502, 503, 504})

R = TypeVar("R", bound=Report)


@frozen
class RequestFailure:
    """Failed request to a control host, by HTTP status and detail."""

    status: int
    detail: str

    @property
    def is_retryable(self) -> bool:
        """Return whether another control host may answer the request."""
        return self.status in RETRIED_STATUSES


@define
class ControlClient:
    """Client that tries the control hosts in turn until one answers."""

    hosts: list[str]
    token: str

    def fetch(self, path: str, kind: type[R], **values: object) -> R:
        """Return a report; raises typer.Exit on failure."""
        return self._unwrap(self.try_fetch(path, kind, **values))

    def try_fetch(
        self, path: str, kind: type[R], **values: object
    ) -> Result[R, RequestFailure]:
        """Return a report, or why the request failed."""
        query = urlencode({name: str(value) for name, value in values.items()})
        return self._call("GET", f"{path}?{query}", b"", kind)

    def submit(self, path: str, document: dict[str, Any], kind: type[R]) -> R:
        """Send a document and return the report; raises typer.Exit on failure.

        The request is resent if a response is lost, so it must be idempotent.
        """
        body = json.dumps(document).encode()
        return self._unwrap(self._call("POST", path, body, kind))

    def _unwrap(self, answer: Result[R, RequestFailure]) -> R:
        if answer.is_ok():
            return answer.ok
        failure = answer.error
        code = EXIT_UNREACHABLE if failure.is_retryable else EXIT_REFUSED
        fail(failure.detail, code)

    def _call(
        self, method: str, target: str, body: bytes, kind: type[R]
    ) -> Result[R, RequestFailure]:
        details: dict[str, str] = {}
        for host in self.hosts * MAX_ROUNDS:
            answer = self._request(host, method, target, body)
            if answer.is_ok():
                return _read_report(answer.ok, kind)
            if not answer.error.is_retryable:
                return Error(answer.error)
            details[host] = answer.error.detail
        text = "\n".join(f"{host}: {detail}" for host, detail in details.items())
        remedy = "No control host responded; specify others with --control."
        return Error(RequestFailure(NO_RESPONSE_STATUS, f"{text}\n{remedy}"))

    def _request(
        self, host: str, method: str, target: str, body: bytes
    ) -> Result[bytes, RequestFailure]:
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
            return Error(RequestFailure(NO_RESPONSE_STATUS, f"no response ({reason})."))
        if response.status == 200:
            return Ok(response.content)
        return Error(_read_failure(response))


def _read_report(content: bytes, kind: type[R]) -> Result[R, RequestFailure]:
    try:
        return Ok(cattrs.structure(json.loads(content), kind))
    except Exception as error:
        detail = f"The response can't be read ({error!r}); run one release everywhere."
        return Error(RequestFailure(UNREADABLE_STATUS, detail))


def _read_failure(response: httpcore.Response) -> RequestFailure:
    try:
        detail = json.loads(response.content)["detail"]
    except (ValueError, KeyError):
        detail = (
            f"answered {response.status}; specify the HTTP address of a control host."
        )
    return RequestFailure(response.status, detail)


def create_client(hosts: list[str], token_file: Path) -> ControlClient:
    """Return a client for control hosts, with the token from a file."""
    token = read_secret(token_file)
    if token.is_error():
        fail(str(token.error), EXIT_BAD_INPUT)
    addresses = [
        address for host in hosts for address in host.replace(",", " ").split()
    ]
    return ControlClient(addresses, token.ok.decode())
