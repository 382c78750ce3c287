"""Settings file: reads the seeds again when the platform has changed its file."""

from __future__ import annotations

import logging
from pathlib import Path

from attrs import define

from gentianworks.core.effects.membership import ReadSeeds
from gentianworks.core.events.membership import SeedsRead
from gentianworks.core.types import Role
from gentianworks.platform.settings import (
    MachineSettings,
    PlatformSettingsError,
    read_settings,
)
from gentianworks.process import Process, contain_failure, perform

logger = logging.getLogger("gentianworks")

FileVersion = tuple[int, int, int]  # time of the last change, size, file number


@define
class SettingsFile:
    """File with the settings of a machine, and its version that was read last."""

    path: Path
    version: FileVersion | None = None

    def read(self) -> MachineSettings:
        """Return the settings; raises PlatformSettingsError if they are invalid."""
        self.version = self._find_version()
        return read_settings(self.path)

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was read."""
        version = self._find_version()
        return version is not None and version != self.version

    def _find_version(self) -> FileVersion | None:
        try:
            status = self.path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino


def list_seed_addresses(settings: MachineSettings) -> tuple[str, ...]:
    """Return the peer addresses of the control hosts that the settings name."""
    role = Role.CONTROL.value
    return tuple(settings.build_peer_address(role, ip) for ip in settings.seeds)


@perform.register
def _(effect: ReadSeeds, process: Process) -> None:
    file = process.get_adapter(SettingsFile)
    if not file.has_changed():
        return
    try:
        seeds = list_seed_addresses(file.read())
    except PlatformSettingsError as error:
        logger.error("GW1013", extra={"details": (("error", str(error)),)})
        return
    process.handle(SeedsRead(seeds))


@contain_failure.register
def _(effect: ReadSeeds, process: Process, error: Exception) -> None:
    process.log_failed_effect(effect)
