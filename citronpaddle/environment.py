"""The dependencies that all components of an instance share."""

from collections.abc import Callable
from dataclasses import dataclass

from logbook import Logger

from .clock import Clock
from .randomness import RandomSource


@dataclass(frozen=True, slots=True)
class Environment:
    """Clock, random source and loggers; `make_logger` returns the logger of a named component."""

    clock: Clock
    random: RandomSource
    make_logger: Callable[[str], Logger]
