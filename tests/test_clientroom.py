"""Test which connections give way when clients take too much."""

import pytest

from hickorywing.clientmemory import ClientMemory
from hickorywing.clientmemory import MemoryHolder
from hickorywing.policy.clientroom import choose_holders
from hickorywing.policy.clientroom import ConnectionOrder
from hickorywing.policy.clientroom import HeldMemory


class Holder(MemoryHolder):
    """Holds bytes until it has to make room, and others while it runs."""

    def __init__(self, memory, size: int, running: int = 0) -> None:
        self.memory = memory
        self.size = size
        self.running = running
        memory.hold(size + running, self)

    def count_held_bytes(self) -> int:
        return self.size + self.running

    def describe_held(self) -> HeldMemory:
        return HeldMemory(self.size, 0.0)

    def make_room(self) -> None:
        size, self.size = self.size, 0
        self.memory.hold(-size, self)


class TestChoice:
    """The largest give way, and no more of them than is needed."""

    @pytest.mark.parametrize(
        ("sizes", "limit", "chosen"),
        [
            ([50, 40], 100, []),
            ([10, 90, 30], 100, [1]),
            ([60, 60, 60], 100, [0, 1]),
            ([300, 5, 5], 100, [0]),
            ([0, 0], 100, []),
        ],
    )
    def test_sizes(self, sizes, limit, chosen):
        holders = [HeldMemory(size, 1.0) for size in sizes]
        assert choose_holders(holders, sum(sizes), limit) == chosen

    def test_of_equal_ones_the_oldest(self):
        holders = [HeldMemory(60, since_s) for since_s in (3.0, 1.0, 2.0)]
        assert choose_holders(holders, 180, 150) == [1]

    def test_ordinary_request_in_a_crowd(self):
        crowd = [HeldMemory(1000, 1.0)] * 200
        ordinary = HeldMemory(50, 0.0)
        chosen = choose_holders([ordinary, *crowd], 200_050, 100_000)
        assert 0 not in chosen
        assert 100 <= len(chosen) <= 110


class TestOrder:
    """Who was refused closes first, who was served last."""

    def test_slow_sender_gives_way_before_a_caller(self):
        order = ConnectionOrder()
        for name in ("caller", "sender", "refused"):
            order.add(name)
        order.note_served("caller")
        order.note_refused("refused")
        assert order.list() == ["refused", "sender", "caller"]
        assert order.find(lambda name: name != "refused") == "sender"


class TestMemory:
    """All listeners of a process share one limit."""

    def test_holder_of_another_listener_makes_room(self):
        memory = ClientMemory(100)
        holders = [Holder(memory, 80), Holder(memory, 30)]
        assert [holder.size for holder in holders] == [0, 30]
        assert memory.held_bytes == 30

    def test_single_request_may_exceed_the_limit(self):
        memory = ClientMemory(100)
        assert Holder(memory, 150).size == 150

    def test_requests_that_run_leave_no_search(self):
        memory = ClientMemory(100)
        running = [Holder(memory, 0, running=40) for _ in range(5)]
        newest = Holder(memory, 10)
        assert newest.size == 0
        assert [holder.running for holder in running] == [40] * 5
        assert not memory._holders

    def test_handler_gets_no_more_than_there_is(self):
        memory = ClientMemory(100)
        memory.hold(90)
        assert not memory.reserve(20, 40)
        assert memory.held_bytes == 90
        assert memory.reserve(10, 40)
        assert memory.held_bytes == 100

    def test_only_request_may_reserve_more(self):
        memory = ClientMemory(100)
        memory.hold(40)
        assert memory.reserve(200, 40)
