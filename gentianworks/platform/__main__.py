"""Run a role with `python -m gentianworks.platform ROLE`."""

from __future__ import annotations

import sys

from gentianworks.core.types import Role
from gentianworks.platform.runner import run

run(Role(sys.argv[1]))
