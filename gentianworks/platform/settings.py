"""Settings: the file that tells a process of its machine."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

from attrs import frozen

SETTINGS_VARIABLE = "GENTIANWORKS_BOOT"
# As the deploy file names them to the platform.
METRICS_PORT_OF_ROLE = {"router": 9461, "control": 9462}
PEER_PORT_OF_ROLE = {"router": 0, "control": 1}  # offsets into the internal ports


class PlatformSettingsError(Exception):
    """Report a settings file that can't be used, with the field and the remedy."""


@frozen
class MachineSettings:
    """Hold what the platform tells a process.

    `seeds` are the IPs of some control hosts; `front`, `ready` and `control` are
    IP:PORT to listen on, empty where the role does not serve them; `listing_address`
    and `listing_rate`, in calls a second of the whole fleet, are of the list of
    replicas; `retry_window` is in seconds.
    """

    node: str
    ip: str
    region: str
    availability_zone: str
    internal_ports: tuple[int, int]
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    front: str
    ready: str
    control: str
    tolerated_losses: int
    grace_time: float
    retry_ratio: float
    retry_slack: float
    listing_address: str
    listing_rate: float

    def build_metrics_address(self, role: str) -> str:
        """Return the IP:PORT at which a role exposes its metrics."""
        return f"{self.ip}:{METRICS_PORT_OF_ROLE[role]}"

    def build_peer_address(self, role: str, ip: str = "") -> str:
        """Return the address for messages to a role on this host or another."""
        port = self.internal_ports[0] + PEER_PORT_OF_ROLE[role]
        return f"tcp://{ip or self.ip}:{port}"


def read_settings(path: Path) -> MachineSettings:
    """Return the settings of a file; PlatformSettingsError names what is wrong."""
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
    first_port, last_port = document["internalPorts"]
    return MachineSettings(
        node=str(document["node"]),
        ip=str(document["ip"]),
        region=str(document.get("region", "")),
        availability_zone=str(document.get("zone", "")),
        internal_ports=(int(first_port), int(last_port)),
        seeds=tuple(seed.rpartition(":")[0] for seed in document.get("seeds", ())),
        is_first_start=bool(document.get("bootstrap", False)),
        data_folder=str(document.get("dataDir", "")),
        front=str(listen.get("front", "")),
        ready=str(listen.get("ready", "")),
        control=str(listen.get("control", "")),
        tolerated_losses=int(document.get("tolerate", {}).get("machines", 1)),
        grace_time=float(bounds.get("graceS", 8)),
        retry_ratio=float(bounds.get("retryBudgetRatio", 0.2)),
        retry_slack=float(bounds.get("budgetSlack", 0)),
        listing_address=str(cloud.get("address", "")),
        listing_rate=float(cloud.get("ratePerS", 1.0)),
    )
