"""The operator takes away the last tenant, whose client stays connected."""

from __future__ import annotations

import asyncio
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
UNKNOWN_KEY = "key-that-nobody-has"
CONFIG_TIME = 2.0  # seconds; `configMs` of the sheets
CALLS = 10


async def case(fleet: Fleet, has_trouble: bool) -> bool | None:
    """Return whether no call with a key that isn't in force has run."""
    await fleet.start()
    host = fleet.machines[0].ip
    (port,) = find_free_ports(host, 1)
    replica = f"{host}:{port}"
    fleet.start_replica("i-sound", replica, 0.02, 64)
    fleet.set_list([describe_replica("i-sound", "filing", replica, 64)])
    routes = [describe_route("filing", "filing", "unsafe", 5000)]
    document = describe_configuration(7, routes, ["filing"], KEY)
    if (await fleet.put_configuration(document)).status != 200:
        return None
    if not await fleet.wait_until_ready():
        return None
    fleet.note("all routers are ready; version 7 has one tenant with one key")
    await asyncio.sleep(2)
    clients = [Client(item.address("front")) for item in fleet.machines]
    await ask(fleet, clients, KEY, "before")
    await ask_anew(fleet, UNKNOWN_KEY, "unknown-before")
    tenants = [] if has_trouble else document["tenants"]
    answer = await fleet.put_configuration(
        {**document, "version": 9, "tenants": tenants}
    )
    fleet.note(f"version 9 with {len(tenants)} tenants: {answer.status}")
    if answer.status != 200:
        return None
    await asyncio.sleep(CONFIG_TIME + 3)  # and `stableWindowMs`
    await ask(fleet, clients, KEY, "after")
    await ask_anew(fleet, UNKNOWN_KEY, "unknown-after")
    ran = [x["request"] for x in fleet.read_runs() if x["event"] == "run"]
    revoked = [item for item in ran if item.startswith("after") and has_trouble]
    unknown = [item for item in ran if item.startswith("unknown")]
    fleet.note(f"calls with the key that was taken away, that ran: {len(revoked)}")
    fleet.note(f"calls with a key of no configuration, that ran: {len(unknown)}")
    return not revoked and not unknown


async def ask(fleet: Fleet, clients: list[Client], key: str, name: str) -> None:
    """Send calls on kept connections, some to each router."""
    statuses = []
    for number in range(CALLS):
        client = clients[number % len(clients)]
        headers = build_headers(key, f"{name}-{number}")
        answer = await client.send("POST /filing/x", headers, b"form", 2.0)
        statuses.append(answer.status)
    fleet.note(f"{name}: {statuses}")


async def ask_anew(fleet: Fleet, key: str, name: str) -> None:
    """Send calls on new connections, some to each router."""
    statuses = []
    for number in range(CALLS):
        front = fleet.machines[number % len(fleet.machines)].address("front")
        headers = build_headers(key, f"{name}-{number}")
        answer = await send_once(front, "POST /filing/x", headers, b"form", 2.0)
        statuses.append(answer.status)
    fleet.note(f"{name}: {statuses}")


def build_headers(key: str, name: str) -> dict[str, str]:
    """Return the headers of a call."""
    return {
        "authorization": f"Bearer {key}",
        "request-deadline": "1500",
        "request-id": name,
    }


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
