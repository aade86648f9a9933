"""The form of callers' requests and answers, as the gateway needs it."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from .adapters.httpserver import HttpAnswer, HttpRequest
from .forwarding import RoutedRequest
from .policy.calls import Outcome


class CallerRequest(NamedTuple):
    """A decoded request of a caller.

    `deadline_ms` is the time that the caller allows from the arrival of the request, or None if it
    gives none. `key` identifies the caller's team; it is None if the request has no usable key.
    """

    id: str
    host: str
    path: str
    deadline_ms: float | None
    key: str | None
    is_head: bool


class CallerCodec(ABC):
    """Decodes callers' requests and encodes their answers in the platform's format."""

    @abstractmethod
    def read_request(self, request: HttpRequest) -> CallerRequest | None:
        """Return the request, or None if it is malformed."""

    @abstractmethod
    def make_content(self, request: HttpRequest, team: str | None, has_teams: bool) -> object:
        """Return the content of a request for the upstreams.

        `has_teams` states that the configuration identifies callers by keys. The content then has
        the name of the caller's `team`, if any, in place of the key.
        """

    @abstractmethod
    def make_answer(self, request: RoutedRequest, outcome: Outcome) -> HttpAnswer:
        """Return the answer for an outcome."""

    @abstractmethod
    def make_refusal(self, reason: str, retry_ms: float) -> HttpAnswer:
        """Return the answer to a request that has not run and may be retried after `retry_ms`."""

    @abstractmethod
    def make_over_quota(self, retry_ms: float) -> HttpAnswer:
        """Return the answer to a request beyond its team's quota, to be retried in `retry_ms`."""

    @abstractmethod
    def make_unauthorized(self) -> HttpAnswer:
        """Return the answer to a request without a valid key."""

    @abstractmethod
    def find_resolve_domain(self, request: HttpRequest) -> str | None:
        """Return the failure domain if the caller requests addresses; None for other requests."""

    @abstractmethod
    def make_address_list(self, addresses: list[str], address_ttl_s: float) -> HttpAnswer:
        """Return the answer with the addresses, which the caller may keep for `address_ttl_s`."""
