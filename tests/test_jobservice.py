"""Tests of accepting jobs while the store's answers are lost or late."""

import asyncio

from faultystore import FaultyStore
from poolhelpers import make_job
from poolhelpers import RecordedLog

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.jobservice import JobService
from hickorywing.jobservice import Outcome
from hickorywing.metrics import Metrics
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import JobStatus
from hickorywing.poolrows import encode_status
from hickorywing.poolrows import job_key
from hickorywing.poolrows import status_key
from hickorywing.standins.rowstore import MemoryRowStore
from hickorywing.standins.rowstore import StoreFault
from hickorywing.statuscache import StatusCache


def make_service(store: MemoryRowStore) -> JobService:
    metrics = Metrics("test")
    log = DecisionLog("test", "entry", metrics, RecordedLog())
    return JobService(store, StatusCache(store, log), log, metrics)


class TestSubmit:
    """A job is accepted by one conditional write of its row."""

    async def test_accepts(self):
        store = MemoryRowStore()
        answer = await make_service(store).submit(make_job(), 1.0)
        assert answer.outcome is Outcome.DONE
        assert job_key("p", "j1") in store.rows

    async def test_same_id_at_another_entry_is_the_same_job(self):
        store = MemoryRowStore()
        await make_service(store).submit(make_job(), 1.0)
        answer = await make_service(store).submit(make_job(), 1.0)
        assert answer.outcome is Outcome.DONE
        assert len(store.rows) == 1

    async def test_lost_answer_is_settled_by_another_try(self):
        store = MemoryRowStore()
        store.plan_faults(StoreFault.LOST_AFTER)
        answer = await make_service(store).submit(make_job(), 1.0)
        assert answer.outcome is Outcome.DONE

    async def test_lost_answer_is_looked_for_in_the_row(self):
        link = FaultyStore(MemoryRowStore())
        link.loses_answers = True
        began_s = now_s()
        answer = await make_service(link).submit(make_job(), 3.0)
        assert answer.outcome is Outcome.DONE
        assert now_s() - began_s < 1.0

    async def test_refused_store_is_not_run(self):
        store = MemoryRowStore()
        store.plan_faults(*[StoreFault.REFUSE] * 20)
        answer = await make_service(store).submit(make_job(), 3.0)
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.retry_after_s > 0
        assert not store.rows
        assert store.commits <= 3

    async def test_unreachable_store_is_refused_at_once(self):
        store = MemoryRowStore()
        store.down = True
        answer = await make_service(store).submit(make_job(), 3.0)
        assert answer.outcome is Outcome.NOT_RUN
        assert store.commits == 0

    async def test_refusal_after_a_lost_try_is_unknown(self):
        store = MemoryRowStore()
        store.plan_faults(StoreFault.LATE, *[StoreFault.REFUSE] * 20)
        answer = await make_service(store).submit(make_job(), 0.2)
        assert answer.outcome is Outcome.UNKNOWN
        store.apply_late()
        assert job_key("p", "j1") in store.rows


class TestStatus:
    """An accepted job is never unknown because a cache is still empty."""

    async def test_accepted_elsewhere_is_pending(self):
        store = MemoryRowStore()
        await make_service(store).submit(make_job(), 1.0)
        answer = await make_service(store).find_status("p", "j1")
        assert answer.status is JobStatus.PENDING

    async def test_unknown_job(self):
        answer = await make_service(MemoryRowStore()).find_status("p", "j1")
        assert answer.outcome is Outcome.UNKNOWN_JOB

    async def test_store_down_is_no_unknown_job(self):
        store = MemoryRowStore()
        store.down = True
        answer = await make_service(store).find_status("p", "j1")
        assert answer.outcome is Outcome.NOT_RUN


class TestFeedGaps:
    """Changes missing from the feed are read from the rows.

    The store drops its history while jobs end and callers ask for their
    status.
    """

    async def follow(self, store: MemoryRowStore) -> tuple:
        """Return a service with a followed cache, and the feed's task."""
        log = DecisionLog("test", "entry", Metrics("test"), RecordedLog())
        cache = StatusCache(store, log)
        task = asyncio.ensure_future(cache.run())
        await asyncio.sleep(0.01)
        return JobService(store, cache, log, Metrics("test")), task

    def end_job(self, store: MemoryRowStore) -> None:
        state = JobState(make_job(), 1, 0.0)
        state.status = JobStatus.COMPLETED
        store.put(status_key("p", "j1"), encode_status(state.status))

    async def ask(self, service: JobService) -> JobStatus:
        return (await service.find_status("p", "j1")).status

    async def test_end_in_a_dropped_part_of_the_history(self):
        store = MemoryRowStore()
        service, task = await self.follow(store)
        await service.submit(make_job(), 1.0)
        assert await self.ask(service) is JobStatus.PENDING
        store.down = True
        await asyncio.sleep(0.01)
        self.end_job(store)
        store.forget_history()
        store.down = False
        await asyncio.sleep(0.5)
        assert await self.ask(service) is JobStatus.COMPLETED
        task.cancel()

    async def test_late_repeat_of_a_job_that_has_ended(self):
        store = MemoryRowStore()
        await make_service(store).submit(make_job(), 1.0)
        self.end_job(store)
        service, task = await self.follow(store)
        await service.submit(make_job(), 1.0)
        assert await self.ask(service) is JobStatus.COMPLETED
        task.cancel()

    async def test_rows_are_read_once(self):
        store = MemoryRowStore()
        await make_service(store).submit(make_job(), 1.0)
        service, task = await self.follow(store)
        assert await self.ask(service) is JobStatus.PENDING
        self.end_job(store)
        await asyncio.sleep(0.01)
        store.down = True
        assert await self.ask(service) is JobStatus.COMPLETED
        task.cancel()


class TestCancel:
    """A cancelled job stays cancelled, even if it is accepted later."""

    async def test_unknown_job_is_cancelled_in_advance(self):
        store = MemoryRowStore()
        answer = await make_service(store).cancel("p", "j1", 1.0)
        assert answer.outcome is Outcome.UNKNOWN_JOB
        assert any(key.key == "cancel/j1" for key in store.rows)

    async def test_twice(self):
        store = MemoryRowStore()
        service = make_service(store)
        await service.submit(make_job(), 1.0)
        for _ in range(2):
            answer = await service.cancel("p", "j1", 1.0)
            assert answer.outcome is Outcome.DONE
        keys = [key.key for key in store.rows]
        assert keys == ["job/j1", "cancel/j1"]
