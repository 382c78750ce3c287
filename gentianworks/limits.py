"""Limits: settings that bound the resources of a process, and those of its log.

They are apart from the reader of settings folders, which the platform's processes do
not load.
"""

from __future__ import annotations

from typing import Any

from attrs import field, frozen

MEBIBYTE = 1024 * 1024


def _define_setting(help_text: str, default: Any) -> Any:
    return field(default=default, metadata={"help": help_text})


@frozen
class LogSettings:
    """Format and level of the log."""

    format: str = _define_setting("Format of the log: text or json.", "text")
    level: str = _define_setting(
        "Minimum level: DEBUG, INFO, WARNING or ERROR.", "INFO"
    )


@frozen
class LimitSettings:
    """Limits of the HTTP server for callers."""

    body_bytes: int = _define_setting(
        "Maximum size of a request body, in bytes.", 4 * MEBIBYTE
    )
    buffered_bytes: int = _define_setting(
        "Maximum total size of buffered request bodies, in bytes. A quarter is kept "
        "for bodies up to 64 KiB.",
        64 * MEBIBYTE,
    )
    header_bytes: int = _define_setting(
        "Maximum size of a request head, in bytes.", 32 * 1024
    )
    header_timeout: float = _define_setting(
        "Timeout for receiving the request head, and for a body that does not grow, "
        "in seconds.",
        10.0,
    )
    body_timeout: float = _define_setting(
        "Timeout for receiving the request body, in seconds.", 30.0
    )
    write_timeout: float = _define_setting(
        "Longest time that a caller may go without reading, in seconds.", 30.0
    )
    default_timeout: float = _define_setting(
        "Timeout of a request without a gw-timeout header, in seconds.", 120.0
    )
    longest_timeout: float = _define_setting("Maximum gw-timeout, in seconds.", 3600.0)
    connections: int = _define_setting(
        "Maximum number of concurrent connections from callers.", 4096
    )
    drain_time: float = _define_setting(
        "Time for which a stopping router still accepts requests, and a stopping "
        "agent still announces that it is leaving, in seconds.",
        2.0,
    )


@frozen
class PlatformSettings:
    """Address of the platform's list of hosts, for control hosts."""

    address: str = _define_setting("IP:PORT of the platform's list of hosts.", "")
