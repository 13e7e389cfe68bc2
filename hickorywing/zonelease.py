"""Hold a zone controller's lease in a row of the table."""

import asyncio
from collections.abc import Callable
import random

from hickorywing.metrics import Metrics
from hickorywing.policy.lease import LeaseHolder
from hickorywing.policy.lease import LeaseRow
from hickorywing.policy.lease import LeaseWrite
from hickorywing.table import Check
from hickorywing.table import commit_until_known
from hickorywing.table import Committed
from hickorywing.table import Conflict
from hickorywing.table import new_nonce
from hickorywing.table import Row
from hickorywing.table import Table
from hickorywing.table import TableUnavailable
from hickorywing.table import Transaction
from hickorywing.table import Unknown
from hickorywing.table import Write
from hickorywing.zonejobs import epoch_key
from hickorywing.zonejobs import lease_key

__all__ = ["ZoneLease"]

STEP_EVERY_S = 0.5
TAKEOVER_JITTER_S = 2.0


class ZoneLease:
    """Competes for one zone's lease and renews it.

    ``silent`` tells whether no hello of the present controller has arrived for
    some time. The row is read only then, so that hundreds of candidates don't
    load the table during normal operation.
    """

    def __init__(
        self,
        zone: str,
        name: str,
        table: Table,
        metrics: Metrics,
        silent: Callable[[], bool],
        random_source: random.Random,
    ) -> None:
        self.zone = zone
        self.table = table
        self.metrics = metrics
        self.holder = LeaseHolder(name)
        self.epoch_version = 0
        self.in_role = False
        self._silent = silent
        self._random = random_source

    def holds(self) -> bool:
        """Return whether the lease is confirmed and has not expired."""
        clock = asyncio.get_running_loop().time
        return self.in_role and self.holder.holds(clock())

    def epoch_check(self) -> Check:
        """Return the check that fails once another holder took over."""
        return Check(epoch_key(self.zone), self.epoch_version)

    async def run(
        self, gained: Callable[[], None], lost: Callable[[], None]
    ) -> None:
        """Compete for the lease and renew it until cancelled.

        ``gained`` and ``lost`` are called when the role begins and when
        another holder has taken it.
        """
        clock = asyncio.get_running_loop().time
        while True:
            if self.in_role:
                await self._renew(clock, lost)
            elif self._silent():
                await self._compete(clock, gained)
            await asyncio.sleep(STEP_EVERY_S)

    async def _compete(
        self, clock: Callable[[], float], gained: Callable[[], None]
    ) -> None:
        """Read the lease row and take the role over if its lease expired."""
        try:
            rows = await self.table.read_many(
                [lease_key(self.zone), epoch_key(self.zone)]
            )
        except TableUnavailable:
            self.metrics.count("lease_reads_failed")
            return
        self.holder.observe(_decode_lease(rows[0]), clock())
        write = self.holder.next_write(clock())
        if write is None:
            return
        await asyncio.sleep(self._random.uniform(0, TAKEOVER_JITTER_S))
        if not self._silent():
            return
        transaction = Transaction(
            [
                Check(rows[0].key, write.expected_version),
                Check(rows[1].key, rows[1].version),
            ],
            [
                _lease_write(self.zone, write),
                Write(rows[1].key, {"epoch": write.epoch}),
            ],
            new_nonce(),
        )
        write = LeaseWrite(
            write.holder, write.epoch, write.expected_version, clock()
        )
        answer = await commit_until_known(
            self.table, transaction, self.holder.ttl_s / 2
        )
        if isinstance(answer, Committed):
            self.holder.written(write, answer.version)
            self.epoch_version = answer.version
            self.in_role = True
            self.metrics.count("lease_takeovers")
            gained()
        else:
            self.holder.refused(clock())

    async def _renew(
        self, clock: Callable[[], float], lost: Callable[[], None]
    ) -> None:
        write = self.holder.next_write(clock())
        if write is None:
            return
        transaction = Transaction(
            [Check(lease_key(self.zone), write.expected_version)],
            [_lease_write(self.zone, write)],
            new_nonce(),
        )
        answer = await commit_until_known(
            self.table, transaction, self.holder.ttl_s / 2
        )
        if isinstance(answer, Committed):
            self.holder.written(write, answer.version)
        elif isinstance(answer, Conflict | Unknown):
            await self._check_row(write, lost)
        else:
            self.metrics.count("lease_renewals_failed")

    async def _check_row(
        self, write: LeaseWrite, lost: Callable[[], None]
    ) -> None:
        """Read the row to find out who holds it after an unconfirmed renewal.

        ``lost`` is called if another holder has taken it.
        """
        try:
            row = await self.table.read(lease_key(self.zone))
        except TableUnavailable:
            self.metrics.count("lease_renewals_failed")
            return
        seen = _decode_lease(row)
        if row.version == write.expected_version:
            return
        if seen.holder == self.holder.name and seen.epoch == write.epoch:
            self.holder.written(write, row.version)
            return
        self.in_role = False
        self.holder.refused(asyncio.get_running_loop().time())
        self.metrics.count("lease_losses")
        lost()

    async def step_down(self) -> None:
        """Step down and clear the row, so that a candidate need not wait."""
        if not self.in_role:
            return
        self.in_role = False
        transaction = Transaction(
            [Check(lease_key(self.zone), self.holder.version)],
            [
                Write(
                    lease_key(self.zone),
                    {"holder": None, "epoch": self.holder.epoch},
                )
            ],
            new_nonce(),
        )
        await commit_until_known(self.table, transaction, 1.0)
        self.holder.release()


def _decode_lease(row: Row) -> LeaseRow:
    if row.value is None:
        return LeaseRow(None, 0, row.version)
    return LeaseRow(row.value["holder"], row.value["epoch"], row.version)


def _lease_write(zone: str, write: LeaseWrite) -> Write:
    value = {"holder": write.holder, "epoch": write.epoch}
    return Write(lease_key(zone), value)
