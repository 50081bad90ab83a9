#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: they need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q stand_ins_2
