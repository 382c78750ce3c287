"""Recovery: a restart of all control hosts against the number of changes before it."""

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
CHANGES = (100, 500, 2000)
QUICK_CHANGES = (100, 500)
CLIENTS = 16
COMMANDS_A_CLIENT = 40
SYNCS = 200
SYNC_BYTES = 500


@frozen
class Recovery:
    """Hold one restart of all control hosts."""

    changes: int
    seconds_to_confirmed_read: float
    load_ms: float
    journal_bytes: int
    snapshot_bytes: int
    changes_a_second: float


def main(quick: bool) -> None:
    """Measure restarts of three control hosts and the commands that they commit."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_controls(3)
        wait_until(lambda: read_revision(fleet.controls[0]) == 0)
        rows = measure_recoveries(fleet, QUICK_CHANGES if quick else CHANGES)
        commands = measure_commands(fleet.controls[0], rows[-1].changes)
        sync_ms = measure_sync(Path(folder))
    worst = max(row.seconds_to_confirmed_read for row in rows)
    Result(
        benchmark="recovery",
        figure=round(worst, 3),
        unit="s",
        bound=RECOVERY_BOUND,
        holds=worst <= RECOVERY_BOUND,
        baselines={"sync_ms": sync_ms},
        details={
            "recoveries": [asdict(row) for row in rows],
            "commands_a_second": commands,
            "clients": CLIENTS,
        },
    ).print()


def measure_recoveries(fleet: Fleet, counts: tuple[int, ...]) -> list[Recovery]:
    """Apply changes up to each count and restart all control hosts there."""
    rows: list[Recovery] = []
    applied = 0
    for count in counts:
        began = time.monotonic()
        apply_changes(fleet.controls, applied, count)
        rate = (count - applied) / (time.monotonic() - began)
        applied = count
        rows.append(measure_recovery(fleet, count, rate))
    return rows


def measure_recovery(fleet: Fleet, count: int, rate: float) -> Recovery:
    """Kill and restart all control hosts and wait until each reads the last change."""
    for member in fleet.controls:
        member.kill()
    data = fleet.folder / fleet.controls[0].name / "data"
    began = time.monotonic()
    Journal(data).load("unused")
    load_ms = (time.monotonic() - began) * 1000
    snapshot = data / SNAPSHOT_FILE
    journal_bytes = (data / JOURNAL_FILE).stat().st_size
    snapshot_bytes = snapshot.stat().st_size if snapshot.exists() else 0
    began = time.monotonic()
    for member in fleet.controls:
        fleet.restart(member.name)
    wait_until(lambda: all(read_revision(item) == count for item in fleet.controls))
    return Recovery(
        changes=count,
        seconds_to_confirmed_read=round(time.monotonic() - began, 3),
        load_ms=round(load_ms, 2),
        journal_bytes=journal_bytes,
        snapshot_bytes=snapshot_bytes,
        changes_a_second=round(rate, 1),
    )


def apply_changes(members: list[Member], first: int, last: int) -> None:
    """Apply changes one after the other."""
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
    """Return the revision that a host reads past a quorum, or None."""
    client = ControlClient([member.http_address], member.token)
    answer = client.try_fetch("/configuration", ConfigurationReport)
    return answer.ok.configuration.revision if answer.is_ok() else None


def measure_commands(member: Member, revision: int) -> float:
    """Return the commands a second that many clients get committed at once.

    All but the first change find a newer revision; each is put on record all the same.
    """
    began = time.monotonic()
    anyio.run(_send_all, member, revision)
    return round(CLIENTS * COMMANDS_A_CLIENT / (time.monotonic() - began), 1)


async def _send_all(member: Member, revision: int) -> None:
    async with create_pool() as pool, anyio.create_task_group() as tasks:

        async def send(client: int) -> None:
            for number in range(COMMANDS_A_CLIENT):
                change = build_change(f"many-{client}-{number}", revision)
                answer = await pool.request(
                    "POST",
                    f"http://{member.http_address}/changes",
                    headers={"authorization": f"Bearer {member.token}"},
                    content=json.dumps(change).encode(),
                )
                assert answer.status in {200, 409}, answer.content

        for client in range(CLIENTS):
            tasks.start_soon(send, client)


def measure_sync(folder: Path) -> float:
    """Return the median time of one small synced write, in milliseconds."""
    times = []
    with (folder / "sync").open("wb") as file:
        for _ in range(SYNCS):
            began = time.monotonic()
            file.write(b"x" * SYNC_BYTES)
            file.flush()
            os.fdatasync(file.fileno())
            times.append(time.monotonic() - began)
    return round(median(times) * 1000, 3)
