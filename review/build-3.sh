#!/bin/sh
# Build what the scripts of the third review start. Their stand-ins are Python modules of
# the standard library alone; compiling them shows that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/small_deployment.py review/1[1-5]/case.py || exit 2
