"""Builds configuration changes as store transactions, and determines their outcome."""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from pydantic import ValidationError

from ..documents import (
    HEAD_KEY,
    PRESETS_PREFIX,
    SERVICES_PREFIX,
    ChangeFile,
    ChangeRecord,
    Configuration,
    Document,
    Head,
    PresetSpec,
    ServiceSpec,
    UpstreamSpec,
    VoterChange,
    history_key,
)
from ..errors import ErrorKind, Failure
from ..ports import Compare, Put, StoreEntry
from .configuration import Verdict, evaluate_head

# An instance that lags by up to this many revisions can verify that a head was built on its own.
# 128 ids of 12 characters add 2 KB to the head, which every pull transfers.
MAX_ANCESTORS = 128
# The store refuses transactions of more than 128 operations; a few are for head and history.
MAX_PARTS_PER_CHANGE = 120
# The first change that adds all services has a line per upstream, and the record must stay far
# below 1 MB.
MAX_RECORDED_DETAILS = 500
# An error message lists at most this many known names.
MAX_LISTED_NAMES = 12


@dataclass(frozen=True)
class ApplyFile:
    """Add, replace and remove services and presets, and change upstreams of any service."""

    file: ChangeFile


@dataclass(frozen=True)
class UsePreset:
    """Put preset `name` in force."""

    name: str


@dataclass(frozen=True)
class SetDomainOut:
    """Take a failure domain out of service, or bring it back."""

    name: str
    is_out: bool


@dataclass(frozen=True)
class SetUpstreamOut:
    """Take an upstream out of service, or bring it back."""

    name: str
    is_out: bool


@dataclass(frozen=True)
class EditVoters:
    """Add a voter to a domain or remove one.

    `reported` maps the name of each queried instance to the settled revision of its voter list: no
    lease under an older list is valid there. Several names are allowed only in the first list of a
    domain.
    """

    domain: str
    names: tuple[str, ...]
    is_added: bool
    reported: Mapping[str, int]


@dataclass(frozen=True)
class RestoreConfiguration:
    """Write `configuration`, which instances have in force, back to a restored store.

    `highest_revision` is the greatest known revision. `stored` maps the keys of the parts in the
    store to their values; only parts that differ from these are written.
    """

    configuration: Configuration
    highest_revision: int
    stored: Mapping[str, bytes]


Edit = ApplyFile | UsePreset | SetDomainOut | SetUpstreamOut | EditVoters | RestoreConfiguration


class BaseConfiguration(NamedTuple):
    """The configuration in the store, and the `mod_revision` of its head, 0 if there is none."""

    configuration: Configuration
    head_mod_revision: int


class ChangeMetadata(NamedTuple):
    """The id and the author of a change, and its Unix time in ms."""

    change_id: str
    author: str
    wall_ms: int


class Change(NamedTuple):
    """A change to make in one transaction.

    `brief_details` are the detail lines of the record with only one line for each added service.
    """

    configuration: Configuration
    record: ChangeRecord
    compares: tuple[Compare, ...]
    puts: tuple[Put, ...]
    brief_details: tuple[str, ...]


class NoChange(NamedTuple):
    """The edit changes nothing in the stored configuration, which is at `revision`."""

    revision: int


class _Draft(NamedTuple):
    """The result of an edit: the parts, the changed head fields, and the lines to record."""

    summary: str
    services: Mapping[str, ServiceSpec]
    presets: Mapping[str, PresetSpec]
    head: Mapping[str, Any] = {}
    details: tuple[str, ...] = ()
    brief_details: tuple[str, ...] = ()


def build_change(
    base: BaseConfiguration, edit: Edit, metadata: ChangeMetadata
) -> Change | NoChange | Failure:
    """Return the change that makes `edit` on `base` in one transaction.

    Failures are `not_found` for an unknown name and `bad_request` for an edit that is not allowed.
    """
    draft = _EDITS[type(edit)](base.configuration, edit)
    if isinstance(draft, Failure):
        return draft
    if isinstance(edit, RestoreConfiguration):
        return _build_restore(base, edit, draft, metadata)
    old = base.configuration
    if not draft.details:
        return NoChange(old.head.revision)
    head = _make_head(old.head, old.head.revision + 1, metadata.change_id, draft)
    changed = {
        **_encode_changed(SERVICES_PREFIX, old.services, draft.services),
        **_encode_changed(PRESETS_PREFIX, old.presets, draft.presets),
    }
    return _assemble_change(base, head, draft, changed, metadata)


