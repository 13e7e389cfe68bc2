"""Read the lease and epoch rows of a pool's controller role."""

import asyncio

from hickorywing.decoding import Count
from hickorywing.poolrows import decode_row
from hickorywing.poolrows import lease_key
from hickorywing.poolrows import LeaseRow
from hickorywing.poolrows import RowUnreadable
from hickorywing.rows import Commit
from hickorywing.rows import RowStore
from hickorywing.rows import StoredRow
from hickorywing.rows import StoreUnavailable

__all__ = [
    "READ_TIMEOUT_S",
    "decode_epoch",
    "decode_lease",
    "format_outcome",
    "get_version",
    "read_holder_epoch",
]

# Longer than a read from a slow store takes, and just below the timeout of an
# offer.
READ_TIMEOUT_S = 0.4
UNKNOWN_HOLDER = "?"


async def read_holder_epoch(store: RowStore, pool: str) -> int | None:
    """Return the epoch in the lease row, ``None`` if the store is silent."""
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            return decode_lease(await store.read_row(lease_key(pool))).epoch
    except (StoreUnavailable, TimeoutError):
        return None


def format_outcome(answer: Commit) -> str:
    """Return the kind of a commit result in lower case, for log lines."""
    return type(answer).__name__.lower()


def get_version(row: StoredRow | None) -> int:
    """Return a row's version, or 0 if there is no row."""
    return 0 if row is None else row.version


def decode_lease(row: StoredRow | None) -> LeaseRow:
    """Return the lease in a row; a missing row counts as a released lease.

    A row that can't be decoded counts as held by an unknown holder, so
    candidates watch it for a whole lease before one takes over.
    """
    if row is None or row.value is None:
        return LeaseRow("", 0, 0)
    try:
        return decode_row(row.value, LeaseRow)
    except RowUnreadable:
        return LeaseRow(UNKNOWN_HOLDER, 0, 0)


def decode_epoch(row: StoredRow | None) -> int:
    """Return the epoch in a row, or 0 if it is missing or unreadable."""
    if row is None or row.value is None:
        return 0
    try:
        return decode_row(row.value, Count)
    except RowUnreadable:
        return 0
