#!/bin/sh
# Builds the stand-ins of the cases. They are Python files that need the standard library only.
cd "$(dirname "$0")/.." && exec .venv/bin/python -m compileall -q review
