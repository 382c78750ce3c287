"""Heartbeats: what the nodes of one region cost the control host that leads.

One process sends the heartbeats of all nodes of a region to a real control host and
takes its answers at an address for each node.
"""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

import anyio
import psutil
import pynng
from attrs import define, evolve
from expression import Result as Decoded

from benchmarks.idle import BYTES_PER_MB, MAX_RESIDENT_MB
from benchmarks.tools.result import Result
from gentianworks.codecs.messages import MessageCodec
from gentianworks.core.events.membership import Heartbeat, HeartbeatAnswer
from gentianworks.core.membership.fleet import HEARTBEAT_INTERVAL
from gentianworks.core.types import Load
from standins.fleet import Fleet, FleetPlan, wait_for_status
from standins.members import Member
from standins.ports import find_free_port

REGION_ENDPOINTS = 771
REGION_ROUTERS = 243
SMALL_NODES = 100
SETTLE_SECONDS = 5.0
QUICK_SECONDS = 8.0
LONG_SECONDS = 30.0
MAX_CORES = 1.0
MIN_ANSWERED = 0.99
HOSTS_PER_NETWORK = 250
DECODED_ANSWERS = 20


@define
class Region:
    """Send the heartbeats of a region's nodes and count the answers."""

    target: str
    codec: MessageCodec
    heartbeats: list[Heartbeat]
    answers: int = 0
    answered_bytes: int = 0
    sent: int = 0
    newest: HeartbeatAnswer | None = None

    async def send(self) -> None:
        """Send each node's heartbeat once an interval, evenly spread, until stopped."""
        with pynng.Pair1(send_buffer_size=len(self.heartbeats)) as socket:
            socket.dial(self.target, block=True)
            started = time.monotonic()
            while True:
                heartbeat = self.heartbeats[self.sent % len(self.heartbeats)]
                await socket.asend(self.codec.encode(self._renew(heartbeat)))
                self.sent += 1
                due = self.sent * HEARTBEAT_INTERVAL / len(self.heartbeats)
                await anyio.sleep(max(0.0, started + due - time.monotonic()))

    def _renew(self, heartbeat: Heartbeat) -> Heartbeat:
        if self.newest is None:
            return heartbeat
        epoch, version = self.newest.epoch, self.newest.version
        return evolve(heartbeat, epoch=epoch, version=version)

    async def receive(self, address: str) -> None:
        """Take the answers that come to one node's address, until stopped."""
        with pynng.Pair1() as socket:
            socket.listen(address)
            while True:
                data = await socket.arecv()
                self.answers += 1
                self.answered_bytes += len(data)
                if self.answers % DECODED_ANSWERS == 0:
                    self._take(data)

    def _take(self, data: bytes) -> None:
        """Let every node hold what one answer told, so that this process keeps up."""
        match self.codec.decode(data):
            case Decoded(tag="ok", ok=HeartbeatAnswer() as answer):
                if self.newest is None or answer.version > self.newest.version:
                    self.newest = answer


def build_region(
    target: str, codec: MessageCodec, endpoints: int, routers: int
) -> Region:
    """Return a region of a size."""
    port = find_free_port()
    heartbeats = [
        Heartbeat(
            sender=f"node-{number}",
            endpoint=f"chat-{number}" if number < endpoints else "",
            incarnation=1,
            is_leaving=False,
            load=Load(3, 3000, 1, 1),
            revision=1,
            peer_address=f"tcp://127.{build_host(number)}:{port}",
        )
        for number in range(endpoints + routers)
    ]
    return Region(target, codec, heartbeats)


def build_host(number: int) -> str:
    """Return the last three parts of a loopback address of its own."""
    network, host = divmod(number, HOSTS_PER_NETWORK)
    return f"1.{network}.{host + 1}"


def declare_region(fleet: Fleet, endpoints: int) -> None:
    """Apply declarations with a region's endpoints."""
    text = "".join(
        f"[endpoint chat-{number}]\nservice = chat\navailability_zone = a\n"
        f"http_address = 127.{build_host(number)}:1\n"
        f"peer_address = tcp://127.{build_host(number)}:2\n"
        for number in range(endpoints)
    )
    folder = fleet.write_declarations(FleetPlan())
    (folder / "30-services.ini").write_text("[service chat]\nkind = model\n")
    (folder / "40-endpoints.ini").write_text(text)
    fleet.apply(folder)


@define
class Cost:
    """Hold what a region's nodes cost the leader."""

    cores: float
    resident_mb: float
    heartbeats_a_second: float
    answered: float
    bytes_an_answer: float


async def measure_region(region: Region, leader: Member, seconds: float) -> Cost:
    """Return what a region costs a leader."""
    process = psutil.Process(leader.process.pid)
    async with anyio.create_task_group() as tasks:
        for heartbeat in region.heartbeats:
            tasks.start_soon(region.receive, heartbeat.peer_address)
        tasks.start_soon(region.send)
        await anyio.sleep(SETTLE_SECONDS)
        cpu, sent, answers = sum(process.cpu_times()[:2]), region.sent, region.answers
        answered_bytes = region.answered_bytes
        await anyio.sleep(seconds)
        cost = Cost(
            cores=(sum(process.cpu_times()[:2]) - cpu) / seconds,
            resident_mb=process.memory_info().rss / BYTES_PER_MB,
            heartbeats_a_second=(region.sent - sent) / seconds,
            answered=(region.answers - answers) / (region.sent - sent),
            bytes_an_answer=(region.answered_bytes - answered_bytes)
            / max(region.answers - answers, 1),
        )
        tasks.cancel_scope.cancel()
    return cost


def measure(endpoints: int, routers: int, seconds: float) -> Cost:
    """Return what a region of a size costs a real control host."""
    with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:
        fleet.start_controls(1)
        wait_for_status(fleet.controls[0].http_address, "/livez")
        declare_region(fleet, endpoints)
        codec = MessageCodec((fleet.folder / "key").read_bytes())
        target = fleet.controls[0].peer_address
        region = build_region(target, codec, endpoints, routers)
        return anyio.run(measure_region, region, fleet.controls[0], seconds)


def main(quick: bool) -> None:
    """Measure a small region and one of the size that is aimed at."""
    seconds = QUICK_SECONDS if quick else LONG_SECONDS
    small = measure(SMALL_NODES, 0, seconds)
    large = measure(REGION_ENDPOINTS, REGION_ROUTERS, seconds)
    added = REGION_ENDPOINTS + REGION_ROUTERS - SMALL_NODES
    Result(
        benchmark="heartbeats",
        figure=large.cores,
        unit="cores at the leader of one region of 1,014 nodes",
        bound=MAX_CORES,
        holds=(
            large.cores <= MAX_CORES
            and large.resident_mb <= MAX_RESIDENT_MB
            and large.answered >= MIN_ANSWERED
        ),
        baselines={"small_cores": small.cores, "small_resident_mb": small.resident_mb},
        details={
            "resident_mb": large.resident_mb,
            "heartbeats_a_second": large.heartbeats_a_second,
            "answered": large.answered,
            "bytes_an_answer": large.bytes_an_answer,
            "kb_a_node": (large.resident_mb - small.resident_mb) * 1024 / added,
        },
    ).print()
