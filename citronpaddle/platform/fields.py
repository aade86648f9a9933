"""Reads the fields of decoded JSON documents and checks their types."""

import json
from typing import Any

# Times are added to numbers of the documents; the sum of a larger one is inexact or overflows.
MAX_NUMBER = 2**53


class DocumentError(ValueError):
    """A document that cannot be decoded; the message names the invalid field."""


def require_field(item: Any, name: str, expected_type: type | tuple[type, ...]) -> Any:
    """Return the value of field `name`; raise DocumentError if it is missing or invalid."""
    value = item.get(name) if isinstance(item, dict) else None
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise DocumentError(f"field {name} is missing or of the wrong type")
    # The comparison is also false for NaN.
    if isinstance(value, int | float) and not abs(value) < MAX_NUMBER:
        raise DocumentError(f"field {name} is out of range")
    return value


def parse_object(value: bytes) -> dict[str, Any]:
    """Return the object in a JSON document; raise DocumentError if there is none."""
    try:
        document = json.loads(value)
    except (ValueError, RecursionError) as error:
        raise DocumentError(f"not JSON: {error}") from error
    if not isinstance(document, dict):
        raise DocumentError("not an object")
    return document
