"""Keeps tasks running that must not end with an unexpected error."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from .adapters.eventlog import Event, EventLog


async def restart_on_error(
    work: Callable[[], Coroutine[Any, Any, None]], log: EventLog, part: str, pause_ms: float
) -> None:
    """Run `work` until it returns; log an unexpected error of it and restart it after a pause."""
    while True:
        try:
            await work()
            return
        except Exception as error:
            log.write(Event.INTERNAL_ERROR, part, reason=repr(error), work=work.__name__)
            await asyncio.sleep(pause_ms / 1_000)
