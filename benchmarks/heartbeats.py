"""Heartbeats: cost of the nodes of one region at the leading control host.

This process sends the heartbeats of all nodes of a region to a real control host and
receives the answers at a separate address for each node.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import anyio
import psutil
import pynng
from attrs import define, evolve
from expression import Result as DecodeResult

from benchmarks.idle import BYTES_PER_MB, MAX_RESIDENT_MB
from benchmarks.tools.result import Result
from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.events.membership import Heartbeat, HeartbeatAnswer
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.types import Load
from standins.fleet import Fleet, FleetPlan, wait_for_status
from standins.members import Member
from standins.ports import find_free_port

REGION_ENDPOINT_COUNT = 771
REGION_ROUTER_COUNT = 243
SMALL_NODE_COUNT = 100  # endpoints of the small region
SETTLE_SECONDS = 5.0
QUICK_SECONDS = 8.0
LONG_SECONDS = 30.0
MAX_CORES = 1.0
MIN_ANSWERED_RATIO = 0.99
HOSTS_PER_NETWORK = 250
ANSWERS_PER_DECODE = 20


@define
class RegionSimulator:
    """Simulated nodes of a region, which send heartbeats and count the answers."""

    target: str
    codec: MessageCodec
    heartbeats: list[Heartbeat]
    answer_count: int = 0
    answer_bytes: int = 0
    sent_count: int = 0
    latest_answer: HeartbeatAnswer | None = None

    async def send(self) -> None:
        """Send each node's heartbeat once per interval, evenly spaced, forever."""
        with pynng.Pair1(send_buffer_size=len(self.heartbeats)) as socket:
            socket.dial(self.target, block=True)
            started_at = time.monotonic()
            while True:
                heartbeat = self.heartbeats[self.sent_count % len(self.heartbeats)]
                await socket.asend(
                    self.codec.encode(self._with_latest_epoch(heartbeat))
                )
                self.sent_count += 1
                due_after = self.sent_count * HEARTBEAT_INTERVAL / len(self.heartbeats)
                await anyio.sleep(max(0.0, started_at + due_after - time.monotonic()))

    def _with_latest_epoch(self, heartbeat: Heartbeat) -> Heartbeat:
        if self.latest_answer is None:
            return heartbeat
        epoch, version = self.latest_answer.epoch, self.latest_answer.version
        return evolve(heartbeat, epoch=epoch, version=version)

    async def receive(self, address: str) -> None:
        """Receive the answers at one node's address until cancelled."""
        with pynng.Pair1() as socket:
            socket.listen(address)
            while True:
                data = await socket.arecv()
                self.answer_count += 1
                self.answer_bytes += len(data)
                if self.answer_count % ANSWERS_PER_DECODE == 0:
                    self._accept_answer(data)

    def _accept_answer(self, data: bytes) -> None:
        """Use the epoch and version of one answer for the heartbeats of all nodes.

        Only some answers are decoded, so that this process keeps up.
        """
        match self.codec.decode(data):
            case DecodeResult(tag="ok", ok=HeartbeatAnswer() as answer):
                if (
                    self.latest_answer is None
                    or answer.version > self.latest_answer.version
                ):
                    self.latest_answer = answer


def build_region(
    target: str, codec: MessageCodec, endpoints: int, routers: int
) -> RegionSimulator:
    """Return a region with a number of endpoints and routers."""
    port = find_free_port()
    heartbeats = [
        Heartbeat(
            sender=f"node-{number}",
            endpoint=f"chat-{number}" if number < endpoints else "",
            incarnation=1,
            is_leaving=False,
            load=Load(3, 3000, 1, 1),
            revision=1,
            peer_address=f"tcp://127.{build_host_suffix(number)}:{port}",
        )
        for number in range(endpoints + routers)
    ]
    return RegionSimulator(target, codec, heartbeats)


