"""Run a role with `python -m gentianworks.platform ROLE`.

Most of a start goes to loading modules. Clients that connect meanwhile wait in the
backlog of the socket that is opened before, instead of being turned away.
"""

from __future__ import annotations

import gc
import sys
import time
from pathlib import Path

# Written by scripts/build-target.
CODES = Path(__file__).parents[2] / "target" / "generated-codes"
# Objects between two searches for garbage while loading, which makes hardly any; the
# usual 700 cost a fifth of the load, none at all some megabytes.
LOAD_THRESHOLD = 20_000


def main() -> None:
    """Open the socket for clients, load everything else and run the role."""
    began_at = time.monotonic()
    thresholds = gc.get_threshold()
    gc.set_threshold(LOAD_THRESHOLD)
    from gentianworks.platform.listening import open_front

    listener = open_front()
    from gentianworks.generated import load_code_cache, use_code_cache

    with use_code_cache(load_code_cache(CODES)):
        from gentianworks.core.types import Role
        from gentianworks.platform.runner import Start, run
    gc.freeze()
    gc.set_threshold(*thresholds)
    run(Role(sys.argv[1]), Start(began_at, listener))


main()
