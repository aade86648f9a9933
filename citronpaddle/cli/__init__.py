"""Command-line programs: they parse options and settings, run a component and set the exit code."""
