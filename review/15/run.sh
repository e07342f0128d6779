#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
python3 -c "import asyncio, tomllib; asyncio.timeout" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/case.py"
