"""A control host loses power, and a second later another one loses its disk."""

from __future__ import annotations

import asyncio
import json
import re
import shutil
import signal
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

POWER_LOSS_TIME = 3.5  # seconds, that of the site's node_kill with power
WIPE_DELAY = 1.0  # seconds from the loss of power to the loss of the disk
WIPE_TIME = 3.0  # seconds, that of the site's after_ack_wipe
ROLES = ("control", "router")
LAST_VERSION = 5


def find_leader(site: Site) -> Machine:
    """Return the machine whose control host was elected last."""
    latest: dict[float, Machine] = {}
    for machine in site.machines:
        for line in machine.read_log("control").splitlines():
            if '"event": "GW2001"' in line:
                latest[json.loads(line)["time"]] = machine
    return latest[max(latest)]


def find_voters(site: Site) -> list[Machine]:
    """Return the machines that formed the group: those in the settings."""
    return [item for item in site.machines if item.number in site.seed_numbers]


async def lose_power(machine: Machine, seconds: float, keeps_disk: bool) -> None:
    """Kill a machine's processes; they start again later, at the same address."""
    for role in ROLES:
        machine.signal(role, signal.SIGKILL)
        await machine.processes[role].wait()
    if not keeps_disk:
        for role in ROLES:
            shutil.rmtree(machine.site.folder / f"data-{machine.number}-{role}")
        machine.site.record.write(f"machine {machine.number} has lost its disk")
    await asyncio.sleep(seconds)
    for role in ROLES:
        await machine.start(role)


async def read_version(machine: Machine) -> int:
    """Return the version of the configuration that a machine tells, or 0."""
    status, _, body = await machine.site.call(
        machine.ip, "control", "GET", "/config", timeout=5.0
    )
    version = int(json.loads(body)["version"]) if status == 200 else 0
    machine.site.record.write(
        f"operator reads from machine {machine.number}: {status}, version {version}"
    )
    return version


async def read_repeatedly(site: Site, seconds: float) -> set[int]:
    """Return the versions that the machines tell within some time."""
    versions: set[int] = set()
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for machine in site.machines:
            versions.add(await read_version(machine))
    return versions - {0}


async def put_once(site: Site, machine: Machine, version: int) -> int:
    """Send a configuration to one machine, and return the status of the response."""
    configuration = build_site_configuration(version)
    status, _, _ = await site.call(
        machine.ip, "control", "PUT", "/config", body=json.dumps(configuration).encode()
    )
    site.record.write(
        f"operator sends version {version} to machine {machine.number}: {status}"
    )
    return status


def build_site_configuration(version: int) -> dict[str, object]:
    """Return the configuration of a version."""
    route = build_route("submit", "booking", timeoutMs=1000 + version)
    return build_configuration(version, [route], ["booking"])


def write_groups(site: Site) -> None:
    """Write the members of the control group as the hosts have logged them."""
    for machine in site.machines:
        for line in machine.read_log("control").splitlines():
            if re.search('"event": "GW20(01|02|03|07|16)"', line):
                site.record.write(f"log of machine {machine.number}: {line}")


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether the rule was broken."""
    site = Site(4, record, COFRESTR_SIOE)
    try:
        await site.add_replica("i-1", "booking")
        await site.start(build_site_configuration(1))
        for version in (2, 3):
            await site.put(build_site_configuration(version))
        await asyncio.sleep(site.profile.bounds["stableWindowMs"] / 1000)
        leader = find_leader(site)
        dark, wiped = (x for x in find_voters(site) if x is not leader)
        record.write(
            f"machine {leader.number} leads, {dark.number} and {wiped.number} vote, "
            f"{site.machines[-1].number} stands by"
        )
        troubles = []
        if has_trouble:
            power = lose_power(dark, POWER_LOSS_TIME, keeps_disk=True)
            troubles.append(asyncio.create_task(power))
        await asyncio.sleep(WIPE_DELAY)
        # A change without a clear answer may or may not be in force.
        acknowledged = 3
        if await put_once(site, wiped, LAST_VERSION) == 200:
            acknowledged = LAST_VERSION
        if has_trouble:
            disk = lose_power(wiped, WIPE_TIME, keeps_disk=False)
            troubles.append(asyncio.create_task(disk))
        await asyncio.gather(*troubles)
        record.write("all machines are back")
        # Twice what the pages grant, and the time in which the operator reads.
        await asyncio.sleep(2 * site.profile.bounds["recoverS"])
        versions = await read_repeatedly(site, 10.0)
        write_groups(site)
        status = await put_once(site, leader, LAST_VERSION + 1)
        record.write(
            f"acknowledged: {acknowledged}; read back: {sorted(versions)}; "
            f"the next change: {status}"
        )
        return not versions or min(versions) < acknowledged
    finally:
        await site.stop()


main(str(FOLDER), play)
