"""Test what a successor finds after any transaction of a controller.

A controller may be killed, cut off or replaced between any two transactions.
Each test looks at the rows after every single one, with answers that are lost
or refused meanwhile.
"""

import asyncio
from collections.abc import Iterator

from poolhelpers import make_job
from poolhelpers import make_step
import pytest
from test_committer import Writer

from hickorywing import committer as committer_module
from hickorywing.jobservice import make_acceptance
from hickorywing.policy.poolhealth import WorkerHealth
from hickorywing.policy.poolmodel import PoolJob
from hickorywing.policy.poolruns import Ending
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import JobStatus
from hickorywing.policy.poolruns import Unit
from hickorywing.pooljobs import PoolJobs
from hickorywing.poolrows import cancel_key
from hickorywing.poolrows import job_key
from hickorywing.poolrows import PROGRESS
from hickorywing.poolrows import progress_key
from hickorywing.poolrows import status_key
from hickorywing.progressrows import join_parts
from hickorywing.progressrows import ProgressRows
from hickorywing.progressrows import restore_progress
from hickorywing.progressrows import StoredProgress
from hickorywing.rows import Committed
from hickorywing.rows import RowKey
from hickorywing.rows import ROWS_PER_COMMIT
from hickorywing.rows import StoredRow
from hickorywing.standins.rowstore import StoreFault

WORKER = "side-cba-a-10/i-7f3a91c2@1765000000000"
FAULTS = {
    "none": (),
    "refused": (StoreFault.REFUSE, StoreFault.NONE) * 60,
    "lost before": (StoreFault.LOST_BEFORE, StoreFault.NONE) * 60,
    "lost after": (StoreFault.LOST_AFTER,) * 120,
}

Rows = dict[RowKey, StoredRow]


@pytest.fixture(autouse=True)
def short_pauses(monkeypatch):
    """Retry at once after an answer that was lost."""
    monkeypatch.setattr(committer_module, "RETRY_S", 0.001)
    monkeypatch.setattr(committer_module, "MAX_RETRY_S", 0.001)


class Term(Writer):
    """A controller's jobs and committer, and the rows after each commit."""

    async def __aenter__(self) -> "Term":
        await super().__aenter__()
        self.history: list[Rows] = []
        apply = self.store.apply

        def apply_and_record(transaction):
            outcome = apply(transaction)
            if isinstance(outcome, Committed):
                self.history.append(dict(self.store.rows))
            return outcome

        self.store.apply = apply_and_record
        committer = self.committer
        self.jobs = PoolJobs(
            "p",
            0.0,
            committer,
            WorkerHealth(),
            lambda: None,
            committer._log,
            committer._metrics,
        )
        return self

    def accept(self, job: PoolJob) -> JobState:
        """Accept a job and open what is due of it."""
        committed = self.store.apply(make_acceptance(job, frozenset(), 0))
        state = JobState(job, committed.version, 0.0)
        self.jobs.add(state, restored=False)
        state.open_due_occurrences(1e9, 0.0)
        return state

    async def write(self, state: JobState) -> None:
        """Store a job's progress and wait until all is written."""
        stored = asyncio.Event()
        self.jobs.store(state, stored.set)
        await asyncio.wait_for(stored.wait(), 10.0)

    async def start(self, state: JobState) -> None:
        """Place and order all that may start."""
        for unit in list(state.list_ready_units()):
            self.jobs.place(unit, [WORKER] * unit.count)
            for member in unit.members:
                member.tries = 1
        state.update_status()
        await self.write(state)


def read_progress(rows: Rows, job_id: str) -> ProgressRows:
    """Return the progress of a job as a successor reads it."""
    main = progress_key("p", job_id)
    return ProgressRows(
        rows[main].value if main in rows else None,
        {
            key: row.value
            for key, row in rows.items()
            if key.table == PROGRESS and key.key.startswith(f"{job_id}/")
        },
    )


def list_again(job: PoolJob, rows: Rows) -> Iterator[Unit]:
    """Return the units that a successor would start, of those it can open."""
    state = JobState(job, 1, 0.0)
    restore_progress(state, read_progress(rows, job.job_id), 0.0)
    state.open_due_occurrences(1e9, 0.0)
    state.update_status()
    return state.list_ready_units()


