#!/bin/sh
# Builds the stand-ins of the review's scripts: they are Python, so they are only compiled.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q common [1-5]
