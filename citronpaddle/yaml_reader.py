"""Reads YAML into pydantic models, with errors that name line, key and what was expected."""

import types
from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar, get_args, get_origin

import yaml
from pydantic import BaseModel, ValidationError

from .errors import ErrorKind, Failure

ModelT = TypeVar("ModelT", bound=BaseModel)
KeyPath = tuple[str | int, ...]

# Bounds against aliases that expand without end; valid documents stay far below them.
MAX_NODES = 200_000
MAX_DEPTH = 20
# The most errors that one failure lists.
MAX_ERRORS = 20


class _UnsupportedYamlError(Exception):
    """The text is not YAML, or uses a YAML feature that the reader does not support."""


class YamlText(NamedTuple):
    """The data of a YAML text, and the line of each key and list item, counted from 1."""

    data: Any
    lines: dict[KeyPath, int]


class _NodeConverter:
    """Converts a tree of YAML nodes into data and records the line of each path."""

    def __init__(self, loader: yaml.SafeLoader) -> None:
        self.lines: dict[KeyPath, int] = {}
        self._loader = loader
        self._node_count = 0

    def convert(self, node: yaml.Node, path: KeyPath) -> Any:
        self._node_count += 1
        line = node.start_mark.line + 1
        if self._node_count > MAX_NODES or len(path) > MAX_DEPTH:
            raise _UnsupportedYamlError(
                f"line {line}: document too large or nested too deeply, or a recursive alias"
            )
        self.lines.setdefault(path, line)
        if isinstance(node, yaml.SequenceNode):
            return [self.convert(item, (*path, i)) for i, item in enumerate(node.value)]
        if isinstance(node, yaml.MappingNode):
            return self._convert_mapping(node, path)
        try:
            return self._loader.construct_object(node)
        except ValueError as error:
            raise _UnsupportedYamlError(f"line {line}: {error}") from None

    def _convert_mapping(self, node: yaml.MappingNode, path: KeyPath) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for key_node, value_node in node.value:
            line = key_node.start_mark.line + 1
            key = self._loader.construct_object(key_node, deep=True)
            if not isinstance(key, str):
                text = f"line {line}: key {key!r} is not text; put it in quotes"
                raise _UnsupportedYamlError(text)
            if key in found:
                first = self.lines[(*path, key)]
                raise _UnsupportedYamlError(
                    f"line {line}: key {key} is already given on line {first}"
                )
            self.lines[(*path, key)] = line
            found[key] = self.convert(value_node, (*path, key))
        return found


def read_yaml(text: str, source: str) -> YamlText | Failure:
    """Return the data of `text`.

    Failures are of kind `bad_request`; the message names `source` and the line.
    """
    try:
        loader = yaml.SafeLoader(text)
        node = loader.get_single_node()
        converter = _NodeConverter(loader)
        data = {} if node is None else converter.convert(node, ())
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        where = f"line {mark.line + 1}, column {mark.column + 1}: " if mark else ""
        return _make_failure(source, f"{where}not valid YAML: {error.problem or error.context}")
    except (_UnsupportedYamlError, yaml.YAMLError, ValueError) as error:
        return _make_failure(source, " ".join(str(error).split()))
    return YamlText(data, converter.lines)


def parse_yaml(text: str, source: str, model: type[ModelT]) -> ModelT | Failure:
    """Return `text` validated as `model`.

    A failure is of kind `bad_request`; its message has one line for each error, `MAX_ERRORS` lines
    at most, and a last line that counts the others.
    """
    found = read_yaml(text, source)
    if isinstance(found, Failure):
        return found
    try:
        return model.model_validate(found.data)
    except ValidationError as error:
        shown = [
            f"{source}, {_format_error(item, found.lines, model)}"
            for item in error.errors()[:MAX_ERRORS]
        ]
        left = error.error_count() - len(shown)
        return Failure(
            ErrorKind.BAD_REQUEST, "\n".join(shown + ([f"and {left} more errors"] if left else []))
        )


def _make_failure(source: str, message: str) -> Failure:
    return Failure(ErrorKind.BAD_REQUEST, f"{source}, {message}")


def _format_error(item: Any, lines: dict[KeyPath, int], model: type[BaseModel]) -> str:
    path = tuple(part for part in item["loc"] if part != "[key]")
    known = path
    while known not in lines and known:
        known = known[:-1]
    name = ".".join(str(part) for part in path) or "the document"
    return f"line {lines.get(known, 1)}: {name}: {_describe_error(item, path, model)}"


def _describe_error(item: Any, path: KeyPath, model: type[BaseModel]) -> str:
    if item["type"] == "extra_forbidden":
        expected = ", ".join(sorted(_list_fields(model, path[:-1])))
        return f"unknown key; expected one of {expected}"
    if item["type"] == "missing":
        return "this key is required"
    if item["type"] == "string_pattern_mismatch":
        return (
            f"{item['input']!r} is not a name; expected letters, digits, '.', '_' and '-', "
            "at most 63, the first a letter or digit"
        )
    if item["type"] == "string_type":
        return f"expected text, got {item['input']!r}; put it in quotes"
    if item["type"] in ("model_type", "dict_type"):
        expected = ", ".join(sorted(_list_fields(model, path))) or "names"
        return f"expected a mapping with keys ({expected}), got {item['input']!r}"
    message = item["msg"].removeprefix("Value error, ")
    message = message[0].lower() + message[1:]
    given = item["input"]
    return message if isinstance(given, dict | list) else f"{message}, got {given!r}"


def _list_fields(model: type[BaseModel], path: KeyPath) -> set[str]:
    """Return the keys that the model allows at `path`; empty if `path` is not a model."""
    annotations: list[Any] = [model]
    for part in path:
        annotations = [inner for outer in annotations for inner in _resolve_part(outer, part)]
    models = [found for found in annotations if isinstance(found, type)]
    return {name for found in models if issubclass(found, BaseModel) for name in found.model_fields}


def _resolve_part(outer: Any, part: str | int) -> Iterator[Any]:
    if isinstance(outer, type) and issubclass(outer, BaseModel):
        if part in outer.model_fields:
            yield from _expand_union(outer.model_fields[str(part)].annotation)
    elif get_origin(outer) in (dict, list, tuple):
        yield from _expand_union(get_args(outer)[1 if get_origin(outer) is dict else 0])


def _expand_union(annotation: Any) -> Iterator[Any]:
    if isinstance(annotation, types.UnionType):
        yield from get_args(annotation)
    else:
        yield annotation
