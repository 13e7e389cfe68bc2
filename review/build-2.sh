#!/bin/sh
# Builds what the cases from 6 on start: the programs, with the command of the
# deploy file, and the stand-ins under review/rig2, which need nothing more.
cd "$(dirname "$0")/.." || exit 2
build=$(python3 -c '
import tomllib
with open("deploy/system.toml", "rb") as file:
    print(tomllib.load(file)["build"])
') || exit 2
sh -c "$build" || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:review python3 -c '
import rig2.backlog
import rig2.runner
import rig2.store
import rig2.system
'