def _build_restore(
    base: BaseConfiguration, edit: RestoreConfiguration, draft: _Draft, metadata: ChangeMetadata
) -> Change | NoChange | Failure:
    source, stored = edit.configuration.head, base.configuration.head
    # If the store is only ahead of the instances, its newer changes must be kept.
    if evaluate_head(source, stored) is not Verdict.REGRESSED:
        return NoChange(stored.revision)
    revision = max(edit.highest_revision, source.revision, stored.revision) + 1
    head = source.model_copy(
        update={
            "revision": revision,
            "change_id": metadata.change_id,
            "services": dict.fromkeys(sorted(draft.services), revision),
            "presets": dict.fromkeys(sorted(draft.presets), revision),
            "ancestors": (),
            "restored_at": revision,
        }
    )
    values = {
        **_encode_changed(SERVICES_PREFIX, {}, draft.services),
        **_encode_changed(PRESETS_PREFIX, {}, draft.presets),
    }
    changed = {key: value for key, value in values.items() if edit.stored.get(key) != value}
    return _assemble_change(base, head, draft, changed, metadata)


def _make_head(old: Head, revision: int, change_id: str, draft: _Draft) -> Head:
    ancestors = (old.change_id, *old.ancestors)[:MAX_ANCESTORS] if old.revision else ()
    fields = {
        "revision": revision,
        "change_id": change_id,
        "ancestors": ancestors,
        **draft.head,
    }
    return old.model_copy(update=fields)


def _assemble_change(
    base: BaseConfiguration,
    head: Head,
    draft: _Draft,
    changed: Mapping[str, bytes],
    metadata: ChangeMetadata,
) -> Change | Failure:
    if len(changed) > MAX_PARTS_PER_CHANGE:
        text = (
            f"the change has {len(changed)} parts, more than {MAX_PARTS_PER_CHANGE}; "
            "split it into several changes"
        )
        return Failure(ErrorKind.BAD_REQUEST, text)
    new_revision = head.revision
    services = _update_part_revisions(
        SERVICES_PREFIX, new_revision, head.services, draft.services, changed
    )
    presets = _update_part_revisions(
        PRESETS_PREFIX, new_revision, head.presets, draft.presets, changed
    )
    head = head.model_copy(update={"services": services, "presets": presets})
    configuration = _validate(head, draft)
    if isinstance(configuration, Failure):
        return configuration
    record = ChangeRecord(
        revision=head.revision,
        from_revision=base.configuration.head.revision,
        change_id=metadata.change_id,
        author=metadata.author,
        wall_ms=metadata.wall_ms,
        summary=draft.summary,
        details=_truncate_details(draft.details),
    )
    puts = [
        Put(HEAD_KEY, head.to_bytes()),
        Put(history_key(head.revision), record.to_bytes()),
        *(Put(key, value) for key, value in changed.items()),
    ]
    compares = (Compare(HEAD_KEY, base.head_mod_revision),)
    return Change(
        configuration, record, compares, tuple(puts), draft.brief_details or record.details
    )


def _truncate_details(details: tuple[str, ...]) -> tuple[str, ...]:
    if len(details) <= MAX_RECORDED_DETAILS:
        return details
    omitted_count = len(details) - MAX_RECORDED_DETAILS
    return (*details[:MAX_RECORDED_DETAILS], f"and {omitted_count} more lines")


def find_unserved_services(configuration: Configuration) -> tuple[str, ...]:
    """Return the names of the enabled services that have no upstream in service."""
    return tuple(
        name
        for name in sorted(configuration.services)
        if (service := configuration.get_effective_service(name)) is not None
        and service.enabled
        and all(configuration.is_out(upstream) for upstream in service.upstreams)
    )


