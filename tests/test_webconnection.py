"""Test the limits of a listener, with connections of their own."""

import asyncio
import contextlib

from blacksheep import Request
from blacksheep import Response
from platformsystem import find_free_address
import pytest

from hickorywing import webconnection
from hickorywing.addresses import split_address
from hickorywing.clientlimits import ClientLimits
from hickorywing.clientlimits import RequestLimits
from hickorywing.web import add_any_path
from hickorywing.web import answer_json
from hickorywing.web import make_app
from hickorywing.web import WebServer

LIMITS = ClientLimits(
    head_bytes=8192,
    body_bytes=20_000,
    pending_bytes=60_000,
    requests_ahead=2,
    connections=3,
)
TIMED = ClientLimits(request_s=0.2, idle_s=0.2, answer_s=0.2)
# More than the buffers of a connection take.
LARGE_ANSWER = "x" * (32 << 20)
POST = b"POST /job HTTP/1.1\r\n"


class Service:
    """A listener whose handler waits for ``gate`` before it answers.

    ``bodies`` lists the lengths of the bodies of all requests that ran.
    """

    def __init__(self, limits: ClientLimits = LIMITS, configured=None) -> None:
        self.bodies: list[int] = []
        self.reasons: list[str] = []
        self.answer = ""
        self.gate = asyncio.Event()
        self.gate.set()
        app = make_app()
        for method in ("GET", "POST"):
            add_any_path(app, method, self.handle)
        self.server = WebServer(
            app,
            find_free_address(),
            limits,
            self.reasons.append,
            lambda: configured,
        )
        self._writers: list[asyncio.StreamWriter] = []

    async def handle(self, request: Request) -> Response:
        body = await request.read() or b""
        self.bodies.append(len(body))
        await self.gate.wait()
        return answer_json(200, self.answer)

    async def __aenter__(self) -> "Service":
        await self.server.start()
        return self

    async def __aexit__(self, *_: object) -> None:
        self.gate.set()
        for writer in self._writers:
            writer.close()
        await self.server.stop()

    async def connect(self) -> "Client":
        host, port = split_address(self.server.address)
        reader, writer = await asyncio.open_connection(host, port)
        self._writers.append(writer)
        return Client(reader, writer)

    async def send(self, data: bytes) -> int | None:
        """Send bytes on a new connection; return the status of the answer."""
        client = await self.connect()
        return await client.send(data)


