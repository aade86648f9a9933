"""Runs an entry instance on the users' platform: `python -m citronpaddle.platform.entry`.

The settings file is named by the variable CITRONPADDLE_CONFIG.
"""

import os
import signal
import sys

if __name__ == "__main__":
    # Until it is handled, SIGHUP would end the process. What it tells of is read later anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # An entry instance speaks no TLS. asyncio does without the module, which would take a megabyte
    # of each instance and a tenth of its start.
    sys.modules["ssl"] = None

import asyncio

if __name__ == "__main__":
    # What is loaded on demand, such as the metrics page, may still have it.
    del sys.modules["ssl"]

from ..adapters.eventlog import Event, EventLog
from ..clock import SystemClock
from ..gateway import Gateway
from ..randomness import RandomSource
from ..status import ExitStatus
from .codec import PlatformCallerCodec, PlatformStateDecoder
from .headers import PlatformCodec
from .settings import PlatformSettingsError, load_settings
from .store import HttpStateStore

SETTINGS_VARIABLE = "CITRONPADDLE_CONFIG"
DEFAULT_SETTINGS = "/etc/citronpaddle/local.toml"


async def run(path: str) -> ExitStatus:
    """Run the instance until SIGTERM or SIGINT; SIGHUP reads the settings anew.

    Raise PlatformSettingsError if the settings can't be used at the start.
    """
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    changed = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    # The settings are read after this, so that no change of them is missed.
    loop.add_signal_handler(signal.SIGHUP, changed.set)
    settings = load_settings(path)
    clock = SystemClock()
    log = EventLog(settings.name, clock)
    gateway = Gateway(
        settings,
        clock,
        RandomSource(),
        log,
        PlatformCodec(),
        PlatformCallerCodec(),
        HttpStateStore,
        PlatformStateDecoder(),
    )
    try:
        await gateway.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return ExitStatus.UNAVAILABLE
    reloading = loop.create_task(_reload(gateway, log, path, changed))
    await stopped.wait()
    reloading.cancel()
    await gateway.stop()
    return ExitStatus.OK


async def _reload(gateway: Gateway, log: EventLog, path: str, changed: asyncio.Event) -> None:
    """Take the settings over whenever they have changed."""
    while True:
        await changed.wait()
        changed.clear()
        try:
            gateway.reload(load_settings(path))
        except PlatformSettingsError as error:
            log.write(Event.SETTINGS_REFUSED, "entry", reason=str(error))


def main() -> ExitStatus:
    """Load the settings and run; return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    try:
        if sys.argv[1:]:
            # click is loaded only for options, which a serving process has none of.
            from .options import check

            return check(path, load_settings(path))
        return asyncio.run(run(path))
    except PlatformSettingsError as error:
        print(f"settings: {error}", file=sys.stderr)
        return ExitStatus.BAD_DOCUMENT


if __name__ == "__main__":
    sys.exit(main())
