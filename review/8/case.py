"""The last tenant is taken away; calls with its key and with any other key follow."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "harness-2"))

from small_site import (  # noqa: E402
    COFRESTR_SIOE,
    KEY,
    Record,
    Site,
    build_configuration,
    build_route,
    main,
)

OTHER_KEY = "another0key000000000"  # of the tenant that remains with TROUBLE=0
UNKNOWN_KEY = "key0that0nobody0held"  # in no configuration
CALLS = 5  # of each kind at each machine


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether the rule was broken."""
    site = Site(3, record, COFRESTR_SIOE)
    try:
        replica = await site.add_replica("i-1", "booking")
        routes = [build_route("submit", "booking")]
        configuration = build_configuration(1, routes, ["booking"])
        await site.start(configuration)
        before, _, _ = await site.send(site.machines[0], "before", "/submit/x")
        if before != 200:
            raise RuntimeError(f"the tenant's first request got {before}")
        rest = {"name": "tenant2", "apiKeys": [OTHER_KEY], "priority": 1}
        changed = {
            **configuration,
            "version": 2,
            "tenants": [] if has_trouble else [rest],
        }
        await site.put(changed)
        # Twice what the pages grant, and the time after which machines are in touch.
        await asyncio.sleep(2 * site.profile.bounds["configMs"] / 1000)
        await asyncio.sleep(site.profile.bounds["stableWindowMs"] / 1000)
        statuses: Counter[tuple[str, int]] = Counter()
        for machine in site.machines:
            for kind, key in (("revoked", KEY), ("unknown", UNKNOWN_KEY)):
                for number in range(CALLS):
                    name = f"{kind}-{machine.number}-{number}"
                    status, _, _ = await site.send(machine, name, "/submit/x", key=key)
                    statuses[kind, status] += 1
        runs = Counter(name.partition("-")[0] for name in replica.runs)
        record.write(f"answers: {dict(statuses)}; runs: {dict(runs)}")
        return runs["unknown"] > 0
    finally:
        await site.stop()


main(str(FOLDER), play)