def _update_part_revisions(
    prefix: str,
    revision: int,
    revisions: Mapping[str, int],
    parts: Mapping[str, Any],
    changed: Mapping[str, bytes],
) -> dict[str, int]:
    return {
        name: revision if prefix + name in changed else revisions[name] for name in sorted(parts)
    }


def _encode_changed(
    prefix: str, old: Mapping[str, Document], new: Mapping[str, Document]
) -> dict[str, bytes]:
    return {prefix + name: part.to_bytes() for name, part in new.items() if old.get(name) != part}


def _validate(head: Head, draft: _Draft) -> Configuration | Failure:
    """Return the new configuration, or a failure if it is inconsistent."""
    services, presets = dict(draft.services), dict(draft.presets)
    try:
        configuration = Configuration(head=head, services=services, presets=presets)
    except ValidationError as error:
        return _bad_request(error.errors()[0]["msg"].removeprefix("Value error, "))
    problem = next(_find_preset_problems(configuration), "")
    return _bad_request(problem) if problem else configuration


def _find_preset_problems(configuration: Configuration) -> Iterator[str]:
    services = configuration.services
    groups = {service.group for service in services.values()}
    for preset in configuration.presets.values():
        for kind, named, known in (
            ("service", preset.services.keys(), services.keys()),
            ("group", preset.groups.keys(), groups),
        ):
            for name in sorted(named - known):
                yield f"preset {preset.name} names unknown {kind} {name}; {_format_known(known)}"
        for service in services.values():
            fields = service.model_dump() | preset.overrides_for(service)
            try:
                ServiceSpec.model_validate(fields)
            except ValidationError as error:
                reason = error.errors()[0]["msg"].removeprefix("Value error, ")
                yield f"service {service.name} under preset {preset.name}: {reason}"


def _apply_file(old: Configuration, edit: ApplyFile) -> _Draft | Failure:
    file = edit.file
    for kind, names, known in (
        ("service", file.remove.services, old.services),
        ("preset", file.remove.presets, old.presets),
    ):
        for name in names:
            if name not in known:
                return _not_found(kind, name, known)
    services = _apply_services(old, file)
    if isinstance(services, Failure):
        return services
    presets = dict(old.presets)
    for name, entry in file.presets.items():
        presets[name] = PresetSpec(name=name, **dict(entry))
    for name in file.remove.presets:
        presets.pop(name, None)
    service_details = tuple(_describe_parts("service", old.services, services))
    brief_details = tuple(_describe_parts("service", old.services, services, _describe_new_service))
    preset_details = tuple(_describe_parts("preset", old.presets, presets))
    return _Draft(
        "apply services and presets",
        services,
        presets,
        {},
        (*service_details, *preset_details),
        (*brief_details, *preset_details),
    )


def _apply_services(old: Configuration, file: ChangeFile) -> dict[str, ServiceSpec] | Failure:
    new = {name: UpstreamSpec(name=name, **dict(item)) for name, item in file.upstreams.items()}
    upstreams = old.get_upstreams() | new
    services = {
        name: service.model_copy(
            update={"upstreams": tuple(new.get(item.name, item) for item in service.upstreams)}
        )
        for name, service in old.services.items()
    }
    for name, entry in file.services.items():
        for upstream in entry.upstreams:
            if upstream not in upstreams:
                text = f"service {name} names unknown upstream {upstream}; "
                return Failure(ErrorKind.NOT_FOUND, text + _format_known(upstreams))
        fields = dict(entry) | {"upstreams": tuple(upstreams[item] for item in entry.upstreams)}
        services[name] = ServiceSpec(name=name, **fields)
    for name in file.remove.services:
        services.pop(name, None)
    used = {upstream.name for service in services.values() for upstream in service.upstreams}
    unused = sorted(new.keys() - used)
    if unused:
        return _bad_request(f"no service uses upstream {unused[0]}, which the file defines")
    return services


def _use_preset(old: Configuration, edit: UsePreset) -> _Draft | Failure:
    if edit.name not in old.presets:
        return _not_found("preset", edit.name, old.presets)
    return _draft_head(old, f"use preset {edit.name}", {"preset": edit.name})


