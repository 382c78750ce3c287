"""Recovery: restart time of all control hosts by the number of changes before it."""

from __future__ import annotations

import json
import os
import tempfile
import time
from pathlib import Path
from statistics import median

import anyio
import cattrs
from attrs import asdict, frozen

from benchmarks.tools.result import Result
from gentianworks.commandline.client import ControlClient
from gentianworks.core.operators.reports import ChangeReport, ConfigurationReport
from gentianworks.core.types import Configuration, Workspace
from gentianworks.storage.journal import JOURNAL_FILE, SNAPSHOT_FILE, Journal
from gentianworks.web.pools import create_pool
from standins.fleet import Fleet, wait_until
from standins.members import Member

RECOVERY_BOUND = 8.0  # seconds
CHANGE_COUNTS = (100, 500, 2000)
QUICK_CHANGE_COUNTS = (100, 500)
CLIENT_COUNT = 16
COMMANDS_PER_CLIENT = 40
SYNC_COUNT = 200
SYNC_BYTES = 500


@frozen
class Recovery:
    """Restart of all control hosts after a number of changes."""

    changes: int
    seconds_to_confirmed_read: float
    load_ms: float
    journal_bytes: int
    snapshot_bytes: int
    changes_a_second: float


def main(quick: bool) -> None:
    """Measure restarts of three control hosts and the rate of committed commands."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_controls(3)
        wait_until(lambda: read_revision(fleet.controls[0]) == 0)
        recoveries = measure_recoveries(
            fleet, QUICK_CHANGE_COUNTS if quick else CHANGE_COUNTS
        )
        command_rate = measure_command_rate(fleet.controls[0], recoveries[-1].changes)
        sync_ms = measure_sync_ms(Path(folder))
    worst = max(item.seconds_to_confirmed_read for item in recoveries)
    Result(
        benchmark="recovery",
        figure=round(worst, 3),
        unit="s",
        bound=RECOVERY_BOUND,
        holds=worst <= RECOVERY_BOUND,
        baselines={"sync_ms": sync_ms},
        details={
            "recoveries": [asdict(item) for item in recoveries],
            "commands_a_second": command_rate,
            "clients": CLIENT_COUNT,
        },
    ).print()


def measure_recoveries(fleet: Fleet, counts: tuple[int, ...]) -> list[Recovery]:
    """Apply changes up to each count and measure a restart at that point."""
    recoveries: list[Recovery] = []
    applied = 0
    for count in counts:
        started_at = time.monotonic()
        apply_changes(fleet.controls, applied, count)
        change_rate = (count - applied) / (time.monotonic() - started_at)
        applied = count
        recoveries.append(measure_recovery(fleet, count, change_rate))
    return recoveries


def measure_recovery(fleet: Fleet, count: int, change_rate: float) -> Recovery:
    """Kill and restart all control hosts and wait until each reads the last change."""
    for member in fleet.controls:
        member.kill()
    data_folder = fleet.folder / fleet.controls[0].name / "data"
    started_at = time.monotonic()
    Journal(data_folder).load("unused")
    load_ms = (time.monotonic() - started_at) * 1000
    snapshot = data_folder / SNAPSHOT_FILE
    journal_bytes = (data_folder / JOURNAL_FILE).stat().st_size
    snapshot_bytes = snapshot.stat().st_size if snapshot.exists() else 0
    started_at = time.monotonic()
    for member in fleet.controls:
        fleet.restart(member.name)
    wait_until(lambda: all(read_revision(item) == count for item in fleet.controls))
    return Recovery(
        changes=count,
        seconds_to_confirmed_read=round(time.monotonic() - started_at, 3),
        load_ms=round(load_ms, 2),
        journal_bytes=journal_bytes,
        snapshot_bytes=snapshot_bytes,
        changes_a_second=round(change_rate, 1),
    )


def apply_changes(members: list[Member], first: int, last: int) -> None:
    """Apply changes sequentially from revision `first` to revision `last`."""
    client = ControlClient(
        [member.http_address for member in members], members[0].token
    )
    for revision in range(first, last):
        document = build_change(f"change-{revision + 1}", revision)
        client.submit("/changes", document, ChangeReport)


def build_change(change: str, revision: int) -> dict[str, object]:
    """Return a change that declares one workspace."""
    configuration = Configuration(workspaces=(Workspace(change),))
    return {
        "change": change,
        "expected_revision": revision,
        "configuration": cattrs.unstructure(configuration),
    }


def read_revision(member: Member) -> int | None:
    """Return the revision that a host reads with a quorum, or None if it cannot."""
    client = ControlClient([member.http_address], member.token)
    response = client.try_fetch("/configuration", ConfigurationReport)
    return response.ok.configuration.revision if response.is_ok() else None


def measure_command_rate(member: Member, revision: int) -> float:
    """Return the commands per second that concurrent clients get committed.

    All changes but the first are rejected, as they expect an older revision, but each
    is recorded.
    """
    started_at = time.monotonic()
    anyio.run(_send_all, member, revision)
    return round(
        CLIENT_COUNT * COMMANDS_PER_CLIENT / (time.monotonic() - started_at), 1
    )


async def _send_all(member: Member, revision: int) -> None:
    async with create_pool() as pool, anyio.create_task_group() as tasks:

        async def send(client: int) -> None:
            for number in range(COMMANDS_PER_CLIENT):
                change = build_change(f"many-{client}-{number}", revision)
                response = await pool.request(
                    "POST",
                    f"http://{member.http_address}/changes",
                    headers={"authorization": f"Bearer {member.token}"},
                    content=json.dumps(change).encode(),
                )
                assert response.status in {200, 409}, response.content

        for client in range(CLIENT_COUNT):
            tasks.start_soon(send, client)


def measure_sync_ms(folder: Path) -> float:
    """Return the median duration of a small write with fdatasync, in milliseconds."""
    times = []
    with (folder / "sync").open("wb") as file:
        for _ in range(SYNC_COUNT):
            started_at = time.monotonic()
            file.write(b"x" * SYNC_BYTES)
            file.flush()
            os.fdatasync(file.fileno())
            times.append(time.monotonic() - started_at)
    return round(median(times) * 1000, 3)
