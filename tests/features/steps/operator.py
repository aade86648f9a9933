"""Steps for operator.feature, which runs the tool and the stand-in store as processes."""

import asyncio
import http.server
import json
import os
import re
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request
from pathlib import Path

from behave import given, then, when

from citronpaddle.adapters.keyvalue import EtcdStore
from citronpaddle.configurator import fetch_base
from citronpaddle.documents import EMPTY_CONFIGURATION

EXAMPLE = """\
upstreams:
  lot-1: {address: "127.0.0.1:8080", failure_domain: a, slots: 2, max_connections: 25}
services:
  lot-search:
    upstreams: [lot-1]
    priority: 5
    max_deadline_ms: 800
    group: g
    hedging: true
presets:
  ordinary: {}
  peak: {groups: {g: {partial: tail, min_coverage: 0.9}}}
"""
TIMEOUT_S = 60


def start_tool(context, words, author="olga"):
    names = {"FILE": context.file, "INSTANCE": getattr(context, "instance", "")}
    words = [names.get(word, word) for word in words]
    options = ["--store", context.store, "--author", author, *context.timeouts]
    command = [sys.executable, "-m", "citronpaddle.cli.operator", *options, *words]
    return subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def run_tool(context, words):
    process = start_tool(context, words)
    context.output, _ = process.communicate(timeout=TIMEOUT_S)
    context.exit_code = process.returncode


def control(context, **faults):
    url, data = f"http://{context.store}/control", json.dumps(faults).encode()
    request = urllib.request.Request(url, data, method="PUT" if faults else "GET")
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        return json.load(response)


def count_writes(context):
    return control(context)["calls"].get("txn_write", 0)


def wait_for_writes(context, count):
    end_s = time.monotonic() + TIMEOUT_S
    while count_writes(context) < count:
        assert time.monotonic() < end_s, f"the store has not received {count} writes"
        time.sleep(0.02)


def read_configuration(context):
    async def read():
        store = EtcdStore(context.store)
        base = await fetch_base(store, EMPTY_CONFIGURATION, TIMEOUT_S * 1000)
        await store.close()
        return base.configuration

    return asyncio.run(read())


@given("a store with the configuration of the example file")
def start_store(context):
    command = [sys.executable, "-m", "citronpaddle.standins.keyvalue"]
    process = subprocess.Popen(
        command, stdout=subprocess.PIPE, text=True, env=os.environ | {"PYTHONUNBUFFERED": "1"}
    )
    context.add_cleanup(lambda: (process.kill(), process.wait(), process.stdout.close()))
    context.store = process.stdout.readline().strip()
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.file = str(Path(directory.name) / "example.yaml")
    context.timeouts = ["--timeout-ms", "30000", "--call-timeout-ms", "20000"]
    Path(context.file).write_text(EXAMPLE)
    run_tool(context, ["apply", "FILE"])
    assert context.exit_code == 0, context.output


@given("the store loses the reply of the next write after it took effect")
def lose_next_reply(context):
    control(context, lose_replies=1)


@given("the store answers every call with an error")
def fail_store(context):
    control(context, outage="error")
    context.timeouts = ["--timeout-ms", "300", "--call-timeout-ms", "200"]


@given("the store cuts all connections once a write has arrived")
def hold_writes(context):
    control(context, hold_writes=True)
    context.timeouts = ["--timeout-ms", "6000", "--call-timeout-ms", "3000"]


@given('an instance that has revision 2 with domain "{domain}" out in force')
def start_instance(context, domain):
    run_tool(context, ["domain", "out", domain])
    configuration = read_configuration(context)
    head = configuration.head
    status = {"name": "a1", "failure_domain": "a", "state": "live"}
    status |= {"config_revision": head.revision, "config_change_id": head.change_id}
    status |= {"settled_voter_list_revision": 0, "order_floor": 7, "order_regressed_from": 9}
    answers = {
        "/v1/status": json.dumps(status).encode(),
        "/v1/configuration": configuration.to_bytes(),
    }

    class Handler(http.server.BaseHTTPRequestHandler):
        def do_GET(self):
            self.send_response(200)
            self.end_headers()
            self.wfile.write(answers[self.path])

        def log_message(self, *arguments):
            pass

    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(lambda: (server.shutdown(), server.server_close()))
    context.instance = f"127.0.0.1:{server.server_port}"


@given("the store was restored to the state of revision 1")
def restore_store(context):
    # The first change is store revision 2, since an empty store has revision 1.
    control(context, restore_to_revision=2)


@when('the operator runs "{command}" with "{good}" in place of "{bad}"')
def run_with_file(context, command, good, bad):
    assert bad in EXAMPLE
    Path(context.file).write_text(EXAMPLE.replace(bad, good))
    run_tool(context, command.split())


@when('the operator runs "{command}" and waits for its end')
def run_until_cut(context, command):
    count = count_writes(context)
    process = start_tool(context, command.split())
    wait_for_writes(context, count + 1)
    control(context, outage="reset")
    context.output, _ = process.communicate(timeout=TIMEOUT_S)
    context.exit_code = process.returncode


@when('the operator runs "{command}"')
def run(context, command):
    run_tool(context, command.split())


@when('"{one}" runs "{first}" and "{two}" runs "{second}" at the same time')
def run_concurrently(context, one, first, two, second):
    count = count_writes(context)
    control(context, hold_writes=True)
    processes = {
        one: start_tool(context, first.split(), one),
        two: start_tool(context, second.split(), two),
    }
    wait_for_writes(context, count + 2)
    control(context, hold_writes=False)
    context.outputs = {}
    for author, process in processes.items():
        output, _ = process.communicate(timeout=TIMEOUT_S)
        context.outputs[process.returncode] = (author, output)


@then("one of them ends with exit code {winner:d} and the other with {loser:d}")
def check_race(context, winner, loser):
    assert set(context.outputs) == {winner, loser}, context.outputs
    context.winner, context.loser = (
        context.outputs[winner],
        context.outputs[loser],
    )


@then("the loser is told the author and the change id of the winner")
def check_loser(context):
    author, output = context.winner
    change_id = re.search(r"\(change (\w+)\)", output).group(1)
    assert f"by {author} " in context.loser[1] and change_id in context.loser[1], context.loser


@then("the exit code is {code:d}")
def check_exit_code(context, code):
    assert context.exit_code == code, (context.exit_code, context.output)


@then('the output has "{text}"')
def check_output(context, text):
    assert text in context.output, context.output


@then("the store has revision {revision:d}")
def check_revision(context, revision):
    assert read_configuration(context).head.revision == revision
