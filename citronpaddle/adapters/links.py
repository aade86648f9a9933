"""Network delay and partitions towards other instances, simulated for tests and experiments."""

from abc import ABC, abstractmethod


class Links(ABC):
    """The simulated network conditions of messages to and from an address."""

    @abstractmethod
    def delay_ms(self, address: str) -> float:
        """Return the one-way delay of the next message in ms."""

    @abstractmethod
    def is_cut(self, address: str) -> bool:
        """Return whether messages to and from the address are currently dropped."""


class DirectLinks(Links):
    """Links without added delay or loss, for the real network."""

    def delay_ms(self, address: str) -> float:
        return 0.0

    def is_cut(self, address: str) -> bool:
        return False
