"""Run a daemon's coroutine until it ends or a signal asks for a stop."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import signal
import sys

from hickorywing.errors import UserError
from hickorywing.logs import configure_logs

__all__ = ["EXIT_USER_ERROR", "cancel_tasks", "run_program", "wait_for_stop"]

EXIT_USER_ERROR = 2


async def wait_for_stop() -> None:
    """Return when the process is asked to stop by SIGTERM or SIGINT."""
    asked = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked.set)
    await asked.wait()


async def cancel_tasks(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until they have ended."""
    waiting = list(tasks)
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)


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
