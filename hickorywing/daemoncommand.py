"""The command line of a daemon that takes only a settings file."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

__all__ = ["DaemonCommand", "parse_command"]


@dataclass
class DaemonCommand:
    """Run a daemon of a pool until it is asked to stop."""

    settings: Annotated[Path, cappa.Arg(help="Settings file.")]


def parse_command(program: str) -> DaemonCommand:
    """Parse the command line; explain and exit when it is wrong."""
    command = cappa.command(name=Path(program).name)(DaemonCommand)
    return cappa.parse(command)
