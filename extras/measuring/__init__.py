"""The measurements of `extras/measure.py`, one module per command."""
