"""Runs an entry instance on the users' platform: `python -m citronpaddle.platform.entry`.

The settings file is named by the variable CITRONPADDLE_CONFIG.
"""

import os
import signal
import sys

if __name__ == "__main__":
    # Without a handler, SIGHUP would end the process. Until the handler is installed it can be
    # ignored: the settings are read after that.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # An entry instance uses no TLS, and asyncio works without the ssl module, which would take a
    # megabyte of memory per instance and a tenth of its start time.
    sys.modules["ssl"] = None

import asyncio

if __name__ == "__main__":
    # Modules that are imported on demand, such as the one for metrics, can still import ssl.
    del sys.modules["ssl"]

from ..adapters.eventlog import Event, EventLog
from ..clock import SystemClock
from ..gateway import Gateway
from ..randomness import RandomSource
from ..status import ExitStatus
from .codec import PlatformCallerCodec, PlatformStateDecoder
from .headers import PlatformCodec
from .rollouts import PlatformRolloutCodec
from .settings import PlatformSettingsError, load_settings
from .store import HttpStateStore

SETTINGS_VARIABLE = "CITRONPADDLE_CONFIG"
DEFAULT_SETTINGS = "/etc/citronpaddle/local.toml"


async def run(path: str) -> ExitStatus:
    """Run the instance until SIGTERM or SIGINT, and reload the settings on SIGHUP.

    Return the exit code: OK after a stop, UNAVAILABLE if an address can't be used. Raise
    PlatformSettingsError if the settings can't be used at the start.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    # The settings are read after the handler is installed, so that no change is missed.
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
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
        PlatformRolloutCodec(),
    )
    try:
        await gateway.start()
    except OSError as error:
        print(f"cannot listen: {error}", file=sys.stderr)
        return ExitStatus.UNAVAILABLE
    reload_task = loop.create_task(_reload_on_request(gateway, log, path, reload_requested))
    await stop_requested.wait()
    reload_task.cancel()
    await gateway.stop()
    return ExitStatus.OK


async def _reload_on_request(
    gateway: Gateway, log: EventLog, path: str, reload_requested: asyncio.Event
) -> None:
    """Reload the settings whenever `reload_requested` is set; log settings that can't be used."""
    while True:
        await reload_requested.wait()
        reload_requested.clear()
        try:
            gateway.reload(load_settings(path))
        except PlatformSettingsError as error:
            log.write(Event.SETTINGS_REFUSED, "entry", reason=str(error))


def main() -> ExitStatus:
    """Load the settings and run; return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS)
    try:
        if sys.argv[1:]:
            # click is imported only if there are options; a serving process has none.
            from .options import check

            return check(path, load_settings(path))
        return asyncio.run(run(path))
    except PlatformSettingsError as error:
        print(f"settings: {error}", file=sys.stderr)
        return ExitStatus.BAD_DOCUMENT


if __name__ == "__main__":
    sys.exit(main())
