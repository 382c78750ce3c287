"""Run a role with `python -m gentianworks.platform ROLE`.

SIGHUP is ignored first, since by default it ends a process. The settings are read after
the load, so a change that comes during the load is not missed.

Most of the start-up time is spent on loading modules. The socket for clients is opened
first, so that connections made during the load wait in its backlog instead of being
refused.
"""

from __future__ import annotations

import signal

signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402 (loading these takes a part of the time)
import gc
import sys
import time
from importlib import import_module
from pathlib import Path

# Written by scripts/build-target.
CODES = Path(__file__).parents[2] / "target" / "generated-codes"
# Allocations between two garbage collections while modules load, which creates hardly
# any garbage. The default of 700 takes a fifth of the load time; without collections
# the process needs some megabytes more.
GC_LOAD_THRESHOLD = 20_000


def main() -> None:
    """Open the socket for clients, load the other modules and run the role."""
    started_at = time.monotonic()
    thresholds = gc.get_threshold()
    gc.set_threshold(GC_LOAD_THRESHOLD)
    from gentianworks.platform.listener import open_client_listener

    listener = open_client_listener()
    from gentianworks.generated import load_code_cache, use_code_cache
    from gentianworks.imports import defer_packages, omit_unused_modules

    defer_packages()
    with omit_unused_modules(), use_code_cache(load_code_cache(CODES)):
        from gentianworks.core.types import Role
        from gentianworks.platform.runner import ProcessStart, run

        # anyio would import it when it starts the event loop, with OpenSSL.
        import_module("anyio._backends._asyncio")
    gc.freeze()
    gc.set_threshold(*thresholds)
    run(Role(sys.argv[1]), ProcessStart(started_at, listener))


main()
