"""Randomised soak test: real entry processes under injected faults, checked for invariants."""