class Client:
    """One connection to a service."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data: bytes) -> int | None:
        self.writer.write(data)
        return await self.read_status()

    async def read_status(self) -> int | None:
        """Read an answer; return its status, ``None`` at the end."""
        with contextlib.suppress(ConnectionError):
            line = await asyncio.wait_for(self.reader.readline(), 5)
            if not line:
                return None
            size = 0
            while (header := await self.reader.readline()).strip():
                name, _, value = header.decode().partition(":")
                if name.lower() == "content-length":
                    size = int(value)
            await self.reader.readexactly(size)
            return int(line.split()[1])


async def wait(check) -> None:
    """Wait until ``check`` returns a true value."""
    for _ in range(500):
        if check():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("waited in vain")


def make_post(size: int) -> bytes:
    return POST + b"Content-Length: %d\r\n\r\n" % size + b"x" * size


def make_chunked(sizes: list[int], trailers: bytes = b"") -> bytes:
    chunks = b"".join(b"%x\r\n%s\r\n" % (size, b"x" * size) for size in sizes)
    head = POST + b"Transfer-Encoding: chunked\r\n\r\n"
    return head + chunks + b"0\r\n" + trailers + b"\r\n"


def make_get(header_bytes: int) -> bytes:
    return b"GET / HTTP/1.1\r\nX-A: " + b"a" * header_bytes + b"\r\n\r\n"


class TestRequests:
    """A request within the limits is served; beyond them it doesn't run."""

    @pytest.mark.parametrize(
        ("data", "status", "bodies"),
        [
            (make_get(8000), 200, [0]),
            (make_get(20_000), 431, []),
            (b"\r\n" * 1000 + make_get(10), 200, [0]),
            (b"\r\n" * 10_000, 431, []),
            (make_post(20_000), 200, [20_000]),
            (make_post(20_001), 413, []),
            (make_chunked([9000, 11_000]), 200, [20_000]),
            (make_chunked([1] * 20_000), 200, [20_000]),
            (make_chunked([9000, 11_001]), 413, []),
            (make_chunked([5], b"X-A: b\r\n"), 200, [5]),
            (make_chunked([5], b"X-A: b\r\n" * 5000), 431, []),
            (make_chunked([5], b"X-A: " + b"b" * 20_000), 431, []),
            (b"nonsense\r\n\r\n", 400, []),
            (b"GET / HTTP/1.0\r\n\r\n", 200, [0]),
            (
                b"GET / HTTP/1.1\r\nConnection: Upgrade\r\n"
                b"Upgrade: h2c\r\n\r\n",
                200,
                [0],
            ),
        ],
    )
    async def test_request(self, data, status, bodies):
        async with Service() as service:
            assert await service.send(data) == status
            assert service.bodies == bodies
            assert len(service.reasons) == (status != 200)

    async def test_configuration_raises_limits(self):
        async with Service(configured=RequestLimits(50_000, 50_000)) as other:
            assert await other.send(make_get(40_000)) == 200
            assert await other.send(make_post(50_000)) == 200
            assert await other.send(make_post(50_001)) == 413

    async def test_client_waits_for_continue(self):
        async with Service() as service:
            client = await service.connect()
            head = POST + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
            assert await client.send(head) == 100
            assert await client.send(b"xxx") == 200
            assert await service.send(head.replace(b": 3", b": 300000")) == 413

    async def test_body_that_stops_is_refused(self):
        async with Service(TIMED) as service:
            assert await service.send(make_post(9)[:-1]) == 408
            assert service.bodies == []


class TestRequestsAhead:
    """Requests that are sent ahead run in turn, and few of them are read."""

    async def test_all_are_answered_in_turn(self):
        async with Service() as service:
            client = await service.connect()
            client.writer.write(b"".join(map(make_post, range(500))))
            statuses = [await client.read_status() for _ in range(500)]
            assert statuses == [200] * 500
            assert service.bodies == list(range(500))

    async def test_refusal_follows_the_answers_before_it(self):
        async with Service() as service:
            service.gate.clear()
            client = await service.connect()
            client.writer.write(make_post(1) + make_post(2) + b"nonsense\r\n")
            await wait(lambda: service.reasons)
            service.gate.set()
            statuses = [await client.read_status() for _ in range(4)]
            assert statuses == [200, 200, 400, None]
            assert service.bodies == [1, 2]

    async def test_no_request_runs_after_the_last(self):
        async with Service() as service:
            client = await service.connect()
            last = make_post(1).replace(
                b"\r\n", b"\r\nConnection: close\r\n", 1
            )
            client.writer.write(last + make_post(2))
            assert await client.read_status() == 200
            assert await client.read_status() is None
            assert service.bodies == [1]