def build_host_suffix(number: int) -> str:
    """Return the last three parts of a node's own loopback address."""
    network, host = divmod(number, HOSTS_PER_NETWORK)
    return f"1.{network}.{host + 1}"


def declare_region(fleet: Fleet, endpoints: int) -> None:
    """Declare a region's endpoints in a fleet."""
    text = "".join(
        f"[endpoint chat-{number}]\nservice = chat\navailability_zone = a\n"
        f"http_address = 127.{build_host_suffix(number)}:1\n"
        f"peer_address = tcp://127.{build_host_suffix(number)}:2\n"
        for number in range(endpoints)
    )
    folder = fleet.write_declarations(FleetPlan())
    (folder / "30-services.ini").write_text("[service chat]\nkind = model\n")
    (folder / "40-endpoints.ini").write_text(text)
    fleet.apply(folder)


@define
class RegionCost:
    """Cost of a region's nodes at the leader."""

    cores: float
    resident_mb: float
    heartbeats_a_second: float
    answered_ratio: float
    bytes_an_answer: float


async def measure_region(
    region: RegionSimulator, leader: Member, seconds: float
) -> RegionCost:
    """Run a region against a leader and return the leader's cost."""
    process = psutil.Process(leader.process.pid)
    async with anyio.create_task_group() as tasks:
        for heartbeat in region.heartbeats:
            tasks.start_soon(region.receive, heartbeat.peer_address)
        tasks.start_soon(region.send)
        await anyio.sleep(SETTLE_SECONDS)
        cpu_before, sent_before, answers_before = (
            sum(process.cpu_times()[:2]),
            region.sent_count,
            region.answer_count,
        )
        bytes_before = region.answer_bytes
        await anyio.sleep(seconds)
        cost = RegionCost(
            cores=(sum(process.cpu_times()[:2]) - cpu_before) / seconds,
            resident_mb=process.memory_info().rss / BYTES_PER_MB,
            heartbeats_a_second=(region.sent_count - sent_before) / seconds,
            answered_ratio=(region.answer_count - answers_before)
            / (region.sent_count - sent_before),
            bytes_an_answer=(region.answer_bytes - bytes_before)
            / max(region.answer_count - answers_before, 1),
        )
        tasks.cancel_scope.cancel()
    return cost


def measure(endpoints: int, routers: int, seconds: float) -> RegionCost:
    """Return the cost of a region at a new, real control host."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_controls(1)
        wait_for_status(fleet.controls[0].http_address, "/livez")
        declare_region(fleet, endpoints)
        codec = MessageCodec((fleet.folder / "key").read_bytes())
        target = fleet.controls[0].peer_address
        region = build_region(target, codec, endpoints, routers)
        return anyio.run(measure_region, region, fleet.controls[0], seconds)


def main(quick: bool) -> None:
    """Measure a small region and a region of the target size."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    small = measure(SMALL_NODE_COUNT, 0, seconds)
    large = measure(REGION_ENDPOINT_COUNT, REGION_ROUTER_COUNT, seconds)
    added_nodes = REGION_ENDPOINT_COUNT + REGION_ROUTER_COUNT - SMALL_NODE_COUNT
    Result(
        benchmark="heartbeats",
        figure=large.cores,
        unit="cores at the leader of one region of 1,014 nodes",
        bound=MAX_CORES,
        holds=(
            large.cores <= MAX_CORES
            and large.resident_mb <= MAX_RESIDENT_MB
            and large.answered_ratio >= MIN_ANSWERED_RATIO
        ),
        baselines={"small_cores": small.cores, "small_resident_mb": small.resident_mb},
        details={
            "resident_mb": large.resident_mb,
            "heartbeats_a_second": large.heartbeats_a_second,
            "answered": large.answered_ratio,
            "bytes_an_answer": large.bytes_an_answer,
            "kb_a_node": (large.resident_mb - small.resident_mb) * 1024 / added_nodes,
        },
    ).print()
