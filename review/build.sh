#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They need nothing but Python's standard library.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
