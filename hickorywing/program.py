"""Run a daemon's coroutine until it ends or a signal asks for a stop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
import importlib
import os
from pathlib import Path
import signal
import sys
import traceback

from returns.result import Failure

from hickorywing.documents import load_document
from hickorywing.documents import Model
from hickorywing.errors import UserError
from hickorywing.logs import configure_logs

__all__ = [
    "EXIT_USER_ERROR",
    "cancel_tasks",
    "describe_reload",
    "guard_task",
    "parse_settings_path",
    "run_program",
    "wait_for_stop",
]

EXIT_USER_ERROR = 2
EXIT_PART_DIED = 3


async def wait_for_stop(reload: Callable[[], None] | None = None) -> None:
    """Return when the process is asked to stop by SIGTERM or SIGINT.

    ``reload`` is called at each SIGHUP, which otherwise ends the process.
    """
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    await asked.wait()


async def cancel_tasks(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended."""
    waiting = list(tasks)
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


def guard_task(
    work: Coroutine[None, None, None], report: Callable[[str], None]
) -> asyncio.Task[None]:
    """Run a part that must not end by itself; its error ends the program.

    The platform starts the program again. A part that died unnoticed would
    leave a process that looks alive and does nothing.
    """

    async def run() -> None:
        try:
            await work
        except Exception:
            report(traceback.format_exc())
            os._exit(EXIT_PART_DIED)

    return asyncio.ensure_future(run())


def parse_settings_path() -> Path:
    """Return the settings file that the command line names.

    The command line's library takes a sixth of a daemon's start, so it is
    loaded only to explain what is wrong, or for help.
    """
    arguments = sys.argv[1:]
    if len(arguments) == 1 and not arguments[0].startswith("-"):
        return Path(arguments[0])
    command = importlib.import_module("hickorywing.daemoncommand")
    return command.parse_command(sys.argv[0]).settings


def describe_reload(
    path: Path, model: type[Model], present: Model
) -> dict[str, object]:
    """Return what a reload finds in a settings file, for the log.

    Settings are read at the start only. A daemon whose settings have changed
    says so; they take effect at its next start.
    """
    loaded = load_document(path, model)
    if isinstance(loaded, Failure):
        return {"findings": [str(item) for item in loaded.failure()]}
    fresh = loaded.unwrap()
    changed = [
        name
        for name in type(present).model_fields
        if getattr(fresh, name) != getattr(present, name)
    ]
    return {"changed": changed}


def run_program(start: Callable[[], Awaitable[None]], name: str) -> None:
    """Run a daemon; user errors end it with their text and exit code 2."""
    configure_logs()

    async def run() -> None:
        await start()

    try:
        asyncio.run(run())
    except UserError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