def list_left_over(job: PoolJob, rows: Rows) -> set[RowKey]:
    """Return the rows of finished occurrences after a successor's write."""
    known = read_progress(rows, job.job_id)
    state = JobState(job, 1, 0.0)
    restore_progress(state, known, 0.0)
    progress = StoredProgress("p", state, known)
    changes = progress.encode_changes(0.0, 65_536)
    left = set(known.parts) - {
        key for key, value in changes.items() if value is None
    }
    return {
        key
        for key in left
        if int(key.key.split("/")[1].split(".")[0]) in state.finished
    }


JOBS = {
    "240 gangs": make_job(
        steps=(make_step(0, count=3, gang=True),),
        occurrences=240,
        interval_s=1.0,
    ),
    "several steps": make_job(
        steps=(make_step(0, count=2), make_step(0, count=300)),
        occurrences=20,
        interval_s=1.0,
    ),
    "wide occurrences": make_job(
        steps=(make_step(0, count=1_500),), occurrences=6, interval_s=1.0
    ),
    "wide gangs": make_job(
        steps=(make_step(0, count=600, gang=True),),
        occurrences=12,
        interval_s=1.0,
    ),
    "one occurrence": make_job(steps=(make_step(0, count=2_000),)),
}

WIDE_JOBS = {
    "single tasks": make_job(
        steps=(make_step(0, count=7_000),), occurrences=2, interval_s=1.0
    ),
    "many steps": make_job(
        steps=tuple(make_step(0, count=150) for _ in range(50)),
        occurrences=2,
        interval_s=1.0,
    ),
}


class TestCompletedWork:
    """Completed work is in the store as such after every transaction.

    Guards against occurrences that ran again because their rows were deleted
    before the row that has them as finished was written.
    """

    @pytest.mark.parametrize("faults", FAULTS)
    @pytest.mark.parametrize("job", JOBS.values(), ids=JOBS)
    async def test_ends(self, job, faults):
        async with Term() as term:
            state = term.accept(job)
            await term.start(state)
            del term.history[:]
            term.store.plan_faults(*FAULTS[faults])
            units = list(state.units.values())
            for share in (units[::3], units[1::3], units[2::3]):
                for unit in share:
                    unit.end(unit.members[0], Ending.DONE)
                state.update_status()
                await term.write(state)
            assert state.final
            assert len(term.history) >= 3
            for rows in term.history:
                assert list(list_again(job, rows)) == []
                assert not list_left_over(job, rows)

    @pytest.mark.parametrize("faults", FAULTS)
    @pytest.mark.parametrize("name", WIDE_JOBS)
    async def test_rows_of_an_occurrence_in_several_deletions(
        self, name, faults
    ):
        """A build before this one opens the whole of such an occurrence.

        Guards against tasks of wide occurrences that ran again in an upgrade.
        """
        job = WIDE_JOBS[name]
        async with Term() as term:
            state = term.accept(job)
            await term.start(state)
            rows_each = len(term.store.rows) // 2
            assert rows_each > ROWS_PER_COMMIT
            del term.history[:]
            term.store.plan_faults(*FAULTS[faults])
            for occurrence in (0, 1):
                for unit in list(state.units.values()):
                    if unit.occurrence == occurrence:
                        unit.end(unit.members[0], Ending.DONE)
                state.update_status()
                # The job's changes are encoded twice, as another row is
                # written first.
                term.committer.put(status_key("p", "other"), lambda: b"s")
                await term.write(state)
            assert state.final
            assert len(term.store.rows) < 50
            every = {
                (step, first)
                for step, item in enumerate(job.steps)
                for first in range(0, 1 if item.gang else item.count)
            }
            for rows in term.history:
                progress = read_progress(rows, job.job_id)
                found = JobState(job, 1, 0.0)
                restore_progress(found, progress, 0.0)
                units = join_parts(progress.parts.values())
                for occurrence in found.finished:
                    known = {key[1:] for key in units if key[0] == occurrence}
                    assert known in (set(), every)

    @pytest.mark.parametrize("faults", FAULTS)
    async def test_rows_that_are_split(self, faults):
        """Checkpoints enlarge the rows until some are split."""
        job = make_job(steps=(make_step(0, count=6_000),))
        async with Term() as term:
            state = term.accept(job)
            await term.start(state)
            before = len(term.store.rows)
            del term.history[:]
            term.store.plan_faults(*FAULTS[faults])
            for length in (300, 900, 1):
                for unit in state.units.values():
                    unit.record_save("s" * length)
                await term.write(state)
            assert len(term.store.rows) > 3 * before
            for rows in term.history:
                assert list(list_again(job, rows)) == []
                found = JobState(job, 1, 0.0)
                restore_progress(found, read_progress(rows, "j1"), 0.0)
                assert {len(u.members) for u in found.units.values()} == {1}


