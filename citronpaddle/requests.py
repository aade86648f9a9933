"""Parses and validates the request bodies of callers."""

from typing import Any, NamedTuple

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from .errors import ErrorKind, Failure

MAX_DEADLINE_MS = 600_000
MAX_LIMIT = 10_000
MAX_QUERY_CHARS = 4_096
MAX_KEY_CHARS = 200


class _QueryBody(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    query: str = Field(max_length=MAX_QUERY_CHARS)
    limit: int = Field(default=20, ge=1, le=MAX_LIMIT)
    deadline_ms: int | None = Field(default=None, le=MAX_DEADLINE_MS)


class _OrderBody(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)

    order: dict[str, Any]
    deadline_ms: int | None = Field(default=None, le=MAX_DEADLINE_MS)


class QueryFields(NamedTuple):
    """A valid query; `deadline_ms` is the time left until the deadline."""

    query: str
    limit: int
    deadline_ms: int


class OrderFields(NamedTuple):
    """A valid order; `deadline_ms` is the time left until the deadline."""

    order: dict[str, Any]
    deadline_ms: int
    idempotency_key: str


def parse_query(body: bytes) -> QueryFields | Failure:
    """Return the query in a JSON body, or a failure that says which field is invalid."""
    fields = _parse(_QueryBody, body)
    if isinstance(fields, Failure):
        return fields
    problem = _check_deadline(fields.deadline_ms)
    return problem or QueryFields(fields.query, fields.limit, fields.deadline_ms)


def parse_order(body: bytes, idempotency_key: str | None) -> OrderFields | Failure:
    """Return the order in a JSON body, or a failure that says what is invalid.

    `idempotency_key` is the value of the header, or None if the request has none.
    """
    if not idempotency_key:
        return Failure(
            ErrorKind.KEY_MISSING,
            "an order requires the header Idempotency-Key with a new value for each order",
        )
    if len(idempotency_key) > MAX_KEY_CHARS or not idempotency_key.isprintable():
        return Failure(
            ErrorKind.BAD_REQUEST,
            f"Idempotency-Key: expected 1 to {MAX_KEY_CHARS} printable characters",
        )
    fields = _parse(_OrderBody, body)
    if isinstance(fields, Failure):
        return fields
    problem = _check_deadline(fields.deadline_ms)
    return problem or OrderFields(fields.order, fields.deadline_ms, idempotency_key)


def _check_deadline(deadline_ms: int | None) -> Failure | None:
    if deadline_ms is None:
        return Failure(
            ErrorKind.NO_DEADLINE, "deadline_ms is missing: specify the time left in milliseconds"
        )
    if deadline_ms <= 0:
        return Failure(ErrorKind.DEADLINE_PAST, f"deadline_ms is {deadline_ms}: no time is left")
    return None


def _parse(model: type[BaseModel], body: bytes) -> Any:
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first["loc"])
        text = f"{location}: {first['msg']}" if location else first["msg"]
        return Failure(ErrorKind.BAD_REQUEST, text)
