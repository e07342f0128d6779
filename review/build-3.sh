#!/bin/sh
# Build what the scripts of the third review start. Their stand-ins are Python modules of
# the standard library alone; compiling them shows that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
python3 -m py_compile review/small_deployment.py
for case in 11 12 13 14 15; do
    if [ -f "review/$case/case.py" ]; then
        python3 -m py_compile "review/$case/case.py" || exit 2
    fi
done
