"""Writes the settings and configuration documents of both deployments next to this file.

Run it after a change of the figures below; with `--check` it only compares the files.
"""

import sys
from pathlib import Path
from typing import Any, NamedTuple

import click
import yaml

HERE = Path(__file__).parent
HOST = "127.0.0.1"
INSTANCES_PER_DOMAIN = 3
HEADER = "# Written by extras/generate.py; change the figures there.\n"

Document = dict[str, Any]


class PlainDumper(yaml.SafeDumper):
    """Writes equal values in full, so that each service can be read by itself."""

    def ignore_aliases(self, data: Any) -> bool:
        return True


class Group(NamedTuple):
    """Services of equal size; `parameters` are those of each service of the group."""

    name: str
    services: int
    upstreams: int
    slots: int
    max_connections: int
    parameters: Document


class Deployment(NamedTuple):
    """One organisation's deployment; all its ports follow `first_port`."""

    name: str
    region: str
    first_port: int
    groups: tuple[Group, ...]
    presets: dict[str, Document]


def wait_for_all(priority: int, deadline_ms: int) -> Document:
    """Return parameters of a service that answers when complete, or partially at the deadline."""
    return {
        "priority": priority,
        "max_deadline_ms": deadline_ms,
        "partial": "complete_or_deadline",
        "min_coverage": 1.0,
        "soft_deadline_ms": deadline_ms,
        "hedging": True,
        "enabled": True,
    }


def answer_early(priority: int, deadline_ms: int, coverage: float, soft_ms: int) -> Document:
    """Return parameters of a service that answers at `soft_ms` once it has `coverage`."""
    tail = {"partial": "tail", "min_coverage": coverage, "soft_deadline_ms": soft_ms}
    return wait_for_all(priority, deadline_ms) | tail


def make_preset(max_in_flight: int, groups: Document) -> Document:
    """Return a preset that changes only parameters of groups."""
    return {"max_in_flight": max_in_flight, "groups": groups}


# Coverage first: a recall check reads the shipping log and must not miss a batch, so its answers
# wait until the deadline. At peaks, only searches that nobody's safety depends on answer early.
TRINEO = Deployment(
    "trineo",
    "cartago",
    21_000,
    (
        Group("kennel-portal", 20, 2, 2, 25, wait_for_all(1, 1_500)),
        Group("ration-plans", 30, 2, 2, 25, wait_for_all(2, 1_500)),
        Group("donor-desk", 1, 4, 4, 110, wait_for_all(3, 1_000)),
        Group("shipping-log", 1, 3, 4, 110, wait_for_all(0, 2_000)),
    ),
    {
        "ordinary": make_preset(64, {}),
        "peak": make_preset(
            48,
            {
                "ration-plans": {"partial": "tail", "min_coverage": 0.9, "soft_deadline_ms": 300},
                "donor-desk": {"partial": "tail", "min_coverage": 0.5, "soft_deadline_ms": 200},
            },
        ),
        # With a domain out of service, hedges would take slots that complete answers need.
        "maintenance": make_preset(
            48,
            {"ration-plans": {"hedging": False}, "donor-desk": {"hedging": False}},
        ),
    },
)

# Tail latency first: a foreman on the phone waits for the order finder, so it goes first and every
# service answers at its soft deadline once it has enough coverage.
SPANTWERK = Deployment(
    "spantwerk",
    "noord",
    22_000,
    (
        Group("ordervinder", 20, 2, 3, 30, answer_early(0, 400, 0.9, 60)),
        Group("planbord", 30, 2, 3, 30, answer_early(1, 600, 0.9, 80)),
        Group("keurarchief", 1, 7, 4, 45, answer_early(2, 1_000, 0.9, 150)),
        Group("ledenportaal", 1, 3, 4, 45, answer_early(3, 600, 0.9, 80)),
    ),
    {
        "ordinary": make_preset(64, {}),
        "peak": make_preset(
            48,
            {
                "planbord": {"min_coverage": 0.5, "soft_deadline_ms": 60},
                "keurarchief": {"min_coverage": 0.5, "soft_deadline_ms": 100, "hedging": False},
                "ledenportaal": {"min_coverage": 0.5, "soft_deadline_ms": 60, "hedging": False},
            },
        ),
        # The replicas that are left answer across domains, which takes a few ms more.
        "maintenance": make_preset(
            48,
            {
                "ordervinder": {"soft_deadline_ms": 80},
                "planbord": {"soft_deadline_ms": 100},
                "keurarchief": {"hedging": False},
                "ledenportaal": {"hedging": False},
            },
        ),
    },
)

