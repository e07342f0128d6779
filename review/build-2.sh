#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use Python's standard library only, so
# there is nothing to install; this checks that each of them compiles.
cd "$(dirname "$0")" && python3 -m compileall -q testbed.py 6 7 8 9 10
