"""The program ``hickorywing``: the command line for operators and callers.

Exit codes: 0 done, 1 refused (not run), 2 wrong input, 3 outcome unknown,
4 no entry reachable.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
import os
from pathlib import Path
import sys
from typing import Annotated
from typing import Any

import cappa
import msgspec
from returns.result import Failure
from rich.console import Console

from hickorywing.client import Answer
from hickorywing.client import Client
from hickorywing.client import EntryNotReachable
from hickorywing.decoding import DecodingError
from hickorywing.documents import load_document
from hickorywing.errors import UserError
from hickorywing.filechecks import AnyDocument
from hickorywing.filechecks import check_files
from hickorywing.findings import FindingsError
from hickorywing.rules import hash_token
from hickorywing.uilogs import explain_logs
from hickorywing.uilogs import show_claims
from hickorywing.uilogs import show_late
from hickorywing.uilogs import show_log_timeline
from hickorywing.uilogs import show_waste
from hickorywing.uitables import print_change
from hickorywing.uitables import print_jobs
from hickorywing.uitables import print_preview
from hickorywing.uitables import print_status
from hickorywing.uitables import print_timeline

__all__ = ["ExitCode", "main"]

PROGRESS_AFTER_S = 2.0


class ExitCode(enum.IntEnum):
    """The exit codes of the program, which scripts can rely on."""

    DONE = 0
    REFUSED = 1
    WRONG_INPUT = 2
    UNKNOWN = 3
    NOT_REACHABLE = 4


@cappa.command(name="check")
@dataclass
class Check:
    """Check inventory, rules and settings files, without an entry.

    Rules are checked against the inventory file among the arguments.
    """

    files: Annotated[list[Path], cappa.Arg(help="Files to check.")]


@cappa.command(name="inventory")
@dataclass
class LoadInventory:
    """Load the inventory from a file into the system."""

    file: Path


@cappa.command(name="rules")
@dataclass
class LoadRules:
    """Load the rules from a file into the system."""

    file: Path


@cappa.command(name="config")
@dataclass
class ShowConfig:
    """Show the configuration that is in force at the entry."""


@cappa.command(name="zone")
@dataclass
class Zone:
    """Take an availability zone out of service, or bring it back in."""

    state: Annotated[str, cappa.Arg(choices=["out", "in"])]
    zone: str
    if_version: Annotated[
        int | None,
        cappa.Arg(long=True, help="Only if this is the present version."),
    ] = None


@cappa.command(name="backend")
@dataclass
class Backend:
    """Drain a backend server or worker, or let it take work again."""

    state: Annotated[str, cappa.Arg(choices=["drain", "resume"])]
    name: str


@cappa.command(name="status")
@dataclass
class Status:
    """Show the zones, their controllers and the agents."""


@cappa.command(name="timeline")
@dataclass
class Timeline:
    """Show the latest events of all processes in order of time.

    The events are read from log files of the pool programs if any are given
    (- is standard input), else from an entry.
    """

    logs: Annotated[
        list[str], cappa.Arg(help="Log files of pool programs.")
    ] = field(default_factory=list)
    plot: Annotated[
        str,
        cappa.Arg(
            long=True, help="Draw the events of the logs to a PNG file."
        ),
    ] = ""
    last: Annotated[
        int, cappa.Arg(long=True, help="Number of events to show.")
    ] = 50
    subject: Annotated[
        str, cappa.Arg(long=True, help="Only events of this subject.")
    ] = ""


@cappa.command(name="submit")
@dataclass
class Submit:
    """Submit a job."""

    id: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Id of the job, so that a retry adds no second job.",
        ),
    ] = ""
    tasks: Annotated[int, cappa.Arg(long=True)] = 1
    accelerators: Annotated[
        int, cappa.Arg(long=True, help="Accelerators of each task.")
    ] = 0
    cores: Annotated[float, cappa.Arg(long=True)] = 1.0
    memory_gb: Annotated[float, cappa.Arg(long=True)] = 1.0
    adjacency: Annotated[
        str, cappa.Arg(long=True, choices=["worker", "rack", "zone"])
    ] = "zone"
    run_s: Annotated[
        float, cappa.Arg(long=True, help="Expected run time in seconds.")
    ] = 60.0
    urgent: Annotated[bool, cappa.Arg(long=True)] = False


@cappa.command(name="show")
@dataclass
class Show:
    """Show the state of one job."""

    id: str


@cappa.command(name="list")
@dataclass
class ListJobs:
    """List the jobs of the customer, for operators all jobs."""


@cappa.command(name="cancel")
@dataclass
class Cancel:
    """Cancel the named jobs, or all jobs of the customer."""

    ids: Annotated[list[str], cappa.Arg(help="Job ids.")] = field(
        default_factory=list
    )
    all: Annotated[
        bool, cappa.Arg(long=True, help="Cancel all jobs of the customer.")
    ] = False


@cappa.command(name="call")
@dataclass
class Call:
    """Send a request to a service and print the answer."""

    service: str
    path: str
    method: Annotated[str, cappa.Arg(long=True)] = "GET"
    body: Annotated[str, cappa.Arg(long=True)] = ""
    key: Annotated[str, cappa.Arg(long=True, help="Idempotency key.")] = ""


@cappa.command(name="job")
@dataclass
class Job:
    """Submit, show, list and cancel jobs."""

    command: cappa.Subcommands[Submit | Show | ListJobs | Cancel]


@cappa.command(name="hash-token")
@dataclass
class HashToken:
    """Print the hash of a bearer token, as the rules contain it."""

    token: str


@cappa.command(name="explain")
@dataclass
class Explain:
    """Explain what happened to a job, from the logs of all processes.

    With ``--late``, ``--claims`` or ``--waste`` the report covers all jobs
    that were late, the work that urgent jobs preempted, or the work that was
    lost; all arguments are then log files.
    """

    job: Annotated[str, cappa.Arg(help="Id of the job, or a log file.")] = ""
    late: Annotated[
        bool, cappa.Arg(long="--late", help="Report late jobs by phase.")
    ] = False
    claims: Annotated[
        bool,
        cappa.Arg(long="--claims", help="Report preemptions by urgent jobs."),
    ] = False
    waste: Annotated[
        bool, cappa.Arg(long="--waste", help="Report lost work by cause.")
    ] = False
    png: Annotated[
        str,
        cappa.Arg(long="--png", help="Draw --late or --waste to a PNG file."),
    ] = ""
    logs: Annotated[
        list[Path],
        cappa.Arg(help="Log files; standard input if none is given."),
    ] = field(default_factory=list)


@cappa.command(name="where")
@dataclass
class Where:
    """Explain where a job would go now, and why, without submitting it.

    The file has the job as callers submit it, and its queue: {"host": "h",
    "path": "/jobs/", "customer": "c", "job": {"steps": [{"count": 2}]}}.
    ``--entry`` is the link address of the entry that controls the pool.
    """

    file: Path


@cappa.command(name="hickorywing")
@dataclass
class Hickorywing:
    """Operate hickorywing and submit jobs to it."""

    command: cappa.Subcommands[
        Check
        | LoadInventory
        | LoadRules
        | ShowConfig
        | Zone
        | Backend
        | Status
        | Timeline
        | Job
        | Call
        | HashToken
        | Explain
        | Where
    ]
    entry: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("HICKORYWING_ENTRY"),
            help="URL of an entry, by default from HICKORYWING_ENTRY.",
        ),
    ] = "http://127.0.0.1:8080"
    token: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("HICKORYWING_TOKEN"),
            help="Bearer token, by default from HICKORYWING_TOKEN.",
        ),
    ] = ""
    json: Annotated[
        bool,
        cappa.Arg(long=True, help="Print JSON, for use by other programs."),
    ] = False


# Commands that call an entry


async def run_online(options: Hickorywing) -> ExitCode:
    """Send the request of a command and print the answer."""
    client = Client(options.entry, options.token)
    try:
        answer = await await_answer(send_command(client, options.command))
    finally:
        await client.close()
    return print_answer(options, answer)


async def await_answer(work: Awaitable[Answer]) -> Answer:
    """Wait for an answer; after a while print that it is awaited."""
    task = asyncio.ensure_future(work)
    console = Console(stderr=True)
    done, _ = await asyncio.wait([task], timeout=PROGRESS_AFTER_S)
    if not done and console.is_terminal:
        with console.status("waiting for the answer"):
            await asyncio.wait([task])
    elif not done:
        console.print("waiting for the answer")
    return await task


async def send_command(client: Client, command: object) -> Answer:
    """Send the request of one command."""
    if isinstance(command, Job):
        return await send_job_command(client, command.command)
    if isinstance(command, LoadInventory):
        body = read_document(command.file)
        return await client.call("PUT", "/v1/inventory", body)
    if isinstance(command, LoadRules):
        body = read_document(command.file)
        return await client.call("PUT", "/v1/rules", body)
    if isinstance(command, Zone):
        headers = {}
        if command.if_version is not None:
            headers["If-Match"] = str(command.if_version)
        path = f"/v1/zones/{command.zone}/{command.state}"
        return await client.call("POST", path, b"", headers)
    if isinstance(command, Backend):
        path = f"/v1/backends/{command.name}/{command.state}"
        return await client.call("POST", path)
    if isinstance(command, Where):
        body = read_document(command.file)
        return await client.call("POST", "/preview-job", body)
    if isinstance(command, Call):
        return await send_call(client, command)
    paths = {
        ShowConfig: "/v1/config",
        Status: "/v1/status",
        Timeline: "/v1/timeline",
    }
    return await client.call("GET", paths[type(command)])


async def send_job_command(client: Client, command: object) -> Answer:
    """Send the request of one command about jobs."""
    if isinstance(command, Submit):
        job_request = {
            "tasks": command.tasks,
            "accelerators": command.accelerators,
            "cores": command.cores,
            "memory_gb": command.memory_gb,
            "adjacency": command.adjacency,
            "run_s": command.run_s,
            "urgent": command.urgent,
        }
        if command.id:
            job_request["id"] = command.id
        return await client.call(
            "POST", "/v1/jobs", msgspec.json.encode(job_request)
        )
    if isinstance(command, Show):
        return await client.call("GET", f"/v1/jobs/{command.id}")
    if isinstance(command, ListJobs):
        return await client.call("GET", "/v1/jobs")
    if not command.ids and not command.all:
        raise UserError("no job to cancel: name job ids or use --all")
    body = msgspec.json.encode({"ids": command.ids})
    return await client.call("POST", "/v1/cancellations", body)


async def send_call(client: Client, command: Call) -> Answer:
    """Send a request to a service."""
    headers = {"Idempotency-Key": command.key} if command.key else {}
    path = f"/v1/services/{command.service}/{command.path.lstrip('/')}"
    return await client.call(
        command.method.upper(), path, command.body.encode(), headers
    )


def read_document(path: Path) -> bytes:
    """Return a document of JSON with comments as plain JSON.

    Raises ``FindingsError`` if it can't be read.
    """
    loaded = load_document(path, AnyDocument)
    if isinstance(loaded, Failure):
        raise FindingsError(loaded.failure())
    return msgspec.json.encode(loaded.unwrap().model_dump())


# Output


def print_answer(options: Hickorywing, answer: Answer) -> ExitCode:
    """Print an answer and return the exit code for it."""
    if not answer.ok:
        print_refusal(answer)
        return choose_exit_code(answer)
    if options.json or isinstance(options.command, Call | ShowConfig):
        sys.stdout.write(answer.body.decode(errors="replace"))
        sys.stdout.write("\n")
        return ExitCode.DONE
    printers: dict[type, Callable[[Any], None]] = {
        Status: print_status,
        Job: print_jobs,
        Where: print_preview,
    }
    command = options.command
    if isinstance(command, Timeline):
        print_timeline(answer.data(), command.last, command.subject)
    else:
        printers.get(type(command), print_change)(answer.data())
    return ExitCode.DONE


def choose_exit_code(answer: Answer) -> ExitCode:
    """Return the exit code of a refusal."""
    if answer.run == "unknown":
        return ExitCode.UNKNOWN
    if answer.status in (400, 401, 403, 404, 413, 422, 431):
        return ExitCode.WRONG_INPUT
    return ExitCode.REFUSED


def print_refusal(answer: Answer) -> None:
    """Print a refusal and its findings to standard error."""
    try:
        problem = answer.data()
        lines = [f"{problem['title']} ({answer.status}, {answer.run})"]
        lines += [problem["detail"]] if problem.get("detail") else []
        lines += problem.get("findings", [])
    except (DecodingError, TypeError, KeyError):
        lines = [f"status {answer.status}", answer.body.decode("latin-1")]
    retry_after = answer.headers.get("retry-after")
    if retry_after:
        lines.append(f"try again in {retry_after} s")
    print("\n".join(lines), file=sys.stderr)


def explain(command: Explain, as_json: bool) -> None:
    """Print the report that the options of ``explain`` select."""
    names = [command.job, *command.logs] if command.job else ["-"]
    if command.late:
        show_late(names, as_json, command.png)
    elif command.claims:
        show_claims(names, as_json)
    elif command.waste:
        show_waste(names, as_json, command.png)
    elif command.job:
        explain_logs(command.logs, command.job, as_json)
    else:
        raise UserError(
            "no job id given: name one, or use --late, --claims or --waste"
        )


def run_command(options: Hickorywing) -> ExitCode:
    """Run one command and return its exit code."""
    command = options.command
    if isinstance(command, HashToken):
        print(hash_token(command.token))
        return ExitCode.DONE
    if isinstance(command, Explain):
        explain(command, options.json)
        return ExitCode.DONE
    if isinstance(command, Timeline) and command.logs:
        show_log_timeline(
            command.logs, command.last, command.subject, command.plot
        )
        return ExitCode.DONE
    if isinstance(command, Check):
        findings = check_files(command.files)
        if findings:
            raise FindingsError(findings)
        print(f"{len(command.files)} files checked, no findings")
        return ExitCode.DONE
    return asyncio.run(run_online(options))


def main() -> None:
    """Run the program with the arguments of the command line."""
    options = cappa.parse(Hickorywing)
    try:
        code = run_command(options)
    except EntryNotReachable as error:
        print(f"hickorywing: {error}", file=sys.stderr)
        code = ExitCode.NOT_REACHABLE
    except UserError as error:
        print(error, file=sys.stderr)
        code = ExitCode.WRONG_INPUT
    except BrokenPipeError:
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.DONE
    sys.exit(code)
