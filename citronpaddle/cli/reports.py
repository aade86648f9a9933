"""Formats the output of the operators' tool as text and JSON."""

from collections.abc import Iterator, Mapping, Sequence
from datetime import UTC, datetime
from typing import Any

from ..adapters.instance_status import InstanceReport
from ..documents import ChangeRecord, Configuration, Head
from ..errors import Failure
from ..policy.configuration import Verdict, evaluate_head

Reports = Mapping[str, InstanceReport | Failure]


def format_time(wall_ms: int) -> str:
    """Return a Unix time in ms as UTC text, such as `2024-01-31 12:00:00Z`."""
    return datetime.fromtimestamp(wall_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%SZ")


def format_table(rows: Sequence[Sequence[str]]) -> Iterator[str]:
    """Yield the lines of a table with aligned columns; the first row is the heading."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        yield "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()


def format_record(record: ChangeRecord) -> str:
    """Return one line that says who changed what and when."""
    return (
        f"revision {record.revision} by {record.author} at {format_time(record.wall_ms)}: "
        f"{record.summary} (change {record.change_id})"
    )


def format_status(configuration: Configuration, reports: Reports) -> Iterator[str]:
    """Yield the lines of the status: configuration, services and the instances of `reports`."""
    head = configuration.head
    yield f"revision       {head.revision} (change {head.change_id or 'none'})"
    yield f"preset         {head.preset or 'none'}"
    yield f"out domains    {', '.join(head.out_domains) or 'none'}"
    yield f"out upstreams  {', '.join(head.out_upstreams) or 'none'}"
    for domain, voters in sorted(head.voters.items()):
        yield f"voters         {domain}: {', '.join(voters)}"
    rows = [["service", "group", "enabled", "priority", "partial", "upstreams in", "revision"]]
    for item in list_services(configuration):
        rows.append(
            [
                item["name"],
                item["group"],
                "yes" if item["enabled"] else "no",
                str(item["priority"]),
                item["partial"],
                f"{len(item['upstreams']) - len(item['upstreams_out'])}/{len(item['upstreams'])}",
                str(item["revision"]),
            ]
        )
    yield ""
    yield from format_table(rows) if len(rows) > 1 else ["no services"]
    if reports:
        yield ""
        yield from format_instances(head, reports)


def format_instances(head: Head | None, reports: Reports) -> Iterator[str]:
    """Yield a table of the instances.

    Their revisions are compared with `head`, that of the store, unless it is None.
    """
    rows = [["instance", "address", "domain", "state", "revision in force"]]
    for address, report in reports.items():
        if isinstance(report, Failure):
            rows.append(["-", address, "-", "no answer", report.message])
            continue
        revision = f"{report.config_revision}{_describe_revision(report, head) if head else ''}"
        rows.append([report.name, address, report.failure_domain, report.state, revision])
    yield from format_table(rows)


def _describe_revision(report: InstanceReport, head: Head) -> str:
    report_head = Head(revision=report.config_revision, change_id=report.config_change_id)
    verdict = evaluate_head(report_head, head)
    if verdict is Verdict.KNOWN:
        return ""
    if verdict is Verdict.ACCEPT:
        return " (behind)"
    if report_head.revision > head.revision:
        return " (ahead of the store)"
    return " (unknown to the store)"


def list_services(configuration: Configuration) -> list[dict[str, Any]]:
    """Return the services, with the preset in force applied, for the JSON form."""
    found = []
    for name in sorted(configuration.services):
        service = configuration.get_effective_service(name)
        if service is None:
            continue
        fields = service.model_dump(exclude={"upstreams"})
        fields["revision"] = configuration.head.services[name]
        fields["upstreams"] = [upstream.name for upstream in service.upstreams]
        fields["upstreams_out"] = [
            upstream.name for upstream in service.upstreams if configuration.is_out(upstream)
        ]
        found.append(fields)
    return found


def make_status(configuration: Configuration | None, reports: Reports) -> dict[str, Any]:
    """Return the status for the JSON form; `configuration` is None if the store cannot be read."""
    found: dict[str, Any] = {"configuration": None, "services": [], "instances": []}
    if configuration is not None:
        excluded = {"ancestors", "services", "presets"}
        found["configuration"] = configuration.head.model_dump(mode="json", exclude=excluded)
        found["services"] = list_services(configuration)
    for address, report in reports.items():
        fields = (
            {"address": address, "error": report.message}
            if isinstance(report, Failure)
            else report._asdict()
        )
        found["instances"].append(fields)
    return found
