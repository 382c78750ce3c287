"""Settings: the platform's settings file for the processes of a machine."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from attrs import frozen

MEBIBYTE = 1024 * 1024
SETTINGS_VARIABLE = "GENTIANWORKS_BOOT"
# The deploy file declares the same ports to the platform.
METRICS_PORTS = {"router": 9461, "control": 9462}
PRESSURE_CONTRACT = "pressure"
DEFAULT_DESCRIPTORS = 4096  # where the settings have no maxFds
PEER_PORT_OFFSETS = {"router": 0, "control": 1}  # offsets into the internal ports


class PlatformSettingsError(Exception):
    """Raised when a settings file is invalid; names the field and the remedy."""


@frozen
class MachineSettings:
    """Settings that the platform provides to a process."""

    machine: str
    ip: str
    region: str
    availability_zone: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]  # IPs of some control hosts
    is_first_start: bool
    data_folder: str  # empty on a machine without a disk
    # The next three: IP:PORT to listen on; empty if the role does not serve it.
    client_address: str
    readiness_address: str
    configuration_address: str
    tolerated_losses: int  # machines
    grace_time: float  # seconds
    retry_ratio: float
    retry_slack: float
    listing_address: str  # IP:PORT of the list of replicas
    listing_rate: float  # requests per second by the whole fleet
    # Callers compete for little room, on replicas that share their machines.
    is_contended: bool
    memory_limit: int  # bytes, over which the process is killed; 0 if there is none
    descriptor_limit: int  # open files and sockets of a process

    def build_metrics_address(self, role: str) -> str:
        """Return the IP:PORT of a role's metrics."""
        return f"{self.ip}:{METRICS_PORTS[role]}"

    def build_peer_address(self, role: str, ip: str = "") -> str:
        """Return the message address of a role on this host, or on the host at `ip`."""
        port = self.internal_ports[0] + PEER_PORT_OFFSETS[role]
        return f"tcp://{ip or self.ip}:{port}"


def read_settings(path: Path) -> MachineSettings:
    """Return the settings of a file.

    Raises PlatformSettingsError if the file can't be read or a field is invalid.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise PlatformSettingsError(
            f"{path} can't be read ({error}); set {SETTINGS_VARIABLE} to a TOML file."
        ) from error
    try:
        return _decode(document)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise PlatformSettingsError(
            f"{path}: a field is missing or of another type ({error!r}); "
            f"compare it with docs/design/platform.md."
        ) from error


def _decode(document: dict[str, Any]) -> MachineSettings:
    listen = document.get("listen", {})
    bounds = document.get("bounds", {})
    cloud = document.get("cloud", {})
    limits = document.get("limits", {})
    first_port, last_port = document["internalPorts"]
    return MachineSettings(
        machine=str(document["node"]),
        ip=str(document["ip"]),
        region=str(document.get("region", "")),
        availability_zone=str(document.get("zone", "")),
        internal_ports=(int(first_port), int(last_port)),
        seeds=tuple(seed.rpartition(":")[0] for seed in document.get("seeds", ())),
        is_first_start=bool(document.get("bootstrap", False)),
        data_folder=str(document.get("dataDir", "")),
        client_address=str(listen.get("front", "")),
        readiness_address=str(listen.get("ready", "")),
        configuration_address=str(listen.get("control", "")),
        tolerated_losses=int(document.get("tolerate", {}).get("machines", 1)),
        grace_time=float(bounds.get("graceS", 8)),
        retry_ratio=float(bounds.get("retryBudgetRatio", 0.2)),
        retry_slack=float(bounds.get("budgetSlack", 0)),
        listing_address=str(cloud.get("address", "")),
        listing_rate=_read_rate(cloud),
        is_contended=PRESSURE_CONTRACT in document.get("contracts", ()),
        memory_limit=int(limits.get("memoryMb", 0)) * MEBIBYTE,
        descriptor_limit=int(limits.get("maxFds", DEFAULT_DESCRIPTORS)),
    )


def _read_rate(cloud: dict[str, Any]) -> float:
    rate = float(cloud.get("ratePerS", 1.0))
    if rate <= 0:
        raise ValueError(f"ratePerS is {rate:g}; set a positive number of requests")
    return rate
