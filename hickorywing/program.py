"""Start, reload and stop daemons, and supervise their tasks."""

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
from hickorywing.startsignals import take_reload_request

__all__ = [
    "EXIT_USER_ERROR",
    "cancel_tasks",
    "describe_reload",
    "parse_settings_path",
    "run_program",
    "start_critical_task",
    "wait_for_stop",
]

EXIT_USER_ERROR = 2
EXIT_TASK_FAILED = 3


async def wait_for_stop(reload: Callable[[], None] | None = None) -> None:
    """Wait until the process is asked to stop by SIGTERM or SIGINT.

    ``reload`` is called at each SIGHUP, also for one that was kept during the
    start. Without it, a SIGHUP ends the process.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
        if take_reload_request():
            reload()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await stop_requested.wait()


async def cancel_tasks(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until all have ended."""
    cancelled = list(tasks)
    for task in cancelled:
        task.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)


def start_critical_task(
    work: Coroutine[None, None, None], report: Callable[[str], None]
) -> asyncio.Task[None]:
    """Start a background task whose failure ends the process.

    ``report`` is first called with the traceback. The platform restarts the
    process. A task that failed unnoticed would leave a process that seems
    alive but does nothing.
    """

    async def run() -> None:
        try:
            await work
        except Exception:
            report(traceback.format_exc())
            os._exit(EXIT_TASK_FAILED)

    return asyncio.ensure_future(run())


def parse_settings_path() -> Path:
    """Return the settings file that the command line names.

    Loading the command line library takes a sixth of the time in which a
    daemon starts, so it is loaded only for help and to report wrong arguments.
    """
    arguments = sys.argv[1:]
    if len(arguments) == 1 and not arguments[0].startswith("-"):
        return Path(arguments[0])
    command = importlib.import_module("hickorywing.daemoncommand")
    return command.parse_command(sys.argv[0]).settings


def describe_reload(
    path: Path, model: type[Model], present: Model
) -> dict[str, object]:
    """Return the log fields for a reload: findings or changed settings.

    Settings are read only at the start. A reload just logs the names of those
    that have changed; they take effect at the next start.
    """
    loaded = load_document(path, model)
    if isinstance(loaded, Failure):
        return {"findings": [str(item) for item in loaded.failure()]}
    reloaded = loaded.unwrap()
    changed = [
        name
        for name in type(present).model_fields
        if getattr(reloaded, name) != getattr(present, name)
    ]
    return {"changed": changed}


def run_program(start: Callable[[], Awaitable[None]], name: str) -> None:
    """Run a daemon; print a ``UserError`` and exit with code 2."""
    configure_logs()

    async def run() -> None:
        await start()

    try:
        asyncio.run(run())
    except UserError as error:
        print(f"{name}: {error}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
