"""Tests of the platform's settings and documents: decoding, and errors for invalid ones."""

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from platformworld import StandIn, StoreStandIn

from citronpaddle.adapters.connections import ConnectionPool
from citronpaddle.adapters.httpserver import HttpRequest
from citronpaddle.clock import SystemClock
from citronpaddle.platform import documents
from citronpaddle.platform.headers import read_fields
from citronpaddle.platform.settings import PlatformSettingsError, load_settings
from citronpaddle.platform.store import HttpStateStore
from citronpaddle.statestore import StoreFailure

SETTINGS = """
node_name = "front-a-1"
zone = "a"
ip = "127.0.0.1"
internal_port_range = [7380, 7395]
something_new = {{ x = 1 }}
[listen_addrs]
front = "127.0.0.1:{port}"
ready = "127.0.0.1:8108"
directory = "127.0.0.1:8100"
[bounds]
grace_s = 6
ttl_max_s = 5
retry_budget_ratio = 0.2
[platform]
address = "127.0.0.1:1"
"""


def write_settings(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    return str(path)


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path):
    """Guards against a start that fails because of a field that a later version added."""
    loaded = load_settings(write_settings(tmp_path, SETTINGS.format(port=8104)))
    assert loaded.callers_address == ("127.0.0.1", 8104)
    assert loaded.hints_address == ("127.0.0.1", 7380)
    assert loaded.grace_ms == 6_000.0 and loaded.address_ttl_s == 2.0
    assert loaded.extra_load.ratio == 0.2


@pytest.mark.parametrize(
    "old, new, field",
    [
        ('node_name = "front-a-1"', "", "node_name"),
        ("grace_s = 6", 'grace_s = "six"', "grace_s"),
        ('"127.0.0.1:8104"', '"nowhere"', "front"),
        ('address = "127.0.0.1:1"', "address = 1", "address"),
        ("[bounds]", "[bounds", "local.toml"),
        ("grace_s = 6", "quota_window_s = nan", "quota_window_s"),
        ("grace_s = 6", "quota_slack = inf", "quota_slack"),
        ("grace_s = 6", f"quota_slack = {10**400}", "quota_slack"),
    ],
)
def test_bad_settings_name_the_field(tmp_path, old, new, field):
    """Guards against an error message that does not name the invalid field."""
    text = SETTINGS.format(port=8104)
    assert old in text
    with pytest.raises(PlatformSettingsError, match=field):
        load_settings(write_settings(tmp_path, text.replace(old, new)))


@pytest.mark.parametrize(
    "text, arguments, exit_code, message",
    [
        (SETTINGS.format(port=8104), ["--check"], 0, "are valid"),
        (SETTINGS.format(port=8104), ["--odd"], 2, "No such option"),
        ("", ["--check"], 3, "settings:"),
        (SETTINGS.format(port=1 << 17), [], 3, "front must be host:port"),
    ],
)
def test_command_line_exits_with_the_documented_code(tmp_path, text, arguments, exit_code, message):
    """Guards against exit codes that differ from docs/OPERATIONS.md."""
    run_entry(tmp_path, text, arguments, exit_code, message)


