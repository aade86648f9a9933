"""Client of the query tier: looks up instances, sends requests and retries them when it is safe."""

import asyncio
import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from types import SimpleNamespace
from typing import Any, NamedTuple, Self
from urllib.parse import quote

import aiohttp
from yarl import URL

from .adapters.responses import read_body
from .clock import Clock, SystemClock
from .errors import ErrorKind, Failure, RunState
from .models import Address, Coverage, KeyRange, QueryAnswer
from .randomness import RandomSource

# Connecting to another failure domain takes tens of ms; after this timeout the client tries another
# address.
CONNECT_TIMEOUT_MS = 300
LOOKUP_TIMEOUT_MS = 300
# Cached addresses remain usable after a failed refresh, so the next look-up can wait.
LOOKUP_RETRY_DELAY_MS = 200
# For this time a failed address is used only if no other is left.
FAILED_ADDRESS_PENALTY_MS = 1_000
# The deadline sent to the instance is earlier by this share of the remaining time, within the
# limits, so that the answer can arrive in time.
DEADLINE_MARGIN_SHARE = 0.05
DEADLINE_MARGIN_LIMITS_MS = (10.0, 50.0)
# Retries add at most a tenth to the load, beyond a burst that covers the loss of an instance.
RETRY_RATIO = 0.1
RETRY_BURST = 20
# Backoff before an order is sent again with the same key while another attempt may be running.
INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 400
# A query whose connection was lost is sent at most once more.
MAX_QUERY_LOSS_RETRIES = 1
# Repeats are safe with the same key, so only the deadline and the retry budget limit them.
MAX_ORDER_LOSS_RETRIES = 1_000
MAX_CONNECTIONS_PER_INSTANCE = 128
MAX_KEY_LENGTH = 255
LEAVING_HEADER = "X-Citronpaddle-Leaving"


class OrderAnswer(NamedTuple):
    """The answer to an order; `replayed` is true if an earlier attempt with the same key ran it."""

    request_id: str
    answer: Any
    replayed: bool


class AddressLookup(NamedTuple):
    """Addresses for a service, valid for `ttl_ms` from the request that returned them."""

    addresses: tuple[Address, ...]
    ttl_ms: float


