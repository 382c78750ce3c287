"""Pages: generates the reference pages of log events and settings from the code.

`python -m gentianworks.pages docs` writes them; a test checks that they are current.
"""

from __future__ import annotations

import sys
from pathlib import Path

from gentianworks.declarations import DECLARATION_TYPES, KEY_DESCRIPTIONS
from gentianworks.settings import describe_section, describe_settings
from gentianworks.telemetry.log import CATALOGUE

EVENTS_PAGE = "events.md"
SETTINGS_PAGE = "settings.md"


def build_events_page() -> str:
    """Return the reference page of log events."""
    rows = [
        f"| {entry.code} | {entry.text} | {entry.remedy} |"
        for entry in sorted(CATALOGUE.values(), key=lambda entry: entry.code)
    ]
    lines = [
        "# Log events",
        "",
        "Generated from the catalogue in `gentianworks/telemetry/log.py` by",
        "`python -m gentianworks.pages docs`. GW1 is the process, GW2 the control",
        "hosts' log, GW3 the ledger and quarantine, GW4 the agent, GW5 the router and",
        "membership, GW6 operators. Events that require an action are warnings.",
        "",
        "| Event | Meaning | What to do |",
        "|---|---|---|",
        *rows,
    ]
    return "\n".join(lines) + "\n"


def build_settings_page() -> str:
    """Return the reference page of settings and declarations."""
    sections = [
        describe_section(f"{name} NAME", kind, KEY_DESCRIPTIONS)
        for name, kind in DECLARATION_TYPES.items()
    ]
    return f"""# Settings and declarations

Generated from the code by `python -m gentianworks.pages docs`. The INI files of a
folder are merged in the order of their names; later files take precedence.

## Settings of a process

Each process has its own folder; `gentianworks settings FOLDER` checks it and
`gentianworks settings --defaults` prints this list. `[operator NAME]` is for control
hosts.

```ini
{describe_settings()}```

## Declarations

The fleet has one folder, kept under version control; `gentianworks check FOLDER`
checks it. Times are in seconds, costs in tokens.

```ini
{chr(10).join(sections)}```
"""


def write_pages(folder: Path) -> None:
    """Write all generated pages to a folder."""
    (folder / EVENTS_PAGE).write_text(build_events_page())
    (folder / SETTINGS_PAGE).write_text(build_settings_page())


if __name__ == "__main__":
    write_pages(Path(sys.argv[1]))
