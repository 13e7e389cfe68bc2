#!/bin/sh
# Build what the scripts of this review start beside the two programs. All of
# it is plain Python, the project's own modules too, so it is compiled to see
# that the interpreter takes it. The files go to a temporary folder.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
PYTHONPYCACHEPREFIX="$folder" python3 -m compileall -q \
    hickorywing review/rig3 review/11 review/12 review/13 review/14 \
    review/15 2>/dev/null ||
    PYTHONPYCACHEPREFIX="$folder" python3 -m compileall -q \
        hickorywing review/rig3
PYTHONPYCACHEPREFIX="$folder" PYTHONPATH="target/deps:." \
    python3 -c "import review.rig3.system, hickorywing"
