"""Tests of the event log, the report on a request made from log lines, and the metrics page."""

import json
import os

from click.testing import CliRunner

from citronpaddle.adapters.counts import Counts, render
from citronpaddle.adapters.eventlog import MAX_BUFFER_BYTES, MAX_LINES_PER_S, Event, EventLog
from citronpaddle.cli.explain import main
from citronpaddle.clock import VirtualClock
from citronpaddle.explanation import explain, read_lines


def read_all(descriptor: int) -> list[dict]:
    return [json.loads(line) for line in read_bytes(descriptor).splitlines()]


def read_bytes(descriptor: int) -> bytes:
    os.set_blocking(descriptor, False)
    data = b""
    while True:
        try:
            chunk = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        data += chunk
    return data


def test_flood_is_bounded_and_counted():
    """Guards against logging that uses too much processor time under load."""
    reader, writer = os.pipe()
    clock = VirtualClock(1_000.0)
    log = EventLog("i0", clock, writer)
    for number in range(5 * MAX_LINES_PER_S):
        log.write(Event.CALL_FAILED, "forwarding", id=str(number))
    lines = read_all(reader)
    assert len(lines) == MAX_LINES_PER_S
    clock.advance(1_000.0)
    log.write(Event.STARTED, "gateway")
    report, started = read_all(reader)
    assert report["counts"] == {"call_failed": 4 * MAX_LINES_PER_S}
    assert started["event"] == "started"


def test_stuck_reader_does_not_block_and_dropped_lines_are_reported():
    """Guards against requests blocked by a stuck log reader, and against unbounded buffering."""
    reader, writer = os.pipe()
    clock = VirtualClock(1_000.0)
    log = EventLog("i0", clock, writer)
    for _ in range(100):
        clock.advance(1_000.0)
        for _ in range(100):
            log.write(Event.CALL_FAILED, "forwarding", text="x" * 200)
    assert len(log._handler._buffer) <= MAX_BUFFER_BYTES
    # The pipe content ends within a line; the flush writes the rest of that line.
    data = read_bytes(reader)
    log.flush()
    clock.advance(1_000.0)
    log.write(Event.STARTED, "gateway")
    for _ in range(3):
        data += read_bytes(reader)
        log.flush()
    lines = [json.loads(line) for line in data.splitlines()]
    assert any("dropped" in line.get("counts", {}) for line in lines)


def test_closed_reader_does_not_raise():
    """Guards against an instance that crashes when the reader of its log exits."""
    reader, writer = os.pipe()
    log = EventLog("i0", VirtualClock(), writer)
    os.close(reader)
    log.write(Event.STARTED, "gateway")


LINES = [
    {"time_ms": 500, "instance": "i0", "event": "upstream_listed", "upstream": "u1"},
    {"time_ms": 600, "instance": "i0", "event": "upstream_listed", "upstream": "u9"},
    {"time_ms": 700, "instance": "i0", "event": "store_lost", "reason": "status 503"},
    {
        "time_ms": 990,
        "instance": "i0",
        "event": "call_failed",
        "id": "t1",
        "upstream": "u1",
        "service": "s0",
        "fault": "misdirected",
    },
    {"time_ms": 995, "instance": "i0", "event": "request_ended", "id": "t2"},
    {
        "time_ms": 1000,
        "instance": "i0",
        "event": "request_ended",
        "id": "t1",
        "outcome": "partial",
        "state_age_ms": 300,
        "missing_parts": [["s0", ["u1"], "misdirected"]],
    },
]


def test_report_on_a_request_names_the_stale_state():
    """Guards against log lines that are insufficient to explain an incomplete answer."""
    texts = ["no log line", "{cut", *(f"  1.2 i0 {json.dumps(line)}" for line in reversed(LINES))]
    report = explain("t1", read_lines(texts))
    assert [line["event"] for line in report.lines] == ["call_failed", "request_ended"]
    assert [line["event"] for line in report.state] == ["upstream_listed", "store_lost"]
    assert any("another upstream has taken over" in finding for finding in report.findings)
    assert any("part s0 is missing" in finding for finding in report.findings)
    assert any("store was lost" in finding for finding in report.findings)


def test_report_on_a_refused_request_names_the_rate_limit():
    """Guards against a refusal for want of permits that looks like one for want of upstreams."""
    lines = [
        {"time_ms": 900, "instance": "i0", "event": "upstream_limited", "upstream": "u1"}
        | {"limit_per_s": 1.0},
        {"time_ms": 1000, "instance": "i0", "event": "request_ended", "id": "t1"}
        | {"outcome": "refused", "reason": "limited"},
    ]
    report = explain("t1", read_lines(map(json.dumps, lines)))
    assert [line["event"] for line in report.state] == ["upstream_limited"]
    assert report.findings == ("all upstreams of the service name a rate limit, which was used up",)


def test_command_prints_the_report_or_exits_with_1(tmp_path):
    """Guards against an exit code that does not tell scripts whether the request was found."""
    path = tmp_path / "log"
    path.write_text("\n".join(map(json.dumps, LINES)))
    found = CliRunner().invoke(main, ["t1", str(path)])
    assert found.exit_code == 0 and "request t1" in found.output
    as_json = CliRunner().invoke(main, ["--json", "t1", str(path)])
    assert json.loads(as_json.output)["request_id"] == "t1"
    assert CliRunner().invoke(main, ["t7", str(path)]).exit_code == 1


def test_metrics_page_contains_counters_gauges_and_latencies():
    """Guards against metrics that are not in the Prometheus text format."""
    counts = Counts()
    counts.add("requests", "answered")
    counts.add("call_faults", "broken", 3)
    counts.observe("r", "answered", 60.0)
    text = render(counts, {"configuration_version": 7}, waiting_by_priority={2: 5}).decode()
    assert 'citronpaddle_waiting_parts{priority="2"} 5.0' in text
    assert "citronpaddle_configuration_version 7.0" in text
    assert 'citronpaddle_call_faults_total{kind="broken"} 3.0' in text
    assert (
        'citronpaddle_request_seconds_bucket{le="0.075",outcome="answered",route="r"} 1.0' in text
    )
    assert 'le="0.05",outcome="answered",route="r"} 0.0' in text
