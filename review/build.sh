#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and need no library.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
from pathlib import Path

for path in Path(".").rglob("*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
END
