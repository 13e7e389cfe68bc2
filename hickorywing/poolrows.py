"""Define the rows of a pool in the store, and encode and decode them.

All rows of a pool share one partition, so that a controller's transaction can
demand that its epoch is still the newest.

Every entry follows the table ``statuses``, which changes only a few times in a
job's life. A row of ``progress`` changes with each run and may take 14 KB, so
progress has a table of its own.

A job stays in the pool that accepted it, while its queue may be sent to
another one. ``job_pools`` is the index from a job's id to that pool. It has
partitions of its own, one for each first digit of an id, and is written in the
transaction that accepts the job.

==========  ==================  ============================  ==============
table       key                 value                         written by
==========  ==================  ============================  ==============
requests    ``job/ID``          the accepted job              an entry, once
requests    ``cancel/ID``       empty                         an entry, once
job_pools   ``ID``              the pool with the job         an entry, once
progress    ``ID``              status, runs, their workers   controller
progress    ``ID/RANGE``        runs of a range of tasks      controller
progress    ``~paces``          factors of slow workers       controller
progress    ``~runtimes``       learned run times             controller
statuses    ``ID``              status                        controller
statuses    ``~QUEUE``          number of jobs not started    controller
leases      ``holder``          holder of the lease           candidates
leases      ``epoch``           number of the present term    candidates
agents      the agent's name    its address                   the agent
entries     the entry's name    address, registration time    the entry; the
                                                              holder deletes
==========  ==================  ============================  ==============
"""

import dataclasses
from typing import Any
from typing import TypeVar

import msgspec

from hickorywing.addresses import check_address
from hickorywing.decisions import DecisionLog
from hickorywing.decoding import Count
from hickorywing.decoding import decode_msgpack
from hickorywing.decoding import DecodingError
from hickorywing.decoding import Number
from hickorywing.errors import HickorywingError
from hickorywing.logevents import LogEvent
from hickorywing.policy.jobaccess import JobOwner
from hickorywing.policy.jobchecks import check_job
from hickorywing.policy.jobchecks import JobInvalid
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolruns import JobStatus
from hickorywing.rows import RowKey
from hickorywing.rows import StoredRow

__all__ = [
    "LEARNED_PREFIX",
    "AGENTS",
    "ENTRIES",
    "JOB_POOLS",
    "LEASES",
    "PROGRESS",
    "QUEUE_PREFIX",
    "REQUESTS",
    "STATUSES",
    "AgentRow",
    "EntryRow",
    "LeaseRow",
    "RowUnreadable",
    "cancel_key",
    "customer_shares_key",
    "decode_job",
    "decode_job_pool",
    "decode_owner",
    "decode_status",
    "encode_job",
    "encode_job_pool",
    "encode_status",
    "entry_key",
    "epoch_key",
    "job_key",
    "job_pool_key",
    "lease_key",
    "log_unreadable",
    "progress_key",
    "queue_key",
    "run_times_key",
    "split_request_key",
    "status_key",
    "worker_speeds_key",
]

REQUESTS = "requests"
JOB_POOLS = "job_pools"
PROGRESS = "progress"
STATUSES = "statuses"
LEASES = "leases"
AGENTS = "agents"
ENTRIES = "entries"
JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
QUEUE_PREFIX = "~"
# Can't be a job's id, which has only hexadecimal digits.
# Rows of the table ``PROGRESS`` with this prefix belong to no job.
LEARNED_PREFIX = "~"
WORKER_SPEEDS_KEY = "~paces"
# Without "/": earlier builds delete the parts of jobs that they don't know.
RUN_TIMES_KEY = "~runtimes"
CUSTOMER_SHARES_KEY = "~shares"

RowT = TypeVar("RowT")


class RowUnreadable(HickorywingError):  # noqa: N818
    """Reports a row that can't be decoded as its table's row type."""


class JobPoolRow(msgspec.Struct, array_like=True):
    """The pool that accepted a job."""

    pool: str


class OwnerTerms(msgspec.Struct, frozen=True):
    """The queue in the terms of a job's row."""

    queue: str = ""


class OwnerRow(msgspec.Struct, frozen=True):
    """The part of a job's row that says whose the job is."""

    customer: str = ""
    terms: OwnerTerms = OwnerTerms()


class AgentRow(msgspec.Struct, array_like=True):
    """Address of an agent, and the zone and pool of its workers."""

    address: str
    zone: str
    pool: str

    def __post_init__(self) -> None:
        check_address(self.address)


class EntryRow(msgspec.Struct, array_like=True):
    """Address of an entry that is a candidate for a pool's role.

    ``since_s`` is when it registered, by the store's clock.
    """

    address: str
    since_s: Number

    def __post_init__(self) -> None:
        check_address(self.address)


class LeaseRow(msgspec.Struct, array_like=True):
    """The lease of a pool; an empty holder means that it is released.

    ``known`` is the version of the store up to which the holder knows all
    entries that have registered. Rows of earlier builds lack it.
    """

    holder: str
    epoch: Count
    renewal: Count
    known: Count = 0


