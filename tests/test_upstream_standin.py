"""Guards against stand-ins that differ from their configuration document.

Measurements against such stand-ins would be wrong.
"""

from pathlib import Path

import pytest

from citronpaddle.documents import ChangeFile, UpstreamEntry
from citronpaddle.errors import Failure
from citronpaddle.standins.upstream import plan_upstreams
from citronpaddle.yaml_reader import parse_yaml

EXTRAS = Path(__file__).parent.parent / "extras"


@pytest.mark.parametrize("deployment", ["trineo", "spantwerk"])
def test_each_upstream_has_the_address_slots_and_connections_of_the_document(deployment):
    text = (EXTRAS / deployment / "services.yaml").read_text()
    document = parse_yaml(text, deployment, ChangeFile)
    assert not isinstance(document, Failure)
    planned = plan_upstreams(document, 16, {"latency_ms": "7"})
    found = {
        item.upstream.options.name: (
            f"127.0.0.1:{item.port}",
            item.upstream.options.slots,
            item.upstream.options.connections,
        )
        for item in planned
    }
    assert found == {
        name: (entry.address, entry.slots, entry.max_connections)
        for name, entry in document.upstreams.items()
    }
    layouts = [item.upstream.options.shards for item in planned]
    assert len(layouts[0]) == 16 and all(layout == layouts[0] for layout in layouts)
    assert all(item.upstream.options.latency_ms == 7 for item in planned)


def test_an_address_that_is_not_on_this_machine_is_refused():
    entry = UpstreamEntry(address="10.0.0.1:80", failure_domain="a", slots=1, max_connections=3)
    with pytest.raises(ValueError, match="u1: 10.0.0.1:80 is not on 127.0.0.1"):
        plan_upstreams(ChangeFile(upstreams={"u1": entry}), 4, {})
