"""A new tenant's name ends with a space; its calls come while others are at work."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from harness.fleet import (
    Client,
    Fleet,
    describe_configuration,
    describe_replica,
    describe_route,
    find_free_ports,
    run_case,
    send_once,
)

KEY = "key-of-tenant1"
NEW_KEY = "key-of-the-new-tenant"
NEW_NAME = "Cumann Staire "
CALLERS = 20  # of the first tenant, each on a kept connection
WORK = 0.8  # seconds of a call
TIME = 8.0  # seconds


async def case(fleet: Fleet, has_trouble: bool) -> bool | None:
    """Return whether no call of the first tenant was lost."""
    await fleet.start()
    host = fleet.machines[0].ip
    (port,) = find_free_ports(host, 1)
    replica = f"{host}:{port}"
    fleet.start_replica("i-sound", replica, WORK, 64)
    fleet.set_list([describe_replica("i-sound", "filing", replica, 64)])
    routes = [describe_route("filing", "filing", "unsafe", 5000)]
    document = describe_configuration(7, routes, ["filing"], KEY)
    if (await fleet.put_configuration(document)).status != 200:
        return None
    if not await fleet.wait_until_ready():
        return None
    fleet.note("all routers are ready")
    await asyncio.sleep(2)
    front = fleet.machines[0].address("front")
    end = time.time() + TIME
    calls = [
        asyncio.create_task(call(fleet, front, number, end))
        for number in range(CALLERS)
    ]
    await asyncio.sleep(2)
    name = NEW_NAME if has_trouble else NEW_NAME.strip()
    tenant = {"name": name, "apiKeys": [NEW_KEY], "priority": 1}
    document = {
        **document,
        "version": 9,
        "tenants": [*document["tenants"], tenant],
    }
    answer = await fleet.put_configuration(document)
    fleet.note(f"version 9 with the tenant {name!r}: {answer.status}")
    await asyncio.sleep(2.5)  # over `configMs`
    for number in range(3):
        headers = {
            "authorization": f"Bearer {NEW_KEY}",
            "request-deadline": "1500",
            "request-id": f"new-{number}",
        }
        answer = await send_once(front, "POST /filing/x", headers, b"form", 2.0)
        fleet.note(f"call {number} of the new tenant: {answer.status} {answer.error}")
        await asyncio.sleep(0.3)
    cut = {item for found in await asyncio.gather(*calls) for item in found}
    ran = {x["request"] for x in fleet.read_runs() if x["event"] == "run"}
    broken = cut & ran
    fleet.note_exits()
    fleet.note(f"calls passed on to the sound replica and then cut: {len(broken)}")
    return len(broken) <= 3 if ran else None


async def call(fleet: Fleet, front: str, number: int, end: float) -> list[str]:
    """Call on a kept connection, one call after the other; return those cut."""
    client, cut, turn = Client(front), [], 0
    await asyncio.sleep(number * WORK / CALLERS)
    while time.time() < end:
        turn += 1
        name = f"filing-{number}-{turn}"
        headers = {
            "authorization": f"Bearer {KEY}",
            "request-deadline": "5000",
            "request-id": name,
        }
        answer = await client.send("POST /filing/x", headers, b"form", 6.0)
        if answer.status == 0:
            if not cut:
                fleet.note(f"{name}: {answer.error}")
            cut.append(name)
            await asyncio.sleep(0.5)
        elif answer.status != 200:
            fleet.note(f"{name}: {answer.status}")
        await asyncio.sleep(0.05)
    client.close()
    return cut


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
