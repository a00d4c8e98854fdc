#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the broker, after the build of the deploy file. Their
# stand-ins are Python of the standard library (rig.py and the case.py of each): they only have to compile.
cd "$(dirname "$0")" || exit 2
exec ../.venv/bin/python -m compileall -q rig.py */case.py