def _set_domain_out(old: Configuration, edit: SetDomainOut) -> _Draft | Failure:
    known = {upstream.failure_domain for upstream in old.get_upstreams().values()}
    known |= set(old.head.voters) | set(old.head.out_domains)
    if edit.name not in known:
        return _not_found("failure domain", edit.name, known)
    out = _set_members(old.head.out_domains, (edit.name,), edit.is_out)
    return _draft_head(old, _describe_out("domain", edit.name, edit.is_out), {"out_domains": out})


def _set_upstream_out(old: Configuration, edit: SetUpstreamOut) -> _Draft | Failure:
    known = set(old.get_upstreams()) | set(old.head.out_upstreams)
    if edit.name not in known:
        return _not_found("upstream", edit.name, known)
    out = _set_members(old.head.out_upstreams, (edit.name,), edit.is_out)
    summary = _describe_out("upstream", edit.name, edit.is_out)
    return _draft_head(old, summary, {"out_upstreams": out})


def _edit_voters(old: Configuration, edit: EditVoters) -> _Draft | Failure:
    head = old.head
    before = head.voters.get(edit.domain, ())
    after = _set_members(before, edit.names, edit.is_added)
    if after == before:
        return _Draft("", old.services, old.presets)
    problem = _find_voter_problem(head, edit, before)
    if problem:
        return _bad_request(problem)
    # The first list replaces the one in the settings of the instances, which must be the same.
    change = VoterChange(revision=head.revision + 1, before=before or after)
    fields = {
        "voters": {**head.voters, edit.domain: after},
        "voter_changes": {**head.voter_changes, edit.domain: change},
    }
    verb, preposition = ("add", "to") if edit.is_added else ("remove", "from")
    summary = f"{verb} {', '.join(edit.names)} {preposition} the voters of domain {edit.domain}"
    return _draft_head(old, summary, fields)


def _find_voter_problem(head: Head, edit: EditVoters, before: tuple[str, ...]) -> str:
    domain = edit.domain
    for other, voters in head.voters.items():
        conflicting_voters = sorted(set(voters) & set(edit.names))
        if edit.is_added and other != domain and conflicting_voters:
            return f"{conflicting_voters[0]} is already a voter of domain {other}"
    if not before:
        return "" if edit.is_added else f"domain {domain} has no voter list to remove a name from"
    if len(edit.names) > 1:
        return (
            f"domain {domain} has a voter list; add or remove one name at a time, so that "
            "majorities of the old and the new list share a voter"
        )
    if not edit.is_added and len(before) == 1:
        return f"{before[0]} is the only voter of domain {domain}; add another one first"
    last_change = head.voter_changes.get(domain)
    if last_change is None:
        return ""
    settled_voters = [
        name for name in last_change.before if edit.reported.get(name, 0) >= last_change.revision
    ]
    if len(settled_voters) * 2 > len(last_change.before):
        return ""
    return (
        f"the voters of domain {domain} were changed at revision {last_change.revision}, and only "
        f"{len(settled_voters)} of the {len(last_change.before)} earlier voters "
        f"({', '.join(last_change.before)}) report that leases under the previous list have "
        "expired, which takes a lease and its drain time; a majority must. Give their HTTP "
        "addresses with --instances and try again"
    )


def _restore(old: Configuration, edit: RestoreConfiguration) -> _Draft:
    found = edit.configuration
    details = (
        f"configuration of revision {found.head.revision} (change {found.head.change_id})",
        f"over revision {old.head.revision} (change {old.head.change_id or '-'}) in the store",
    )
    return _Draft("restore the store", found.services, found.presets, {}, details)


_EDITS: dict[type, Callable[..., _Draft | Failure]] = {
    ApplyFile: _apply_file,
    UsePreset: _use_preset,
    SetDomainOut: _set_domain_out,
    SetUpstreamOut: _set_upstream_out,
    EditVoters: _edit_voters,
    RestoreConfiguration: _restore,
}


def _draft_head(old: Configuration, summary: str, fields: Mapping[str, Any]) -> _Draft:
    details = tuple(
        f"{name}: {_format_value(getattr(old.head, name))} -> {_format_value(value)}"
        for name, value in fields.items()
        if getattr(old.head, name) != value and name != "voter_changes"
    )
    return _Draft(summary, old.services, old.presets, fields, details)