def test_address_in_use_has_its_own_exit_code(tmp_path):
    """Guards against the exit code for invalid settings when an address is in use."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        text = SETTINGS.format(port=taken.getsockname()[1])
        run_entry(tmp_path, text, [], 4, "cannot listen")


def run_entry(tmp_path, text, arguments, exit_code, message):
    environment = {"CITRONPADDLE_CONFIG": write_settings(tmp_path, text), "PATH": "/usr/bin:/bin"}
    command = [sys.executable, "-m", "citronpaddle.platform.entry", *arguments]
    completed = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60)
    assert completed.returncode == exit_code
    assert message in completed.stdout + completed.stderr


def test_sighup_during_the_start_does_not_end_the_process(tmp_path):
    """Guards against an exit by a SIGHUP that arrives while the settings are read at the start.

    The settings file is a pipe, so that the process is reading it when the signal is sent.
    """
    path = tmp_path / "local.toml"
    os.mkfifo(path)
    command = [sys.executable, "-m", "citronpaddle.platform.entry"]
    environment = {"CITRONPADDLE_CONFIG": str(path), "PATH": "/usr/bin:/bin"}
    with subprocess.Popen(command, env=environment, stderr=subprocess.PIPE) as process:
        try:
            with open(path, "w") as settings:
                process.send_signal(signal.SIGHUP)
                settings.write("nothing of use")
            assert process.wait(60) == 3, process.stderr.read()
        finally:
            process.kill()


ROUTE = {"name": "r", "host": "H.Example", "prefix": "/p/", "timeout_ms": 900, "kind": "safe"}


def decode_route(route):
    limits = {
        "max_header_bytes": 1,
        "max_body_bytes": 2,
        "header_timeout_ms": 3,
        "idle_timeout_ms": 4,
    }
    document = {"version": 1, "routes": [route], "services": [], "limits": limits}
    return documents.decode_catalog(json.dumps(document).encode()).routes[0]


def test_only_the_kind_decides_whether_a_route_is_idempotent():
    """Guards against repeating requests of an unknown kind, or because of their method."""
    assert decode_route(ROUTE | {"service": "s"}).is_idempotent
    for kind in ("unsafe", "keyed", "new", None):
        assert not decode_route(ROUTE | {"service": "s", "kind": kind}).is_idempotent


def test_route_forms_are_decoded():
    """Guards against confusing routes with shards, with a traffic split and to one service."""
    assert decode_route(ROUTE | {"fanout_services": ["x", "y"], "top_k": 3}).shards == ("x", "y")
    split = decode_route(ROUTE | {"traffic_split": [{"service": "x", "weight": 2}]})
    assert split.targets[0] == ("x", 2.0) and split.host == "h.example"
    with pytest.raises(documents.DocumentError, match="neither"):
        decode_route(ROUTE)


ENTRY = {
    "service": "s0",
    "address": "127.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 1,
    "born": 1,
}
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(-(10**400), 10**400)
    | st.floats()
    | st.text()
    | st.sampled_from(["ready", "draining", "127.0.0.1:80", "1.2.3.4:808\u00b2", "::1:80", "h:80"]),
    lambda values: st.lists(values, max_size=3) | st.dictionaries(st.text(), values, max_size=3),
    max_leaves=5,
)


def decode_entry(upstream_id: str, value: bytes) -> None:
    """Decode an entry, and use what a decoded one is used for."""
    try:
        upstream = documents.decode_upstream(upstream_id, value, 1_000.0)
    except documents.DocumentError as error:
        assert len(str(error)) < 200
        return
    round(upstream.cold_until_ms - 1_000.0)
    socket.inet_pton(socket.AF_INET, upstream.host)
    assert 0 < upstream.port < 65_536
    assert upstream.id.isascii() and upstream.id.isprintable()
    assert (upstream.started_at_ms, upstream.sequence) < (2**53, 2**53)


@settings(max_examples=1_000, deadline=None, derandomize=True)
@given(
    st.just("i-1") | st.text(max_size=8),
    st.dictionaries(st.sampled_from([*ENTRY]), JSON_VALUES, min_size=1, max_size=2),
)
def test_any_entry_of_an_upstream_is_decoded_or_refused(upstream_id, changes):
    """Guards against an entry whose decoding or use raises any other error."""
    decode_entry(upstream_id, json.dumps(ENTRY | changes).encode())


@settings(max_examples=1_000, deadline=None, derandomize=True)
@given(st.binary(max_size=20), st.integers(0, 160), st.integers(0, 160))
def test_any_bytes_of_an_entry_are_decoded_or_refused(odd, begin, end):
    """Guards against bytes in place of an entry, or of a part of it, that raise any other error."""
    whole = json.dumps(ENTRY).encode()
    decode_entry("i-1", whole[:begin] + odd + whole[end:])


@pytest.mark.parametrize(
    ("text", "expected"), [(b"9" * 5_000, 86_400_000.0), (b"0" * 5_000 + b"7", 7.0), (b"-1", None)]
)
def test_odd_deadline_is_read(text, expected):
    """Guards against an error in place of an answer: Python refuses to read thousands of digits."""
    headers = ((b"Host", b"h.example"), (b"Citronpaddle-Deadline-Ms", text))
    fields = read_fields(HttpRequest(b"GET", b"/p/x", headers, b"", 0.0))
    assert fields.deadline_ms == expected


class EndlessPages(StandIn):
    """A store whose pages never end; their last keys are `keys`, the last of them repeated."""

    def __init__(self, keys, value=b""):
        super().__init__()
        self.calls = 0
        self._keys = keys
        self._value = base64.b64encode(value).decode()

    async def handle(self, request, connection):
        key = self._keys(self.calls)
        self.calls += 1
        item = {"key": key, "value": self._value, "revision": 1, "created_rev": 1, "lease": 0}
        page = {"items": [item], "has_more": True, "as_of": 1}
        connection.reply(200, {}, json.dumps(page).encode())


@pytest.mark.parametrize(
    ("keys", "value", "most_calls"),
    [(lambda number: "a", b"", 2), (lambda number: f"{number:09}", b"x" * 1_000_000, 40)],
    ids=["same_key", "new_keys"],
)
def test_pages_of_the_store_without_end_are_given_up(keys, value, most_calls):
    """Guards against a full read that fills the memory, or never returns."""

    async def run():
        store = EndlessPages(keys, value)
        await store.start()
        pool = ConnectionPool(SystemClock())
        view = await HttpStateStore(("127.0.0.1", store.port), pool).read_all("")
        pool.close()
        await store.stop()
        assert view == StoreFailure("pages without end")
        assert store.calls <= most_calls

    asyncio.run(run())


def test_deeply_nested_answer_of_the_store_is_a_failure():
    """Guards against a call of the store that raises, which ends the task that made it."""

    class Nested(StandIn):
        async def handle(self, request, connection):
            connection.reply(200, {}, b"[" * 200_000)

    async def run():
        store = Nested()
        await store.start()
        pool = ConnectionPool(SystemClock())
        revision = await HttpStateStore(("127.0.0.1", store.port), pool).read_revision()
        pool.close()
        await store.stop()
        assert isinstance(revision, StoreFailure)

    asyncio.run(run())


def test_revision_that_the_watch_is_compared_with_is_not_stale():
    """Guards against a watch without an answer that is found only once stale reads show changes."""

    async def run():
        store = StoreStandIn()
        await store.start()
        store.stale_revision = store.revision
        store.write("op/config", b"{}")
        pool = ConnectionPool(SystemClock())
        revision = await HttpStateStore(("127.0.0.1", store.port), pool).read_revision()
        pool.close()
        await store.stop()
        assert revision == store.revision

    asyncio.run(run())
