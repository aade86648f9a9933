"""The measurements of `extras/measure.py`, one module for each subject."""