def job_key(pool: str, job_id: str) -> RowKey:
    """Return the key of an accepted job."""
    return RowKey(REQUESTS, pool, JOB_PREFIX + job_id)


def cancel_key(pool: str, job_id: str) -> RowKey:
    """Return the key of the row that cancels a job."""
    return RowKey(REQUESTS, pool, CANCEL_PREFIX + job_id)


def job_pool_key(job_id: str) -> RowKey:
    """Return the key of the row with the pool that accepted a job."""
    return RowKey(JOB_POOLS, job_id[:1], job_id)


def progress_key(pool: str, job_id: str) -> RowKey:
    """Return the key of a job's progress."""
    return RowKey(PROGRESS, pool, job_id)


def status_key(pool: str, job_id: str) -> RowKey:
    """Return the key of a job's status; a pending job has no such row."""
    return RowKey(STATUSES, pool, job_id)


def queue_key(pool: str, queue: str) -> RowKey:
    """Return the key of a queue's number of jobs that have not started."""
    return RowKey(STATUSES, pool, QUEUE_PREFIX + queue)


def worker_speeds_key(pool: str) -> RowKey:
    """Return the key of the slowdown factors of a pool's uneven workers."""
    return RowKey(PROGRESS, pool, WORKER_SPEEDS_KEY)


def customer_shares_key(pool: str) -> RowKey:
    """Return the key of the shares that customers have held of a pool."""
    return RowKey(PROGRESS, pool, CUSTOMER_SHARES_KEY)


def run_times_key(pool: str) -> RowKey:
    """Return the key of what was learned of a pool's run times."""
    return RowKey(PROGRESS, pool, RUN_TIMES_KEY)


def lease_key(pool: str) -> RowKey:
    """Return the key of a pool's lease."""
    return RowKey(LEASES, pool, "holder")


def epoch_key(pool: str) -> RowKey:
    """Return the key of a pool's epoch, which only takeovers change."""
    return RowKey(LEASES, pool, "epoch")


def entry_key(pool: str, name: str) -> RowKey:
    """Return the key of the row with an entry's address."""
    return RowKey(ENTRIES, pool, name)


def split_request_key(key: str) -> tuple[str, bool]:
    """Return a request row's job id, and whether the row accepts it.

    The other rows of the table ``requests`` cancel a job.
    """
    if key.startswith(JOB_PREFIX):
        return key.removeprefix(JOB_PREFIX), True
    return key.removeprefix(CANCEL_PREFIX), False


def encode_job(job: PoolJob) -> bytes:
    """Return the value of an accepted job's row.

    Fields that have their default are omitted: a step takes 20 bytes instead
    of 280, so a job of a thousand steps fits in a row.
    """
    return msgspec.msgpack.encode(omit_defaults(job))


def omit_defaults(value: Any) -> Any:
    """Return a data class, or a tuple of them, as plain data.

    Fields that have their default are omitted.
    """
    if isinstance(value, tuple):
        return [omit_defaults(item) for item in value]
    if not dataclasses.is_dataclass(value):
        return value
    plain = {}
    for field in dataclasses.fields(value):
        item = getattr(value, field.name)
        if item != field.default:
            plain[field.name] = omit_defaults(item)
    return plain


def decode_job(value: bytes) -> PoolJob:
    """Return the job in a row; raise ``RowUnreadable``."""
    job = decode_row(value, PoolJob)
    try:
        check_job(job)
    except JobInvalid as error:
        raise RowUnreadable(str(error)) from error
    return job


def decode_owner(value: bytes) -> JobOwner:
    """Return whose the job in a row is; raise ``RowUnreadable``."""
    row = decode_row(value, OwnerRow)
    return JobOwner(row.customer, row.terms.queue)


def encode_job_pool(pool: str) -> bytes:
    """Return the value of the row with a job's pool."""
    return msgspec.msgpack.encode(JobPoolRow(pool))


def decode_job_pool(value: bytes) -> str:
    """Return the pool of a job's row; raise ``RowUnreadable``."""
    return decode_row(value, JobPoolRow).pool


def encode_status(status: JobStatus) -> bytes:
    """Return the value of a job's status row."""
    return msgspec.msgpack.encode(status)


def decode_row(value: bytes, row_type: type[RowT]) -> RowT:
    """Decode a row's value as ``row_type``; raise ``RowUnreadable``."""
    try:
        return decode_msgpack(value, row_type)
    except DecodingError as error:
        raise RowUnreadable(str(error)) from error


def log_unreadable(log: DecisionLog, row: StoredRow, error: Exception) -> None:
    """Log that a row is ignored because it can't be decoded."""
    log.write(
        LogEvent.ROW_UNREADABLE,
        table=row.key.table,
        key=row.key.key,
        version=row.version,
        error=str(error),
    )


def decode_status(value: bytes) -> JobStatus:
    """Return the status in a status row; raise ``RowUnreadable``."""
    return decode_row(value, JobStatus)
