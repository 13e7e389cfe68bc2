"""Acceptance of jobs when the store's answers are lost or late."""

from poolhelpers import make_job

from hickorywing.decisions import DecisionLog
from hickorywing.jobdesk import JobDesk
from hickorywing.jobdesk import Outcome
from hickorywing.jobrows import job_key
from hickorywing.metrics import Metrics
from hickorywing.policy.poolruns import JobStatus
from hickorywing.standins.rowstore import MemoryRowStore
from hickorywing.standins.rowstore import StoreFault
from hickorywing.statuscache import StatusCache


class Quiet:
    """An output that keeps its lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []

    def write(self, line: bytes) -> None:
        self.lines.append(line)


def make_desk(store: MemoryRowStore) -> JobDesk:
    metrics = Metrics("test")
    log = DecisionLog("test", "entry", metrics, Quiet())
    return JobDesk(store, StatusCache(store, log), log, metrics)


class TestSubmit:
    """One conditional row makes a job accepted."""

    async def test_accepts(self):
        store = MemoryRowStore()
        answer = await make_desk(store).submit(make_job(), 1.0)
        assert answer.outcome is Outcome.DONE
        assert job_key("p", "j1") in store.rows

    async def test_same_id_at_another_entry_is_the_same_job(self):
        store = MemoryRowStore()
        await make_desk(store).submit(make_job(), 1.0)
        answer = await make_desk(store).submit(make_job(), 1.0)
        assert answer.outcome is Outcome.DONE
        assert len(store.rows) == 1

    async def test_lost_answer_is_settled_by_another_try(self):
        store = MemoryRowStore()
        store.plan_faults(StoreFault.LOST_AFTER)
        answer = await make_desk(store).submit(make_job(), 1.0)
        assert answer.outcome is Outcome.DONE

    async def test_refused_store_is_not_run(self):
        store = MemoryRowStore()
        store.plan_faults(*[StoreFault.REFUSE] * 20)
        answer = await make_desk(store).submit(make_job(), 3.0)
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.retry_after_s > 0
        assert not store.rows
        assert store.commits <= 3

    async def test_unreachable_store_is_refused_at_once(self):
        store = MemoryRowStore()
        store.down = True
        answer = await make_desk(store).submit(make_job(), 3.0)
        assert answer.outcome is Outcome.NOT_RUN
        assert store.commits == 0

    async def test_refusal_after_a_lost_try_is_unknown(self):
        store = MemoryRowStore()
        store.plan_faults(StoreFault.LATE, *[StoreFault.REFUSE] * 20)
        answer = await make_desk(store).submit(make_job(), 0.2)
        assert answer.outcome is Outcome.UNKNOWN
        store.apply_late()
        assert job_key("p", "j1") in store.rows


class TestStatus:
    """A job's status is never unknown because a cache is young."""

    async def test_accepted_elsewhere_is_pending(self):
        store = MemoryRowStore()
        await make_desk(store).submit(make_job(), 1.0)
        answer = await make_desk(store).find_status("p", "j1")
        assert answer.status is JobStatus.PENDING

    async def test_unknown_job(self):
        answer = await make_desk(MemoryRowStore()).find_status("p", "j1")
        assert answer.outcome is Outcome.UNKNOWN_JOB

    async def test_store_down_is_no_unknown_job(self):
        store = MemoryRowStore()
        store.down = True
        answer = await make_desk(store).find_status("p", "j1")
        assert answer.outcome is Outcome.NOT_RUN


class TestCancel:
    """A cancelled job stays cancelled, also if it is accepted later."""

    async def test_unknown_job_is_closed(self):
        store = MemoryRowStore()
        answer = await make_desk(store).cancel("p", "j1", 1.0)
        assert answer.outcome is Outcome.UNKNOWN_JOB
        assert any(key.key == "cancel/j1" for key in store.rows)

    async def test_twice(self):
        store = MemoryRowStore()
        desk = make_desk(store)
        await desk.submit(make_job(), 1.0)
        for _ in range(2):
            answer = await desk.cancel("p", "j1", 1.0)
            assert answer.outcome is Outcome.DONE
        keys = [key.key for key in store.rows]
        assert keys == ["job/j1", "cancel/j1"]
