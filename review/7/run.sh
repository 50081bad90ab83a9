#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 case.py
