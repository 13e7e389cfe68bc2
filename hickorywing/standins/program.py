"""Run a stand-in for one of the platform's services as a process."""

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from hickorywing.program import run_program
from hickorywing.program import wait_for_stop
from hickorywing.settings import read_settings
from hickorywing.settings import StandinSettings
from hickorywing.standins.backends import announce
from hickorywing.standins.backends import make_backend_app
from hickorywing.standins.objects import make_objects_app
from hickorywing.standins.tables import make_table_app
from hickorywing.standins.tables import MemoryTable
from hickorywing.standins.workers import make_worker_app
from hickorywing.standins.workers import WorkerTasks
from hickorywing.web import WebServer

__all__ = ["main"]


@dataclass
class StandinCommand:
    """Stand in for a table, object store, backend server or worker."""

    settings: Annotated[Path, cappa.Arg(help="Settings file.")]


async def serve_standin(settings: StandinSettings) -> None:
    """Serve the stand-in of the configured kind until a signal stops it."""
    apps = {
        "table": lambda: make_table_app(MemoryTable()),
        "objects": make_objects_app,
        "backend": lambda: make_backend_app(settings),
        "worker": lambda: make_worker_app(WorkerTasks()),
    }
    server = WebServer(apps[settings.kind](), settings.listen)
    await server.start()
    tasks = []
    if settings.kind == "backend" and settings.agent:
        tasks.append(asyncio.create_task(announce(settings, server.address)))
    await wait_for_stop()
    for task in tasks:
        task.cancel()
    await server.stop()


def main() -> None:
    """Run ``hickorywing-standin``."""
    command = cappa.parse(StandinCommand)
    run_program(
        lambda: serve_standin(
            read_settings(command.settings, StandinSettings)
        ),
        "standin",
    )
