#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the instances: stand-ins in Python, which need the
# standard library alone. Run it after the build of deploy/system.toml.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q harness2 6 7 8 9 10
