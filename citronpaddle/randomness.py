"""The random source for all random decisions; a run with the same seed is reproducible."""

import random


class RandomSource(random.Random):
    """A seedable pseudo-random number generator; not suitable for secrets."""
