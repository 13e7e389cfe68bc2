#!/usr/bin/env bash
# Checks what the scripts start. The stand-ins in review/rig use the standard
# library only, so that nothing has to be fetched or compiled beyond byte code.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
"""Check the interpreter and compile the stand-ins in memory."""

from pathlib import Path
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
if not Path("target/deps/aiohttp").is_dir():
    sys.exit("run the build of deploy/system.toml first")
for source in sorted(Path("review").glob("*/*.py")):
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
CHECK
