"""Test the bounds of requests with an idempotency key."""

from hickorywing.dispatch import RunState
from hickorywing.idempotency import IdempotentRequests
from hickorywing.idempotency import MAX_SETTLING
from hickorywing.metrics import Metrics
from hickorywing.routing import RoutedRequest
from hickorywing.table import Table
from hickorywing.table import TableUnavailable


class LostTable(Table):
    """A table of which every call fails."""

    async def read_many(self, keys):
        raise TableUnavailable("lost")

    async def scan(self, prefix):
        raise TableUnavailable("lost")

    async def commit(self, transaction):
        raise TableUnavailable("lost")


class TestOutcomes:
    """Outcomes that can't be stored yet are kept in memory, so few."""

    async def test_no_claim_beyond_the_bound(self):
        metrics = Metrics("e1")
        requests = IdempotentRequests(
            "e1", LostTable(), None, metrics, lambda: 0.0
        )
        request = RoutedRequest("s", "POST", "/", (), None, b"", 1.0, False)
        requests._settling.update(range(MAX_SETTLING))
        result = await requests.handle("north", "key", request)
        assert result.run is RunState.NOT_RUN
        assert result.reason == "too many outcomes to store"
        assert metrics.value("claims_shed") == 1
