"""Test the filters that requests of callers pass through."""

import asyncio

from blacksheep import Content
from blacksheep import Request
from blacksheep import Response
from poolhelpers import RecordedLog
import pytest

from hickorywing.clock import now_s
from hickorywing.decisions import DecisionLog
from hickorywing.decoding import DecodingError
from hickorywing.jobservice import Answer
from hickorywing.jobservice import Outcome
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.platform.callers import CallerApi
from hickorywing.platform.callers import CallerLimits
from hickorywing.platform.callers import ConfigurationAgeFilter
from hickorywing.platform.callers import CUSTOMER_SCOPE
from hickorywing.platform.callers import decode_job
from hickorywing.platform.callers import QUEUE_SCOPE
from hickorywing.platform.callers import QueueFilter
from hickorywing.platform.callers import read_timeout_s
from hickorywing.policy.jobchecks import MAX_TASKS
from hickorywing.policy.poolmodel import QueueTerms
from hickorywing.poolconfig import Configuration
from hickorywing.poolconfig import ConfigurationView
from hickorywing.poolconfig import Queue
from hickorywing.webexchange import MEMORY_SCOPE

# A refusal must be answered within this time, so that the caller can turn to
# another entry.
MAX_REFUSAL_S = 0.2


class Entry:
    """The first filter of an entry; counts the requests that pass it."""

    def __init__(self) -> None:
        self.view = ConfigurationView()
        self.proceeded = 0
        log = DecisionLog("e0", "entry", Metrics("e0"), RecordedLog())
        self.filter = ConfigurationAgeFilter(self.view, CallerLimits(5.0), log)

    async def send_request(self) -> Response:
        return await self.filter.handle(
            Request("GET", b"/jobs/0000000000000001", None), self.proceed
        )

    async def proceed(self, request: Request) -> Response:
        self.proceeded += 1
        return Response(200)

    def set_configuration(self) -> None:
        self.view.accept(Configuration(1, (), ()))
        self.view.confirm(now_s())


class AcceptingService:
    """Accepts jobs, and counts them."""

    submitted = 0

    async def submit(self, job, timeout_s, caller) -> Answer:
        self.submitted += 1
        return Answer(Outcome.DONE)


class TestStart:
    """A starting entry serves requests once it has read its configuration.

    When all entries restart at once, requests arrive through open listeners
    before the first read is answered. They wait for it for a short time.
    """

    async def test_first_read_is_under_way(self):
        entry = Entry()
        asyncio.get_running_loop().call_later(0.03, entry.set_configuration)
        answer = await entry.send_request()
        assert answer.status == 200
        assert entry.proceeded == 1

    async def test_store_is_silent(self):
        entry = Entry()
        began_s = now_s()
        answer = await entry.send_request()
        assert answer.status == 503
        assert answer.headers.get_first(b"retry-after") is not None
        assert now_s() - began_s < MAX_REFUSAL_S

    async def test_configuration_is_too_old(self):
        entry = Entry()
        entry.set_configuration()
        entry.view.confirmed_s = now_s() - 6.0
        began_s = now_s()
        answer = await entry.send_request()
        assert answer.status == 503
        assert now_s() - began_s < MAX_REFUSAL_S / 2


class TestTimeout:
    """The time limit of a caller is read from a header of any content."""

    @pytest.mark.parametrize(
        ("header", "timeout_s"),
        [
            (b"1000", 0.75),
            (b"", 2.75),
            (b"9" * 400, 2.75),
            (b"9" * 5000, 2.75),
            (b"-1", 2.75),
            (b"\xb2", 2.75),
        ],
    )
    def test_header(self, header, timeout_s):
        request = Request("POST", b"/", [(b"x-deadline-ms", header)])
        queue = Queue("h", "/", QueueTerms("q", "p"))
        assert read_timeout_s(request, queue) == timeout_s


class TestLongRequests:
    """A short request asks for little, and little of a long one is logged."""

    def test_more_steps_than_tasks_are_allowed(self):
        queue = Queue("h", "/", QueueTerms("q", "p"))
        steps = ",".join(["{}"] * (MAX_TASKS + 1))
        body = f'{{"steps":[{steps}]}}'.encode()
        with pytest.raises(DecodingError, match="length"):
            decode_job("0" * 16, queue, None, body)

    @pytest.mark.parametrize(("room", "status"), [(0, 503), (10**9, 200)])
    async def test_decoded_job_needs_room(self, room, status):
        view = ConfigurationView()
        view.accept(Configuration(1, (), ()))
        log = DecisionLog("e0", "entry", Metrics("e0"), RecordedLog())
        service = AcceptingService()
        api = CallerApi(service, view, CallerLimits(5.0), log, Metrics("e0"))
        body = f'{{"steps":[{",".join(["{}"] * 5000)}]}}'.encode()
        request = Request("POST", b"/0000000000000001", None)
        request.with_content(Content(b"application/json", body))
        queue = Queue("h", "/", QueueTerms("q", "p"))
        request.scope = {
            QUEUE_SCOPE: queue,
            CUSTOMER_SCOPE: None,
            MEMORY_SCOPE: lambda size: 5000 * 500 < size < room,
        }
        assert (await api.handle_submit(request)).status == status
        assert service.submitted == (status == 200)

    async def test_path_in_the_log(self):
        lines = RecordedLog()
        log = DecisionLog("e0", "entry", Metrics("e0"), lines)
        view = ConfigurationView()
        view.accept(Configuration(1, (), ()))
        request = Request("GET", b"/" + b"a" * 60_000, [(b"host", b"h" * 999)])
        answer = await QueueFilter(view, log).handle(request, None)
        assert answer.status == 404
        refused = lines.find(LogEvent.REFUSED)
        assert len(refused["path"]) + len(refused["host"]) < 1000
