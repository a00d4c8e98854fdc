#!/bin/sh
# 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." && exec .venv/bin/python review/3/test.py
