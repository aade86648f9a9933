"""A randomised soak: real entry processes, faults from outside, promises checked as they run."""
