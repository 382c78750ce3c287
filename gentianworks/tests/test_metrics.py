"""Tests of the metrics of a process."""

from __future__ import annotations

import json
from collections.abc import Iterator

import httpcore
import pytest

from gentianworks.codecs.usage import AnswerTail, Usage, find_usage
from gentianworks.telemetry.labels import MAX_LABEL_VALUES, OTHER, PeerTraffic
from gentianworks.telemetry.metrics import Metrics
from standins.fleet import Fleet, FleetPlan, plan_endpoints

WORKSPACE = (b"gw-workspace", b"parish")
RANK = (b"gw-rank", b"drafts")


@pytest.fixture(scope="class")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    with Fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        fleet.build(FleetPlan(endpoints=plan_endpoints("chat", 1)))
        yield fleet


def read_metrics(address: str) -> str:
    return httpcore.request("GET", f"http://{address}/metrics").content.decode()


class TestLabels:
    def test_number_of_values_is_bounded(self) -> None:
        metrics = Metrics()
        names = [f"w{number}" for number in range(MAX_LABEL_VALUES + 5)]
        labels = {metrics.build_labels(workspace=name)["workspace"] for name in names}
        assert len(labels) == MAX_LABEL_VALUES + 1
        assert OTHER in labels
        assert metrics.build_labels(workspace="w0") == {"workspace": "w0"}

    def test_bytes_of_peers_beyond_the_limit_are_counted_as_other(self) -> None:
        traffic = PeerTraffic()
        for number in range(MAX_LABEL_VALUES + 5):
            traffic.add(f"node-{number}", 10)
        traffic.add("node-0", 1)
        assert traffic.bytes_of_peer["node-0"] == 11
        assert traffic.bytes_of_peer[OTHER] == 50
        assert len(traffic.bytes_of_peer) == MAX_LABEL_VALUES + 1
        assert traffic.total == sum(traffic.bytes_of_peer.values())


class TestUsage:
    def test_ignores_usage_quoted_in_the_text_of_an_answer(self) -> None:
        text = json.dumps({"content": json.dumps({"prompt_tokens": 9})}).encode()
        assert find_usage(text) is None
        details = {"cached_tokens": 3}
        usage = {"prompt_tokens": 7, "prompt_tokens_details": details}
        assert find_usage(json.dumps({"usage": usage}).encode()) == Usage(7, 3)

    def test_ignores_a_count_of_very_many_digits(self) -> None:
        """An engine's count of over 4,300 digits ended the router that counted it."""
        digits = b"9" * 5000
        assert find_usage(b'{"prompt_tokens": %s}' % digits) is None
        cached = find_usage(b'{"prompt_tokens": 7, "cached_tokens": %s}' % digits)
        assert cached == Usage(7, 0)
        for count in (digits[:4000], b"9" * 13):
            reader = AnswerTail()
            reader.feed(b'{"completion_tokens": %s}' % count)
            assert reader.count_generated_tokens() == 0

    @pytest.mark.parametrize("size", [1, 7, 4096])
    def test_counts_the_generated_tokens_of_a_complete_answer(self, size: int) -> None:
        text = json.dumps({"completion_tokens": 9})
        answer = {"content": text * 500, "usage": {"completion_tokens": 31}}
        data = json.dumps(answer).encode()
        reader = AnswerTail()
        for begin in range(0, len(data), size):
            reader.feed(data[begin : begin + size])
        assert reader.count_generated_tokens() == 31


class TestExposition:
    def test_every_role_exposes_its_metrics(self, fleet: Fleet) -> None:
        body = {"model": "chat", "messages": [{"role": "user", "content": "hello"}]}
        for workspace in (WORKSPACE, (b"gw-workspace", b"nobody")):
            httpcore.request(
                "POST",
                f"http://{fleet.routers[0].http_address}/v1/chat/completions",
                headers=[workspace, RANK],
                content=json.dumps(body).encode(),
            )
        router = read_metrics(fleet.routers[0].http_address)
        counted = (
            'gentianworks_requests_total{outcome="served",rank="drafts",'
            'service="chat",workspace="parish"} 1'
        )
        assert counted in router
        assert 'outcome="no-such-workspace",rank="drafts"' in router
        assert "nobody" not in router
        assert 'stage="first-piece"' in router
        agent = read_metrics(fleet.agents["chat-1"].http_address)
        assert 'attempts_total{endpoint="chat-1",outcome="served"' in agent
        assert 'prompt_tokens_total{service="chat",workspace="parish"}' in agent
        assert 'configuration_revision{state="in-force"} 1' in agent
        control = read_metrics(fleet.controls[0].http_address)
        assert "gentianworks_leading 1" in control
        assert 'ledger_keys{status="claimed"} 0' in control
        assert 'control_bytes_total{direction="sent"}' in control
        address = fleet.routers[0].peer_address
        assert f'peer_bytes_total{{direction="sent",peer="{address}"}}' in control
        assert 'peer_bytes_total{direction="received",peer="router-1"}' in control

    def test_rejected_requests_and_messages_are_counted(self, fleet: Fleet) -> None:
        address = fleet.controls[0].http_address
        httpcore.request("GET", f"http://{address}/status")
        assert "refused_operators_total 1" in read_metrics(address)
        agent = fleet.agents["chat-1"].http_address
        forged = httpcore.request("POST", f"http://{agent}/dispatch", content=b"x" * 99)
        assert forged.status == 401
        assert "refused_messages_total 1" in read_metrics(agent)
