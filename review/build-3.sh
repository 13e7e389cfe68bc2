#!/bin/sh
# Build what the scripts of this review start beside the two programs. All of
# it is plain Python, the project's own modules too, so it is compiled and
# imported to see that the interpreter takes it, in a temporary folder.
set -eu
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
export PYTHONPYCACHEPREFIX="$folder" PYTHONPATH="target/deps:."
python3 -m compileall -q hickorywing review/rig3 review/1[1-5]
python3 -c "import review.rig3.case, review.rig3.store, hickorywing"
