"""An operator whose first configuration has version 0."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from small_site import (  # noqa: E402
    COFRESTR_SIOE,
    Machine,
    Record,
    Site,
    build_configuration,
    build_route,
    main,
)

READ_TIME = 12.0  # seconds; the site's recoverS, four times its stableWindowMs


async def read_version(site: Site, machine: Machine) -> int | None:
    """Return the version of the configuration that a machine tells, or None."""
    status, _, body = await site.call(machine.ip, "control", "GET", "/config")
    version = int(json.loads(body)["version"]) if status == 200 else None
    site.record.write(
        f"operator reads from machine {machine.number}: {status}, version {version}"
    )
    return version


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether the rule was broken."""
    version = 0 if has_trouble else 1
    site = Site(3, record, COFRESTR_SIOE)
    try:
        await site.add_replica("i-1", "booking")
        await site.launch()
        route = build_route("submit", "booking")
        status = await site.put(build_configuration(version, [route], ["booking"]))
        await asyncio.sleep(site.profile.bounds["configMs"] / 1000)
        versions: set[int | None] = set()
        end = time.monotonic() + READ_TIME
        while time.monotonic() < end and versions != {version}:
            for machine in site.machines:
                versions.add(await read_version(site, machine))
            await asyncio.sleep(1.0)
        served = 0
        for machine in site.machines:
            ready, _, _ = await site.call(machine.ip, "ready", "GET", "/ready")
            record.write(f"machine {machine.number}: ready check answers {ready}")
            answer, _, _ = await site.send(
                machine, f"request-{machine.number}", "/submit/x"
            )
            served += answer == 200
        record.write(
            f"version {version} was answered with {status}; read back: {versions}; "
            f"{served} of {len(site.machines)} requests served"
        )
        return status == 200 and versions != {version}
    finally:
        await site.stop()


main(str(FOLDER), play)
