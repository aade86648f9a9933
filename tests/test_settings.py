"""Guards against instances that start with invalid settings, or errors without file, line and key.

Also guards the log format and the metrics endpoints, which the settings configure.
"""

import asyncio
import io
import json
import re
import subprocess
import sys
from pathlib import Path

import aiohttp
import pytest

from citronpaddle.adapters.logs import LogFactory
from citronpaddle.adapters.metrics import Metrics, MetricsServer
from citronpaddle.settings import LogSettings, Settings, SettingsError

EXTRAS = Path(__file__).parent.parent / "extras"
VALID = (EXTRAS / "trineo" / "entry-a1.yaml").read_text()
LINES = VALID.splitlines()


def read_settings(tmp_path, text):
    path = tmp_path / "entry.yaml"
    path.write_bytes(text if isinstance(text, bytes) else text.encode())
    return Settings.from_file(path)


@pytest.mark.parametrize("path", sorted(EXTRAS.glob("*/entry-*.yaml")), ids=str)
def test_shipped_settings_do_not_fail_to_load(path):
    settings = Settings.from_file(path)
    assert settings.name == path.stem
    assert (settings.timing.drain_ms, settings.seed, len(settings.peers)) == (2_500, None, 8)


def test_shipped_files_do_not_differ_from_their_generator():
    """Guards against manual edits of the sample settings, or a generator changed without a run."""
    command = [sys.executable, EXTRAS / "generate.py", "--check"]
    assert subprocess.run(command, capture_output=True, timeout=60, text=True).stdout == ""


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("sped: 1", "sped"),
        ("name: entry-a1", "name"),
        ("seed: yes", "seed"),
        ("1: 2", "1"),
        ("timing: {heartbeat: 1}", "timing.heartbeat"),
        ("timing: {lease_ms: 1999}", "timing.lease_ms"),
        ("timing: {suspect_ms: 1999}", "timing.suspect_ms"),
        ("timing: {drain_ms: 2499}", "timing.drain_ms"),
        ("timing: {keep_ms: 3401}", "timing.keep_ms"),
        ("timing: {index_refresh_ms: 2251}", "timing.index_refresh_ms"),
        ("timing: {head_poll_ms: 3001}", "timing.head_poll_ms"),
        ("timing: {heartbeat_ms: 1300}", "timing.suspect_ms"),
    ],
)
def test_a_wrong_key_is_not_accepted_nor_reported_without_its_line(tmp_path, line, key):
    error = read_settings(tmp_path, f"{VALID}{line}\n")
    assert isinstance(error, SettingsError)
    assert (error.line, error.key, error.others) == (len(LINES) + 1, key, ())


def test_intervals_at_their_bounds_are_not_refused(tmp_path):
    """Guards against validators that refuse the largest or smallest permitted interval."""
    bounds = "lease_ms: 2000, suspect_ms: 2000, drain_ms: 2500, keep_ms: 3400"
    text = f"{VALID}timing: {{{bounds}, index_refresh_ms: 2250, head_poll_ms: 3000}}\n"
    assert isinstance(read_settings(tmp_path, text), Settings)


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        (r"region: .*", "region: a b", "region"),
        (r"^http: .*", "http: {host: 127.0.0.1}", "http.port"),
        (r"^peer: .*", "peer: {host: 0.0.0.0, port: 1}", "peer.host"),
        (r"^peer: .*", "peer: {host: localhost, port: 1}", "peer.host"),
        (r"^metrics: .*", "metrics: {host: 127.0.0.1, port: 21001}", "metrics"),
        (r"^metrics: .*", "metrics: {host: 127.0.0.1, port: 65536}", "metrics.port"),
        (r"\['127.0.0.1:21090'\]", "[]", "store.addresses"),
        (r"127.0.0.1:21091", "127.0.0.1:0", "instance_list.address"),
        (r"name: entry-a2,", "name: entry-a1,", "peers"),
        (r"name: entry-a2,", "name: entry-a3,", "peers"),
        (r"name: entry-a2, .*a,", "name: entry-a2,", "peers.0.failure_domain"),
        (r"level: info", "level: loud", "logs.level"),
        (r"^limits: .*", "limits: {max_in_flight: 0}", "limits.max_in_flight"),
    ],
)
def test_a_wrong_value_is_not_accepted_nor_reported_at_another_key(tmp_path, old, new, key):
    text, count = re.subn(old, new, VALID, count=1, flags=re.MULTILINE)
    error = read_settings(tmp_path, text)
    assert (count, error.key) == (1, key)
    assert text.splitlines()[error.line - 1] == (
        "peers:" if key == "peers" else next(row for row in text.splitlines() if new in row)
    )


@pytest.mark.parametrize(
    "text", ["", "- a", "a: [", b"a: \xff", "a: 2026-99-99", "? [a]\n: 1", "a: &b [*b]"], ids=repr
)
def test_a_damaged_file_does_not_raise(tmp_path, text):
    """Guards against parser errors that escape, such as of invalid UTF-8 or a recursive alias."""
    assert isinstance(read_settings(tmp_path, text), SettingsError)


def test_a_missing_file_does_not_raise(tmp_path):
    assert "No such file" in str(Settings.from_file(tmp_path / "none.yaml"))


def test_further_problems_are_not_hidden_by_the_first(tmp_path):
    """Guards against errors that report only the first problem of a file."""
    error = read_settings(tmp_path, f"{VALID}sped: 1\nslow: 2\n")
    assert [text.split(":")[1:3] for text in error.texts] == [
        [str(len(LINES) + 1), " sped"],
        [str(len(LINES) + 2), " slow"],
    ]


def write_log(log_format, message):
    stream = io.StringIO()
    logger = LogFactory("entry-a1", LogSettings(level="info", format=log_format), stream)
    logger.make_logger("control").debug("hidden")
    logger.make_logger("control").warning("{}", message)
    return stream.getvalue()


def test_a_line_break_in_a_message_does_not_forge_a_record():
    """Guards against messages that contain text of a caller and add a log line of their own."""
    text = write_log("text", "a\nb")
    assert text.count("\n") == 1
    assert "entry-a1 [control] a\\nb" in text
    assert json.loads(write_log("json", "a\nb"))["message"] == "a\nb"


def test_instances_in_one_process_do_not_share_metrics_nor_readiness():
    """Guards against a metrics registry that is shared by the whole process."""

    async def fetch_endpoints():
        responses = []
        for is_ready in (True, False):
            metrics = Metrics()
            metrics.observe_query("lots", "complete", 5.0, 1.0)
            server = MetricsServer(metrics, lambda is_ready=is_ready: is_ready)
            base = f"http://127.0.0.1:{await server.start('127.0.0.1', 0)}"
            async with aiohttp.ClientSession() as session:
                for path in ("/ready", "/health", "/metrics"):
                    async with session.get(base + path) as response:
                        responses.append((response.status, await response.text()))
            await server.stop()
        return responses

    responses = asyncio.run(fetch_endpoints())
    assert [status for status, _ in responses] == [200, 200, 200, 503, 200, 200]
    for _, text in responses[2::3]:
        line = 'citronpaddle_queries_total{outcome="complete",service="lots"} 1.0'
        assert line in text.splitlines()