# Offsets from the first port of a deployment.
HTTP, PEER, METRICS, STORE, INSTANCE_LIST, UPSTREAMS = 1, 11, 21, 90, 91, 100


def list_domains(deployment: Deployment) -> list[str]:
    """Return the names of the failure domains."""
    return [f"{deployment.region}-{letter}" for letter in "abc"]


def list_instances(deployment: Deployment) -> list[tuple[str, str]]:
    """Return name and failure domain of each entry instance."""
    return [
        (f"entry-{domain[-1]}{number}", domain)
        for domain in list_domains(deployment)
        for number in range(1, INSTANCES_PER_DOMAIN + 1)
    ]


def make_settings(deployment: Deployment, index: int) -> Document:
    """Return the settings of the entry instance at `index`."""
    instances = list_instances(deployment)
    port = deployment.first_port
    name, domain = instances[index]
    return {
        "name": name,
        "failure_domain": domain,
        "region": deployment.region,
        "http": {"host": HOST, "port": port + HTTP + index, "max_body_bytes": 1_048_576},
        "peer": {"host": HOST, "port": port + PEER + index},
        "metrics": {"host": HOST, "port": port + METRICS + index},
        "store": {"addresses": [f"{HOST}:{port + STORE}"]},
        "instance_list": {"address": f"{HOST}:{port + INSTANCE_LIST}"},
        "peers": [
            {"name": peer, "failure_domain": where, "address": f"{HOST}:{port + PEER + number}"}
            for number, (peer, where) in enumerate(instances)
            if number != index
        ],
        "logs": {"level": "info", "format": "text"},
        "limits": {"max_in_flight": 64, "queue_length": 256},
    }


def make_document(deployment: Deployment) -> Document:
    """Return the configuration document; a service's upstreams are spread over the domains."""
    domains = list_domains(deployment)
    services: Document = {}
    upstreams: Document = {}
    port = deployment.first_port + UPSTREAMS
    for group in deployment.groups:
        for number in range(group.services):
            name = group.name if group.services == 1 else f"{group.name}-{number + 1:02}"
            names = [f"{name}-u{place + 1}" for place in range(group.upstreams)]
            services[name] = {"group": group.name, "upstreams": names} | group.parameters
            for place, upstream in enumerate(names):
                upstreams[upstream] = {
                    "address": f"{HOST}:{port + place}",
                    "failure_domain": domains[(number + place) % len(domains)],
                    "slots": group.slots,
                    "max_connections": group.max_connections,
                }
            port += group.upstreams
    return {"services": services, "upstreams": upstreams, "presets": deployment.presets}


def make_files() -> dict[Path, str]:
    """Return the text of every file that this program writes."""
    documents: dict[Path, Document] = {}
    for deployment in (TRINEO, SPANTWERK):
        folder = HERE / deployment.name
        documents[folder / "services.yaml"] = make_document(deployment)
        for index, (name, _) in enumerate(list_instances(deployment)):
            documents[folder / f"{name}.yaml"] = make_settings(deployment, index)
    return {path: HEADER + write_yaml(document) for path, document in documents.items()}


def write_yaml(document: Document) -> str:
    """Return `document` as YAML text without aliases."""
    return yaml.dump(
        document, Dumper=PlainDumper, sort_keys=False, width=160, default_flow_style=None
    )


@click.command()
@click.option("--check", is_flag=True, help="Compare only; exit with 1 if a file differs.")
def main(check: bool) -> None:
    """Write the settings and configuration documents of both deployments."""
    files = make_files()
    stale = [path for path, text in files.items() if not path.exists() or path.read_text() != text]
    for path in stale:
        click.echo(f"{path.relative_to(HERE)} {'differs' if check else 'written'}")
        if not check:
            path.parent.mkdir(exist_ok=True)
            path.write_text(files[path])
    sys.exit(1 if check and stale else 0)


if __name__ == "__main__":
    main()