class RetryBudget:
    """Limits retries to a share of the requests, so that retries do not amplify an overload.

    A token bucket: each request adds `ratio` tokens, up to `burst`, and each retry takes one.
    """

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._tokens = float(burst)

    def record_request(self) -> None:
        """Add the tokens for one request."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take the token for one retry; return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@dataclass(slots=True)
class _CachedAddresses:
    """The cached addresses of one service.

    The first use after `refresh_at_ms` starts a look-up; after `expires_at_ms` they are not used.
    """

    addresses: tuple[Address, ...] = ()
    refresh_at_ms: float = 0.0
    expires_at_ms: float = 0.0
    lookup: asyncio.Task[Failure | None] | None = None


class AddressCache:
    """Caches the addresses of each service and chooses among them.

    `fetch(source, service)` asks one instance and returns a look-up result or a Failure.
    """

    def __init__(
        self,
        seeds: Sequence[str],
        failure_domain: str,
        fetch: Callable[..., Any],
        clock: Clock,
        random: RandomSource,
    ) -> None:
        self._seeds = tuple(seeds)
        self._failure_domain = failure_domain
        self._fetch = fetch
        self._clock = clock
        self._random = random
        self._cached: dict[str, _CachedAddresses] = {}
        self._failed_until_ms: dict[str, float] = {}

    async def get(self, service: str, timeout_ms: float) -> tuple[Address, ...] | Failure:
        """Return the cached addresses, or those of a new look-up if none are valid.

        Returns a Failure if the look-up fails or takes longer than `timeout_ms`.
        """
        cached = self._cached.setdefault(service, _CachedAddresses())
        now_ms = self._clock.now_ms()
        is_usable = bool(cached.addresses) and now_ms < cached.expires_at_ms
        is_lookup_allowed = cached.lookup is None or cached.lookup.done()
        if is_lookup_allowed and (now_ms >= cached.refresh_at_ms or not is_usable):
            cached.lookup = asyncio.create_task(self._look_up(service, cached))
        if is_usable:
            return cached.addresses
        try:
            # Other requests wait for the same look-up, so a timeout of one must not cancel it.
            failure = await asyncio.wait_for(
                asyncio.shield(cached.lookup), max(0.0, timeout_ms) / 1000.0
            )
        except TimeoutError:
            return Failure(ErrorKind.DEADLINE_PAST, "the deadline passed during address look-up")
        return failure or cached.addresses

    def choose(self, addresses: Sequence[Address], tried: set[str]) -> str | None:
        """Return an address that is not in `tried`, or None if there is none.

        Prefers addresses that have not failed recently, then those with a positive weight, then
        those in the client's failure domain, and chooses among them at random by weight.
        """
        now_ms = self._clock.now_ms()
        remaining = [item for item in addresses if item.address not in tried]
        remaining = [
            item for item in remaining if self._failed_until_ms.get(item.address, 0.0) <= now_ms
        ] or remaining
        remaining = [item for item in remaining if item.weight > 0] or remaining
        local = [item for item in remaining if item.failure_domain == self._failure_domain]
        candidates = local or remaining
        if not candidates:
            return None
        weights = [max(item.weight, 0.0) for item in candidates]
        if not any(weights):
            weights = [1.0] * len(candidates)
        return self._random.choices(candidates, weights)[0].address

    def mark_failed(self, address: str) -> None:
        """Use a failed address only as a last resort for FAILED_ADDRESS_PENALTY_MS."""
        now_ms = self._clock.now_ms()
        self._failed_until_ms = {
            key: until_ms for key, until_ms in self._failed_until_ms.items() if until_ms > now_ms
        }
        self._failed_until_ms[address] = now_ms + FAILED_ADDRESS_PENALTY_MS

    def remove(self, address: str) -> None:
        """Remove a leaving instance from the cached addresses of every service."""
        for cached in self._cached.values():
            cached.addresses = tuple(item for item in cached.addresses if item.address != address)

    def replace(self, service: str, addresses: tuple[Address, ...]) -> None:
        """Replace the cached addresses by those of a refusal; the expiry time stays."""
        if addresses and service in self._cached:
            self._cached[service].addresses = addresses

    async def close(self) -> None:
        """Cancel the look-ups in progress and wait until they have ended."""
        lookups = [cached.lookup for cached in self._cached.values() if cached.lookup]
        for lookup in lookups:
            lookup.cancel()
        await asyncio.gather(*lookups, return_exceptions=True)

    async def _look_up(self, service: str, cached: _CachedAddresses) -> Failure | None:
        sources = list(self._seeds)
        self._random.shuffle(sources)
        now_ms = self._clock.now_ms()
        sources.sort(key=lambda address: self._failed_until_ms.get(address, 0.0) > now_ms)
        # Cached instances answer look-ups too, so that the client survives the loss of all seeds.
        sources += [item.address for item in cached.addresses if item.address not in self._seeds]
        problem = "no seed address is set"
        for source in sources:
            # The lifetime counts from the request, since the answer may be old when it arrives.
            requested_ms = self._clock.now_ms()
            found = await self._fetch(source, service)
            if isinstance(found, AddressLookup) and found.addresses:
                cached.addresses = found.addresses
                cached.refresh_at_ms = requested_ms + found.ttl_ms / 2
                cached.expires_at_ms = requested_ms + found.ttl_ms
                return None
            cached.refresh_at_ms = self._clock.now_ms() + LOOKUP_RETRY_DELAY_MS
            if isinstance(found, Failure) and not found.answer.retryable:
                return found
            problem = f"{source}: {getattr(found, 'message', 'no instance serves it')}"
        return Failure(ErrorKind.NOT_READY, f"no address for service {service}; last: {problem}")


class _NextStep(Enum):
    """The step that is permitted after an attempt."""

    STOP = auto()
    # The attempt certainly did not run.
    RETRY_ELSEWHERE = auto()
    # The connection was lost after the request was sent, so the attempt may have run.
    RETRY_AFTER_LOSS = auto()
    # Another attempt with the same idempotency key is running, or has run with an unknown outcome.
    RETRY_LATER = auto()


class _Attempt(NamedTuple):
    """The outcome of one attempt, an answer or a Failure, and the step that it permits."""

    outcome: Any
    next_step: _NextStep


@dataclass(slots=True)
class _Call:
    """One request of a caller, over all its attempts.

    `loss_retries_left` is how many more attempts may follow one that may have run.
    """

    service: str
    verb: str
    body: dict[str, Any]
    headers: dict[str, str]
    deadline_ms: float
    loss_retries_left: int
    parse_answer: Callable[[str, dict[str, Any]], Any]
    tried: set[str] = field(default_factory=set)
    may_have_run: bool = False
    backoff_ms: float = INITIAL_BACKOFF_MS


class Client:
    """Sends queries and orders of one caller; use it as an asynchronous context manager.

    `seeds` are the addresses `host:port` of entry instances. Instances in `failure_domain`, that of
    the caller, are preferred. Requests return errors as `Failure` and do not raise; the constructor
    raises ValueError for a seed that is not `host:port`.
    """

    def __init__(
        self,
        seeds: Sequence[str],
        failure_domain: str = "",
        clock: Clock | None = None,
        random: RandomSource | None = None,
        budget: RetryBudget | None = None,
    ) -> None:
        self._clock = clock or SystemClock()
        self._budget = budget or RetryBudget()
        self._address_cache = AddressCache(
            [_check_address(seed) for seed in seeds],
            failure_domain,
            self._fetch_addresses,
            self._clock,
            random or RandomSource(),
        )
        self._session: aiohttp.ClientSession | None = None
        self.retry_count = 0

    async def __aenter__(self) -> Self:
        trace = aiohttp.TraceConfig()
        trace.on_request_headers_sent.append(_mark_request_sent)
        # A slow instance must not block connections to others, so the limit is per host only.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, limit_per_host=MAX_CONNECTIONS_PER_INSTANCE),
            cookie_jar=aiohttp.DummyCookieJar(),
            trace_configs=[trace],
        )
        return self

    async def __aexit__(self, *details: object) -> None:
        await self.close()

    async def close(self) -> None:
        """Cancel address look-ups and close all connections."""
        await self._address_cache.close()
        if self._session:
            await self._session.close()

    async def query(
        self, service: str, text: str, deadline_ms: int, limit: int = 20
    ) -> QueryAnswer | Failure:
        """Return the answer to a query, whose coverage may be partial, or a Failure.

        `deadline_ms` counts from the call; `limit` is the maximum number of rows.
        """
        if deadline_ms < 1 or limit < 1:
            return Failure(ErrorKind.BAD_REQUEST, "deadline_ms and limit must be at least 1")
        body = {"query": text, "limit": limit}
        deadline = self._clock.now_ms() + deadline_ms
        return await self._run(
            _Call(service, "query", body, {}, deadline, MAX_QUERY_LOSS_RETRIES, _parse_query_answer)
        )

    async def order(
        self, service: str, body: dict[str, Any], idempotency_key: str, deadline_ms: int
    ) -> OrderAnswer | Failure:
        """Place an order, which runs at most once per `idempotency_key`.

        Returns the answer, or a Failure. After a failure of kind `outcome_unknown` or `in_progress`
        the order may have run; call again with the same key to get its outcome. `deadline_ms`
        counts from the call.
        """
        if deadline_ms < 1:
            return Failure(ErrorKind.BAD_REQUEST, "deadline_ms must be at least 1")
        if not idempotency_key:
            return Failure(ErrorKind.KEY_MISSING, "an order needs an idempotency key")
        if len(idempotency_key) > MAX_KEY_LENGTH or not _is_visible_ascii(idempotency_key):
            message = f"the idempotency key must be 1 to {MAX_KEY_LENGTH} visible ASCII characters"
            return Failure(ErrorKind.BAD_REQUEST, message)
        try:
            json.dumps(body)
        except (TypeError, ValueError) as error:
            return Failure(ErrorKind.BAD_REQUEST, f"the order cannot be sent as JSON: {error}")
        deadline = self._clock.now_ms() + deadline_ms
        headers = {"Idempotency-Key": idempotency_key}
        call = _Call(
            service,
            "orders",
            {"order": body},
            headers,
            deadline,
            MAX_ORDER_LOSS_RETRIES,
            _parse_order_answer,
        )
        return await self._run(call)

    async def _run(self, call: _Call) -> Any:
        self._budget.record_request()
        address = await self._find_address(call)
        if isinstance(address, Failure):
            return address
        while True:
            attempt = await self._send(call, address)
            call.may_have_run |= attempt.next_step is _NextStep.RETRY_AFTER_LOSS
            call.tried.add(address)
            found = await self._find_next_address(call, attempt.next_step)
            if found is None:
                return _resolve_outcome(call, attempt.outcome)
            address = found
            self.retry_count += 1

    async def _find_next_address(self, call: _Call, next_step: _NextStep) -> str | None:
        """Return the address of the next attempt.

        Returns None if another attempt is unsafe, too late or over the retry budget, or if there
        is no address.
        """
        if next_step is _NextStep.STOP:
            return None
        if next_step is _NextStep.RETRY_AFTER_LOSS:
            call.loss_retries_left -= 1
            if call.loss_retries_left < 0:
                return None
        if next_step is _NextStep.RETRY_LATER:
            await asyncio.sleep(min(call.backoff_ms, self._get_remaining_ms(call)) / 1000.0)
            call.backoff_ms = min(2 * call.backoff_ms, MAX_BACKOFF_MS)
        if self._get_remaining_ms(call) <= DEADLINE_MARGIN_LIMITS_MS[0]:
            return None
        address = await self._find_address(call)
        if isinstance(address, Failure) and next_step is not _NextStep.RETRY_ELSEWHERE:
            # After a lost connection, or to get the outcome of an order, an address may be reused.
            call.tried.clear()
            address = await self._find_address(call)
        if isinstance(address, Failure) or not self._budget.try_spend():
            return None
        return address

    async def _find_address(self, call: _Call) -> str | Failure:
        found = await self._address_cache.get(call.service, self._get_remaining_ms(call))
        if isinstance(found, Failure):
            return found
        address = self._address_cache.choose(found, call.tried)
        if address is None:
            message = f"no untried address is left for service {call.service}"
            return Failure(ErrorKind.NOT_READY, message)
        return address

    def _get_remaining_ms(self, call: _Call) -> float:
        return call.deadline_ms - self._clock.now_ms()

    async def _send(self, call: _Call, address: str) -> _Attempt:
        remaining_ms = self._get_remaining_ms(call)
        min_margin_ms, max_margin_ms = DEADLINE_MARGIN_LIMITS_MS
        sent_deadline_ms = int(
            remaining_ms
            - min(max_margin_ms, max(min_margin_ms, DEADLINE_MARGIN_SHARE * remaining_ms))
        )
        if sent_deadline_ms < 1:
            message = "the deadline passed before the request was sent"
            return _Attempt(Failure(ErrorKind.DEADLINE_PAST, message), _NextStep.STOP)
        path = f"/v1/services/{quote(call.service, safe='')}/{call.verb}"
        send_state = SimpleNamespace(is_sent=False)
        try:
            async with self._session.post(
                URL(f"http://{address}{path}", encoded=True),
                json=call.body | {"deadline_ms": sent_deadline_ms},
                headers=call.headers,
                allow_redirects=False,
                timeout=_make_timeout(remaining_ms),
                trace_request_ctx=send_state,
            ) as response:
                raw = await read_body(response)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._address_cache.mark_failed(address)
            return _make_loss_attempt(address, send_state.is_sent, error)
        if response.headers.get(LEAVING_HEADER) == "1":
            self._address_cache.remove(address)
        return self._handle_response(call, address, response.status, raw)

    def _handle_response(self, call: _Call, address: str, status: int, raw: bytes) -> _Attempt:
        try:
            document = json.loads(raw)
            if status == 200:
                return _Attempt(call.parse_answer(call.service, document), _NextStep.STOP)
            failure, may_retry_elsewhere = _parse_failure(document)
            addresses = _parse_addresses(document.get("addresses", ()))
        except (ValueError, LookupError, TypeError, AttributeError):
            message = f"{address} answered {status} with a malformed body"
            return _Attempt(Failure(ErrorKind.INTERNAL, message), _NextStep.STOP)
        self._address_cache.replace(call.service, addresses)
        if failure.kind is ErrorKind.IN_PROGRESS:
            return _Attempt(failure, _NextStep.RETRY_LATER)
        if not may_retry_elsewhere:
            return _Attempt(failure, _NextStep.STOP)
        self._address_cache.mark_failed(address)
        return _Attempt(failure, _NextStep.RETRY_ELSEWHERE)

    async def _fetch_addresses(self, source: str, service: str) -> AddressLookup | Failure:
        try:
            async with self._session.get(
                URL(
                    f"http://{source}/v1/addresses?service={quote(service, safe='')}", encoded=True
                ),
                allow_redirects=False,
                timeout=_make_timeout(LOOKUP_TIMEOUT_MS),
            ) as response:
                document = json.loads(await read_body(response))
                if response.status != 200:
                    return _parse_failure(document)[0]
                addresses = _parse_addresses(document["addresses"])
                return AddressLookup(addresses, float(document["keep_ms"]))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self._address_cache.mark_failed(source)
            return Failure(ErrorKind.NOT_READY, _describe_error(error))
        except (ValueError, LookupError, TypeError, AttributeError):
            return Failure(ErrorKind.NOT_READY, "the answer to the address look-up is malformed")


async def _mark_request_sent(session: Any, context: SimpleNamespace, parameters: Any) -> None:
    # aiohttp calls this before it writes the first byte, so without the flag nothing was sent.
    if context.trace_request_ctx is not None:
        context.trace_request_ctx.is_sent = True


def _make_timeout(total_ms: float) -> aiohttp.ClientTimeout:
    connect_s = min(total_ms, CONNECT_TIMEOUT_MS) / 1000.0
    return aiohttp.ClientTimeout(total=total_ms / 1000.0, sock_connect=connect_s)


def _describe_error(error: Exception) -> str:
    return str(error) or type(error).__name__


def _make_loss_attempt(address: str, is_sent: bool, error: Exception) -> _Attempt:
    if is_sent:
        message = (
            f"no answer from {address}, which may have run the request: {_describe_error(error)}"
        )
        return _Attempt(Failure(ErrorKind.OUTCOME_UNKNOWN, message), _NextStep.RETRY_AFTER_LOSS)
    message = f"no connection to {address}: {_describe_error(error)}"
    return _Attempt(Failure(ErrorKind.NOT_READY, message), _NextStep.RETRY_ELSEWHERE)


def _resolve_outcome(call: _Call, outcome: Any) -> Any:
    """Return the outcome of the call.

    A refusal of the last attempt does not show whether an earlier one ran, so the outcome is then
    unknown.
    """
    if not isinstance(outcome, Failure) or not call.may_have_run:
        return outcome
    if outcome.answer.run_state is RunState.RAN or outcome.kind is ErrorKind.OUTCOME_UNKNOWN:
        return outcome
    message = f"an attempt lost its connection and may have run; last answer: {outcome.message}"
    return Failure(ErrorKind.OUTCOME_UNKNOWN, message)


def _is_visible_ascii(text: str) -> bool:
    return all("!" <= character <= "~" for character in text)


def _parse_failure(document: dict[str, Any]) -> tuple[Failure, bool]:
    """Return the failure in an error body, and whether another address may be tried.

    Raises LookupError, TypeError, AttributeError or ValueError if the body is malformed.
    """
    error = document["error"]
    run_state = RunState(error["run_state"])
    message = f"{error['message']} (request {error['request_id']})"
    try:
        failure = Failure(ErrorKind(error["kind"]), message)
    except ValueError:
        message = f"unknown error kind {error['kind']}: {message}"
        failure = Failure(ErrorKind.INTERNAL, message)
    # The run state in the answer describes this request, so it overrides the default of the kind.
    if run_state is RunState.UNKNOWN and failure.answer.run_state is RunState.NOT_RUN:
        failure = Failure(ErrorKind.OUTCOME_UNKNOWN, message)
    return failure, run_state is RunState.NOT_RUN and error["retryable"] is True


def _parse_addresses(items: Sequence[dict[str, Any]]) -> tuple[Address, ...]:
    return tuple(
        Address(_check_address(item["address"]), str(item["failure_domain"]), float(item["weight"]))
        for item in items
    )


def _check_address(address: str) -> str:
    if URL(f"http://{address}").explicit_port is None:
        raise ValueError(f"expected an address host:port, found {address!r}")
    return address


def _parse_query_answer(service: str, document: dict[str, Any]) -> QueryAnswer | Failure:
    snapshot, coverage = document["snapshot"], document["coverage"]
    if snapshot["service"] != service:
        message = f"the answer is for service {snapshot['service']}, not {service}"
        return Failure(ErrorKind.INTERNAL, message)
    missing = tuple(KeyRange(int(low), int(high)) for low, high in coverage["missing"])
    return QueryAnswer(
        request_id=str(document["request_id"]),
        service=service,
        version=int(snapshot["version"]),
        coverage=Coverage(float(coverage["share"]), missing, tuple(coverage["reasons"])),
        rows=tuple(document["rows"]),
        truncated=bool(document["truncated"]),
        took_ms=float(document["took_ms"]),
        config_revision=int(document["config_revision"]),
    )


def _parse_order_answer(service: str, document: dict[str, Any]) -> OrderAnswer:
    return OrderAnswer(str(document["request_id"]), document["answer"], bool(document["replayed"]))
