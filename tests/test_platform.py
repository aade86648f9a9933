"""The platform's settings and documents: what is read, what is refused and how."""

import json
import os
import signal
import socket
import subprocess
import sys

import pytest

from citronpaddle.platform import documents
from citronpaddle.platform.settings import PlatformSettingsError, load_settings

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


def write(tmp_path, text):
    path = tmp_path / "local.toml"
    path.write_text(text)
    return str(path)


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path):
    """Guards against a start that fails for a field that came later."""
    settings = load_settings(write(tmp_path, SETTINGS.format(port=8104)))
    assert settings.callers_address == ("127.0.0.1", 8104)
    assert settings.hints_address == ("127.0.0.1", 7380)
    assert settings.grace_ms == 6_000.0 and settings.address_ttl_s == 2.0
    assert settings.extra_load.ratio == 0.2


@pytest.mark.parametrize(
    "old, new, word",
    [
        ('node_name = "front-a-1"', "", "node_name"),
        ("grace_s = 6", 'grace_s = "six"', "grace_s"),
        ('"127.0.0.1:8104"', '"nowhere"', "front"),
        ('address = "127.0.0.1:1"', "address = 1", "address"),
        ("[bounds]", "[bounds", "local.toml"),
    ],
)
def test_bad_settings_name_the_field(tmp_path, old, new, word):
    """Guards against an error that an operator can't act on."""
    text = SETTINGS.format(port=8104)
    assert old in text
    with pytest.raises(PlatformSettingsError, match=word):
        load_settings(write(tmp_path, text.replace(old, new)))


@pytest.mark.parametrize(
    "text, arguments, code, words",
    [
        (SETTINGS.format(port=8104), ["--check"], 0, "are valid"),
        (SETTINGS.format(port=8104), ["--odd"], 2, "No such option"),
        ("", ["--check"], 3, "settings:"),
        (SETTINGS.format(port=1 << 17), [], 3, "front must be host:port"),
    ],
)
def test_command_line_ends_with_the_documented_code(tmp_path, text, arguments, code, words):
    """Guards against exit codes that differ from docs/OPERATIONS.md."""
    run_entry(tmp_path, text, arguments, code, words)


def test_address_in_use_ends_with_its_own_code(tmp_path):
    """Guards against an exit code that blames the settings."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        text = SETTINGS.format(port=taken.getsockname()[1])
        run_entry(tmp_path, text, [], 4, "cannot listen")


def run_entry(tmp_path, text, arguments, code, words):
    environment = {"CITRONPADDLE_CONFIG": write(tmp_path, text), "PATH": "/usr/bin:/bin"}
    command = [sys.executable, "-m", "citronpaddle.platform.entry", *arguments]
    done = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=60)
    assert done.returncode == code
    assert words in done.stdout + done.stderr


def test_hangup_during_the_start_does_not_end_the_process(tmp_path):
    """Guards against an exit by a SIGHUP that comes while the settings are read for the first time.

    The settings file is a pipe, so that the process is surely at that point.
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


def decode(route):
    limits = {
        "max_header_bytes": 1,
        "max_body_bytes": 2,
        "header_timeout_ms": 3,
        "idle_timeout_ms": 4,
    }
    document = {"version": 1, "routes": [route], "services": [], "limits": limits}
    return documents.decode_catalog(json.dumps(document).encode()).routes[0]


def test_kind_alone_says_what_may_be_repeated():
    """Guards against TWICE by a kind that came later, or by a method."""
    assert decode(ROUTE | {"service": "s"}).is_idempotent
    for kind in ("unsafe", "keyed", "new", None):
        assert not decode(ROUTE | {"service": "s", "kind": kind}).is_idempotent


def test_route_forms_are_decoded():
    """Guards against ROUTE: shards, splits and single services taken for each other."""
    assert decode(ROUTE | {"fanout_services": ["x", "y"], "top_k": 3}).shards == ("x", "y")
    split = decode(ROUTE | {"traffic_split": [{"service": "x", "weight": 2}]})
    assert split.targets[0] == ("x", 2.0) and split.host == "h.example"
    with pytest.raises(documents.DocumentError, match="neither"):
        decode(ROUTE)