class TestStatusBehind:
    """A successor ends a job whose last rows were stored without its status.

    Guards against jobs that stayed active for ever although all their tasks
    were done, as their controller was lost before it wrote the main row.
    """

    @pytest.mark.parametrize("ending", [Ending.DONE, Ending.FAILED])
    @pytest.mark.parametrize("occurrences", [0, 2])
    async def test_all_units_have_ended(self, ending, occurrences):
        fields = {"occurrences": occurrences, "interval_s": 1.0}
        job = make_job(
            steps=(make_step(0, count=7_000),),
            attempts=1,
            **(fields if occurrences else {}),
        )
        async with Term() as term:
            state = term.accept(job)
            await term.start(state)
            last = max(occurrences - 1, 0)
            for share in (range(last), (last,)):
                del term.history[:]
                for unit in list(state.units.values()):
                    if unit.occurrence in share:
                        unit.end(unit.members[0], ending)
                # Stored without the status, as if the rest was never sent.
                await term.write(state)
        async with Term() as successor:
            found = JobState(job, state.accepted, 0.0)
            known = read_progress(term.history[-1], job.job_id)
            restore_progress(found, known, 0.0)
            assert found.status is JobStatus.ACTIVE
            successor.jobs.add(found, True, known)
            assert found.final


class TestDeletedJobs:
    """A job's rows are deleted so that nothing of it is taken for another."""

    @pytest.mark.parametrize("faults", FAULTS)
    @pytest.mark.parametrize("count", [1, 9_000])
    async def test_all_rows_or_a_final_status(self, count, faults):
        job = make_job(steps=(make_step(0, count=count),))
        async with Term() as term:
            state = term.accept(job)
            await term.start(state)
            version = term.store.put(cancel_key("p", "j1"), b"")
            for unit in state.units.values():
                unit.end(unit.members[0], Ending.STOPPED)
                term.jobs.members.drop_ended(unit)
            term.jobs.cancel("j1", version)
            await term.write(state)
            del term.history[:]
            term.store.plan_faults(*FAULTS[faults])
            term.jobs.delete_ended()
            async with asyncio.timeout(20.0):
                while len(term.store.rows) > 1:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            for rows in term.history:
                if job_key("p", "j1") in rows:
                    found = JobState(job, 1, 0.0)
                    restore_progress(found, read_progress(rows, "j1"), 0.0)
                    assert found.final
                else:
                    assert len(rows) == 1

    async def test_one_of_the_same_name_is_kept(self):
        """The answer of the deletion is lost, and the job comes again."""
        job = make_job()
        async with Term() as term:
            state = term.accept(job)
            term.jobs.cancel("j1")
            await term.write(state)
            term.store.plan_faults(StoreFault.LOST_AFTER)
            term.jobs.delete_ended()
            async with asyncio.timeout(5.0):
                while job_key("p", "j1") in term.store.rows:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            term.jobs._cancels.clear()
            state = term.accept(job)
            await term.start(state)
            await asyncio.sleep(1.0)
            assert job_key("p", "j1") in term.store.rows
            assert list(list_again(job, term.store.rows)) == []

    async def test_not_before_its_end_is_stored(self):
        async with Term() as term:
            state = term.accept(make_job())
            await term.start(state)
            term.store.down = True
            unit = state.units[(0, 0, 0)]
            item = next(iter(term.jobs.members))
            term.jobs.end_member(item, Ending.DONE)
            assert unit.done
            for _ in range(3):
                term.jobs.delete_ended()
                await asyncio.sleep(0.01)
            assert "j1" in term.jobs.accepted