def _set_members(
    members: tuple[str, ...], names: Iterable[str], is_member: bool
) -> tuple[str, ...]:
    changed = set(members) | set(names) if is_member else set(members) - set(names)
    return tuple(sorted(changed))


def _describe_out(kind: str, name: str, is_out: bool) -> str:
    return f"take {kind} {name} out of service" if is_out else f"bring {kind} {name} back"


def _describe_new(kind: str, name: str, part: Document) -> Iterator[str]:
    yield f"{kind} {name}: added"
    yield from (f"{kind} {name}: {path} = {value}" for path, value in _flatten(part))


def _describe_new_service(kind: str, name: str, part: ServiceSpec) -> Iterator[str]:
    count = len(part.upstreams)
    plural = "" if count == 1 else "s"
    yield f"{kind} {name}: added to group {part.group} with {count} upstream{plural}"


def _describe_parts(
    kind: str,
    old: Mapping[str, Document],
    new: Mapping[str, Document],
    describe_new: Callable[[str, str, Any], Iterator[str]] = _describe_new,
) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        if name not in new:
            yield f"{kind} {name}: removed"
        elif name not in old:
            yield from describe_new(kind, name, new[name])
        elif old[name] != new[name]:
            before, after = dict(_flatten(old[name])), dict(_flatten(new[name]))
            for path in sorted(before.keys() | after.keys()):
                old_value, new_value = before.get(path, "none"), after.get(path, "none")
                if old_value != new_value:
                    yield f"{kind} {name}: {path}: {old_value} -> {new_value}"


def _flatten(document: Document) -> Iterator[tuple[str, str]]:
    for name, value in document.model_dump(exclude_none=True).items():
        if name == "upstreams":
            for upstream in value:
                shown = ", ".join(f"{k} {v}" for k, v in upstream.items() if k != "name")
                yield f"upstream {upstream['name']}", shown
        elif isinstance(value, dict):
            for key, fields in value.items():
                yield f"{name} {key}", ", ".join(
                    f"{k} {_format_value(v)}" for k, v in fields.items()
                )
        elif name != "name":
            yield name, _format_value(value)


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return "; ".join(f"{key}: {_format_value(item)}" for key, item in value.items()) or "none"
    if isinstance(value, tuple):
        return ", ".join(str(item) for item in value) or "none"
    return str(value) or "none"


def _not_found(kind: str, name: str, known: Iterable[str]) -> Failure:
    return Failure(ErrorKind.NOT_FOUND, f"there is no {kind} {name}; {_format_known(known)}")


def _format_known(known: Iterable[str]) -> str:
    names = sorted(known)
    shown = ", ".join(names[:MAX_LISTED_NAMES]) + (
        f" and {len(names) - MAX_LISTED_NAMES} more" if len(names) > MAX_LISTED_NAMES else ""
    )
    return f"known: {shown or 'none'}"


def _bad_request(message: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, message)


class AcceptedChange(NamedTuple):
    """The change was found in the store, at `revision`."""

    revision: int


class LostRace(NamedTuple):
    """The change has no effect: a concurrent change, `winner`, has its revision.

    `winner` is None if the store no longer has the state that the change was built on.
    """

    winner: ChangeRecord | None


class RetryPossible(NamedTuple):
    """No change was made on the same base yet; the same transaction may be sent again."""


def determine_outcome(
    change: Change, entries: Iterable[StoreEntry]
) -> AcceptedChange | LostRace | RetryPossible:
    """Return the outcome of `change`, given the head and the history entry of its revision.

    `entries` must come from one read. A retry must send the same transaction: an earlier copy may
    still arrive, and as both compare the same head, only one of them can take effect.
    """
    found = {entry.key: entry for entry in entries}
    history = found.get(history_key(change.record.revision))
    if history is not None:
        winner = ChangeRecord.from_bytes(history.value)
        if winner.change_id == change.record.change_id:
            return AcceptedChange(winner.revision)
        return LostRace(winner)
    head = found.get(HEAD_KEY)
    if (head.mod_revision if head else 0) == change.compares[0].mod_revision:
        return RetryPossible()
    return LostRace(None)
