"""Options: the options that several commands share."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

SettingsOption = Annotated[
    Path, typer.Option("--settings", help="Folder with the INI files of this process.")
]
FolderArgument = Annotated[
    Path, typer.Argument(help="Folder with the INI files of declarations.")
]
ControlOption = Annotated[
    list[str],
    typer.Option(
        "--control",
        envvar="GENTIANWORKS_CONTROL",
        help="IP:PORT of a control host; repeat it to add hosts for failover.",
    ),
]
TokenOption = Annotated[
    Path,
    typer.Option(
        "--token-file",
        envvar="GENTIANWORKS_TOKEN_FILE",
        help="File with your token, accessible only to you.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print the result as one JSON document.")
]
