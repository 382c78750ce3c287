"""Hooks: what a failed test tells of its processes, and which of them failed."""

from __future__ import annotations

from collections.abc import Generator, Iterator

import pytest

from standins.fleet import Fleet

LOG_LINES = 15


def list_fleets(item: pytest.Item, call: pytest.CallInfo[None]) -> list[Fleet]:
    """Return the fleets that a test was given or that a failing function held."""
    found = list(getattr(item, "funcargs", {}).values())
    if call.excinfo is not None:
        for entry in call.excinfo.traceback:
            found += entry.frame.f_locals.values()
    fleets = {id(value): value for value in found if isinstance(value, Fleet)}
    return list(fleets.values())


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Add the end of each process's log to the report of a failure."""
    report = yield
    if report.failed:
        for fleet in list_fleets(item, call):
            for name, tail in fleet.read_logs(LOG_LINES).items():
                report.sections.append((f"{name} of {fleet.folder.name}", tail))
    return report


@pytest.fixture(autouse=True)
def no_process_fails(request: pytest.FixtureRequest) -> Iterator[None]:
    """Fail a test in which a process has ended by a fault of its own."""
    yield
    for value in request.node.funcargs.values():
        if isinstance(value, Fleet):
            assert value.take_unexpected_exits() == []