class TestConnections:
    """What all connections together hold is bounded."""

    async def test_idle_connections_make_room(self):
        async with Service() as service:
            idle = [await service.connect() for _ in range(3)]
            assert await service.send(make_get(1)) == 200
            assert await idle[0].read_status() is None
            assert service.reasons == ["too many connections"]

    async def test_busy_connections_make_no_room(self):
        async with Service() as service:
            service.gate.clear()
            busy = [await service.connect() for _ in range(3)]
            for client in busy:
                client.writer.write(make_get(1))
            await wait(lambda: len(service.bodies) == 3)
            assert await service.send(make_post(1)) == 503
            service.gate.set()
            assert await busy[0].read_status() == 200
            assert len(service.bodies) == 3

    async def test_largest_unfinished_request_makes_room(self):
        limits = ClientLimits(pending_bytes=60_000)
        async with Service(limits) as service:
            large = await service.connect()
            large.writer.write(make_post(50_000)[:-1])
            await wait(lambda: service.server.listener.held_bytes > 50_000)
            assert await service.send(make_post(10_000)) == 200
            assert await large.read_status() == 503
            assert service.bodies == [10_000]
            assert service.reasons == ["too many bytes pending"]

    async def test_refused_requests_hold_nothing(self):
        limits = ClientLimits(pending_bytes=60_000)
        async with Service(limits) as service:
            service.gate.clear()
            clients = [await service.connect() for _ in range(8)]
            seen = service.bodies, service.reasons
            for number, client in enumerate(clients, 1):
                client.writer.write(make_post(15_000))
                await wait(lambda n=number: sum(map(len, seen)) == n)
            service.gate.set()
            statuses = [await client.read_status() for client in clients]
            # Each takes 15,000 bytes and about 8,400 for its head.
            assert sorted(statuses) == [200] * 2 + [503] * 6
            assert service.bodies == [15_000] * 2
            listener = service.server.listener
            await wait(lambda: listener.held_bytes == 0)

    async def test_one_request_may_hold_more(self):
        async with Service(ClientLimits(pending_bytes=60_000)) as service:
            assert await service.send(make_post(100_000)) == 200
            assert service.server.listener.held_bytes == 0

    @pytest.mark.parametrize("start", [b"", b"GET / HTTP/1.1\r\nX"])
    async def test_silent_connections_are_closed(self, start):
        async with Service(TIMED) as service:
            status = await service.send(start)
            assert status == (408 if start else None)

    async def test_connection_is_closed_if_its_answer_stays_unread(self):
        async with Service(TIMED) as service:
            service.answer = LARGE_ANSWER
            client = await service.connect()
            client.writer.write(make_get(1))
            await wait(lambda: service.server.listener.held_bytes > 50_000)
            await wait(lambda: service.reasons == ["answers unread"])
            # The answer is held until its handler has ended.
            await wait(lambda: service.server.listener.held_bytes == 0)

    async def test_stop_waits_for_a_request_that_runs(self):
        async with Service() as service:
            service.gate.clear()
            client, half = await service.connect(), await service.connect()
            client.writer.write(make_post(1) + make_post(2))
            half.writer.write(make_post(3)[:-1])
            await wait(lambda: service.bodies)
            stopped = asyncio.create_task(service.server.stop())
            await asyncio.sleep(0.2)
            service.gate.set()
            statuses = [await client.read_status() for _ in range(3)]
            assert statuses == [200, 200, None]
            await asyncio.wait_for(stopped, 10)
            assert service.bodies == [1, 2]

    async def test_stop_with_half_a_request_behind_one_that_runs(self):
        async with Service() as service:
            service.gate.clear()
            client = await service.connect()
            client.writer.write(make_post(1))
            await wait(lambda: service.bodies)
            client.writer.write(make_post(2)[:-1])
            stopped = asyncio.create_task(service.server.stop())
            await asyncio.sleep(webconnection.CLOSING_S + 0.5)
            service.gate.set()
            assert await client.read_status() == 200
            await asyncio.wait_for(stopped, 10)
            assert service.bodies == [1]

    async def test_refused_connection_is_closed(self, monkeypatch):
        monkeypatch.setattr(webconnection, "DISCARD_S", 0.2)
        async with Service() as service:
            service.gate.clear()
            for number in range(LIMITS.connections):
                client = await service.connect()
                client.writer.write(make_post(number))
            await wait(lambda: len(service.bodies) == LIMITS.connections)
            refused = await service.connect()
            assert await refused.read_status() == 503
            state = service.server._server.server_state
            await wait(lambda: len(state.connections) == LIMITS.connections)
