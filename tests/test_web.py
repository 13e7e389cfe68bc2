"""Test the answers to requests that can't be decoded."""

from platformsystem import find_free_address
from poolhelpers import RecordedLog
import pytest

from hickorywing.decisions import DecisionLog
from hickorywing.handover import HandoverApi
from hickorywing.holderchecks import HolderCheckApi
from hickorywing.httpclient import HttpClient
from hickorywing.logevents import LogEvent
from hickorywing.metrics import Metrics
from hickorywing.platform.runner import PlatformWorker
from hickorywing.poolagent import OrderApi
from hickorywing.web import make_app
from hickorywing.web import WebServer
from hickorywing.workermonitor import WorkerMonitor


class TestUndecodableRequests:
    """A message that can't be decoded is answered with 400 and logged."""

    @pytest.mark.parametrize(
        "path",
        ["/watch", "/start", "/stop", "/take-role", "/holds-role"],
    )
    @pytest.mark.parametrize("body", [b"\xc1", b"[" * 100_000])
    async def test_message(self, path, body):
        lines = RecordedLog()
        log = DecisionLog("test", "entry", Metrics("test"), lines)
        http = HttpClient()
        worker = PlatformWorker("127.0.0.1:1", http)
        app = make_app(log)
        OrderApi(WorkerMonitor("vm1", worker, log), "p").install(app)
        HandoverApi("e0", lambda pool: None, None, log).install(app)
        HolderCheckApi(lambda pool: None, http).install(app)
        server = WebServer(app, find_free_address())
        await server.start()
        url = f"http://{server.address}{path}"
        answer = await http.call("POST", url, 1.0, body)
        await http.close()
        await server.stop()
        assert answer.status == 400
        assert lines.find(LogEvent.REQUEST_UNREADABLE)["path"] == path
