"""The command line of the daemons whose only argument is a settings file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

__all__ = ["DaemonCommand", "parse_command"]


@dataclass
class DaemonCommand:
    """Run a daemon of a pool until SIGTERM or SIGINT."""

    settings: Annotated[Path, cappa.Arg(help="Settings file.")]


def parse_command(program: str) -> DaemonCommand:
    """Parse the command line; print an error and exit if it is wrong."""
    command = cappa.command(name=Path(program).name)(DaemonCommand)
    return cappa.parse(command)
