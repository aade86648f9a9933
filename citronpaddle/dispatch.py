"""Sends sub-requests and orders to the owners of their upstreams, local or at a peer."""

import asyncio
from collections.abc import Callable, Coroutine

from .clock import Clock
from .directory import InstanceResolver, ServiceDirectory
from .documents import Configuration
from .errors import ANSWERS, ErrorKind, Failure, RunState
from .models import SubReply, SubRequest, UpstreamState
from .order import OrderSender
from .owner import Owner
from .policy.rendezvous import rank_candidates
from .ports import OrderCall, OrderReply, Peers
from .query import Dispatcher

# The first index of a service may be fetched within half of the deadline.
FIRST_INDEX_DEADLINE_DIVISOR = 2


class SubRequestDispatcher(Dispatcher):
    """Sends sub-requests to the owners; those for one peer are sent in one frame."""

    def __init__(self, name: str, owner: Owner, peers: Peers, resolver: InstanceResolver) -> None:
        self._name = name
        self._owner = owner
        self._peers = peers
        self._resolver = resolver
        self._tasks: set[asyncio.Task[None]] = set()

    def send(
        self, owner: str, calls: list[SubRequest], deliver: Callable[[SubReply], None]
    ) -> None:
        if owner == self._name:
            for call in calls:
                self._spawn(self._execute_locally(call, deliver))
            return
        self._spawn(self._execute_remotely(owner, calls, deliver))

    def cancel(self, owner: str, call_ids: list[str]) -> None:
        if owner == self._name:
            self._owner.cancel(call_ids)
            return
        address = self._resolver.find_peer_address(owner)
        if address is not None:
            self._spawn(self._peers.cancel(address, call_ids))

    async def close(self) -> None:
        """Wait until all calls in progress have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute_locally(self, call: SubRequest, deliver: Callable[[SubReply], None]) -> None:
        deliver(await self._owner.execute(call))

    async def _execute_remotely(
        self, owner: str, calls: list[SubRequest], deliver: Callable[[SubReply], None]
    ) -> None:
        address = self._resolver.find_peer_address(owner)
        if address is None:
            for call in calls:
                message = f"no address is known for instance {owner}"
                deliver(SubReply(call.call_id, call.upstream, ErrorKind.NO_OWNER, message, b""))
            return
        timeout_ms = max(call.deadline_ms for call in calls)
        async for reply in self._peers.execute(address, calls, timeout_ms):
            deliver(reply)


class OrderDispatcher(OrderSender):
    """Sends an order to one upstream.

    Another upstream is tried only if the failure states that the order did not run.
    """

    def __init__(
        self,
        clock: Clock,
        name: str,
        owner: Owner,
        peers: Peers,
        resolver: InstanceResolver,
        directory: ServiceDirectory,
        get_configuration: Callable[[], Configuration],
    ) -> None:
        self._clock = clock
        self._name = name
        self._owner = owner
        self._peers = peers
        self._resolver = resolver
        self._directory = directory
        self._get_configuration = get_configuration

    async def send(
        self, service: str, idempotency_key: str, body: bytes, deadline_ms: float
    ) -> OrderReply | Failure:
        """Run the order within `deadline_ms` (time left).

        The kind of a failure states whether the order may have run. The caller must hold the claim
        of the key.
        """
        end_ms = self._clock.now_ms() + deadline_ms
        view = await self._directory.get_view(service, deadline_ms / FIRST_INDEX_DEADLINE_DIVISOR)
        spec = self._get_configuration().get_effective_service(service)
        result: OrderReply | Failure = Failure(
            ErrorKind.NO_OWNER, f"no usable upstream of {service} has an owner"
        )
        usable = [
            replica.upstream
            for replica in view.replicas.values()
            if replica.owner and replica.state in (UpstreamState.READY, UpstreamState.WARMING)
        ]
        for attempt, upstream in enumerate(rank_candidates(idempotency_key, usable)):
            left_ms = int(end_ms - self._clock.now_ms())
            replica = view.replicas.get(upstream)
            if left_ms <= 0 or replica is None:
                break
            call = OrderCall(
                f"{idempotency_key}#{attempt}",
                service,
                upstream,
                idempotency_key,
                body,
                left_ms,
                spec.priority if spec else 0,
            )
            result = await self._send_once(replica.owner, call)
            if not _is_not_run(result):
                return result
            self._directory.request_refresh(service)
        return result

    async def _send_once(self, owner: str, call: OrderCall) -> OrderReply | Failure:
        if owner == self._name:
            return await self._owner.order(call)
        address = self._resolver.find_peer_address(owner)
        if address is None:
            return Failure(ErrorKind.NO_OWNER, f"no address is known for instance {owner}")
        return await self._peers.order(address, call)


def _is_not_run(result: OrderReply | Failure) -> bool:
    return isinstance(result, Failure) and ANSWERS[result.kind].run_state is RunState.NOT_RUN
