"""Test that a reader of requests counts all that it holds.

Clients are drawn: streams of requests that are cut anywhere, beyond the limits
and not HTTP at all, answers that nobody reads, and connections that close at
any time. The transport is a fake one, so nothing depends on the network.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import gc
import os
import sys
import types

from blacksheep import Request
from blacksheep import Response
from hypothesis import given
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from uvicorn.server import ServerState

from hickorywing.clientlimits import ClientLimits
from hickorywing.web import add_any_path
from hickorywing.web import answer_json
from hickorywing.web import make_app
from hickorywing.web import WebServer
from hickorywing.webconnection import Connection

# HICKORYWING_EXAMPLES draws that many cases, from another seed each time.
EXAMPLES = int(os.environ.get("HICKORYWING_EXAMPLES", "0"))
LIMITS = ClientLimits(
    head_bytes=6000,
    body_bytes=30_000,
    pending_bytes=100_000,
    requests_ahead=2,
    connections=3,
)
# What an open connection takes beside what is counted (docs/design).
OPEN_BYTES = 8 << 10
CLIENTS = 4
TURNS = 20
# So many pieces of a stream are checked one by one, and then each of so many.
CHECKED_PIECES = 30
# Objects that no connection has for itself.
SHARED_TYPES = (
    type,
    types.ModuleType,
    types.FunctionType,
    types.BuiltinFunctionType,
    types.CodeType,
    types.FrameType,
    types.TracebackType,
    asyncio.AbstractEventLoop,
)


def list_reachable(roots: Iterable[object], known: set[int]) -> list[object]:
    """Return what is reachable from objects, but for ``known`` ids."""
    found, seen = [], set(known)
    left = list(roots)
    while left:
        item = left.pop()
        if id(item) in seen or isinstance(item, SHARED_TYPES):
            continue
        seen.add(id(item))
        found.append(item)
        left.extend(gc.get_referents(item))
    return found


class Wire(asyncio.Transport):
    """A transport to a client that reads nothing unless it is told to."""

    def __init__(self) -> None:
        super().__init__()
        self.protocol: Connection | None = None
        self.unsent = bytearray()
        self.reads = True
        self.closing = False
        self.lost = False
        self._high = 65_536

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        self._high = high

    def get_write_buffer_size(self) -> int:
        return len(self.unsent)

    def write(self, data: bytes) -> None:
        if self.lost or self.reads:
            return
        was_below = len(self.unsent) <= self._high
        self.unsent += data
        if was_below and len(self.unsent) > self._high:
            self.protocol.pause_writing()

    def take(self) -> None:
        """Let the client read, all that is sent from now on too."""
        self.reads = True
        if self.unsent:
            was_paused = len(self.unsent) > self._high
            self.unsent = bytearray()
            if was_paused and not self.lost:
                self.protocol.resume_writing()
        if self.closing:
            self.lose()

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.closing = True
        if not self.unsent:
            self.lose()

    def abort(self) -> None:
        self.closing = True
        self.unsent = bytearray()
        self.lose()

    def lose(self) -> None:
        if not self.lost:
            self.lost = True
            loop = asyncio.get_running_loop()
            loop.call_soon(self.protocol.connection_lost, None)

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        pass

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def get_extra_info(self, name, default=None):
        return default


@dataclass
class Reader:
    """A listener, its connections and a handler that waits for ``gate``."""

    gate: asyncio.Event = field(default_factory=asyncio.Event)
    wires: list[Wire] = field(default_factory=list)

    def __post_init__(self) -> None:
        app = make_app()
        add_any_path(app, "GET", self.answer)
        add_any_path(app, "POST", self.answer)
        self.server = WebServer(app, "127.0.0.1:0", LIMITS)
        self.server._socket.close()
        self.config = self.server._server.config
        self.config.load()
        self.state = ServerState()
        self.shared: list[object] = []

    async def warm_up(self) -> None:
        """Serve one request, as an application makes some parts with it."""
        wire = self.connect()
        wire.protocol.data_received(make_request(b"/read", b"", 10, 0))
        await settle()
        wire.abort()
        await settle()
        self.wires.clear()
        self.shared = list_reachable([self.server, self.config], set())

    async def answer(self, request: Request) -> Response:
        path = request.url.path
        if path.startswith(b"/read"):
            await request.read()
        if b"wait" in path:
            await self.gate.wait()
        size = 50_000 if b"large" in path else 10
        return answer_json(200, "x" * size)

    def connect(self) -> Wire:
        wire = Wire()
        wire.protocol = Connection(
            self.config, self.state, {}, listener=self.server.listener
        )
        self.wires.append(wire)
        wire.protocol.connection_made(wire)
        return wire

    def measure(self) -> int:
        """Return what all connections and their handlers hold."""
        known = {id(item) for item in self.shared}
        known |= {id(self), id(self.wires), id(self.state), id(self.gate)}
        known |= {id(item) for item in (self.state.tasks, self.wires)}
        wires = [wire for wire in self.wires if not wire.lost]
        found = list_reachable([*wires, *self.state.tasks], known)
        return sum(sys.getsizeof(item) for item in found)

    def check(self) -> None:
        """Check that no less is counted than held."""
        count = sum(not wire.lost for wire in self.wires)
        counted = self.server.listener.held_bytes + OPEN_BYTES * count
        assert self.measure() <= counted


async def settle() -> None:
    """Let all handlers run that don't wait."""
    for _ in range(TURNS):
        await asyncio.sleep(0)


PATHS = st.sampled_from(
    [b"/", b"/wait", b"/read", b"/read/wait", b"/large", b"/" + b"p" * 3000]
)
HEADERS = st.one_of(
    st.just(b""),
    st.integers(1, 700).map(lambda count: b"A:b\r\n" * count),
    st.integers(1, 700).map(lambda count: b"Ab:cd\r\n" * count),
    st.integers(1, 8000).map(lambda size: b"Ab: " + b"c" * size + b"\r\n"),
    st.just(b"Connection: close\r\n"),
    st.just(b"Expect: 100-continue\r\n"),
)


def make_request(path: bytes, headers: bytes, body: int, chunk: int) -> bytes:
    head = b"POST " + path + b" HTTP/1.1\r\n" + headers
    if chunk == 0:
        length = b"Content-Length: %d\r\n\r\n" % body
        return head + length + b"x" * body
    parts = [
        b"%x\r\n" % chunk + b"x" * chunk + b"\r\n"
        for _ in range(body // chunk)
    ]
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    return head + chunked + b"".join(parts) + b"0\r\n\r\n"


REQUESTS = st.builds(
    make_request,
    PATHS,
    HEADERS,
    st.sampled_from([0, 10, 5000, 29_000, 40_000]),
    st.sampled_from([0, 0, 100, 5000]),
)
OTHERS = st.sampled_from(
    [b"\r\n" * 50, b"nonsense\r\n\r\n", b"GET / HTTP/1.0\r\n\r\n"]
)
STREAMS = st.lists(st.one_of(REQUESTS, OTHERS), min_size=1, max_size=4).map(
    b"".join
)
CLIENT = st.integers(0, CLIENTS - 1)
ACTIONS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), CLIENT, STREAMS, st.floats(0.05, 1)),
        st.tuples(st.just("send"), CLIENT, STREAMS, st.just(1.0)),
        st.tuples(st.just("stall"), CLIENT),
        st.tuples(st.just("take"), CLIENT),
        st.tuples(st.just("close"), CLIENT),
        st.tuples(st.just("open gate")),
        st.tuples(st.just("shut gate")),
        st.tuples(st.just("sweep"), st.sampled_from([1.0, 70.0])),
    ),
    min_size=1,
    max_size=12,
)
# The sizes of the pieces in which bytes arrive.
PIECES = st.lists(st.integers(1, 5000), min_size=1, max_size=3)


async def play(actions: list[tuple], pieces: list[int]) -> None:
    reader = Reader()
    await reader.warm_up()
    clients = [reader.connect() for _ in range(CLIENTS)]
    loop = asyncio.get_running_loop()
    await settle()
    for name, *arguments in actions:
        if name == "open gate":
            reader.gate.set()
        elif name == "shut gate":
            reader.gate.clear()
        elif name == "sweep":
            reader.server.listener.sweep(loop.time() + arguments[0])
        else:
            number, *more = arguments
            if clients[number].lost:
                clients[number] = reader.connect()
            await act(reader, clients[number], name, more, pieces)
        await settle()
        reader.check()
    reader.gate.set()
    for wire in reader.wires:
        wire.abort()
    await settle()
    assert not reader.state.tasks
    assert reader.server.listener.held_bytes == 0
    reader.check()


async def act(
    reader: Reader, wire: Wire, name: str, more: list, pieces: list[int]
) -> None:
    if name == "stall":
        wire.reads = False
    elif name == "take":
        wire.take()
    elif name == "close":
        wire.abort()
    else:
        data, part = more
        left = data[: max(1, int(len(data) * part))]
        turn = 0
        while left and not wire.lost:
            size = pieces[turn % len(pieces)]
            wire.protocol.data_received(left[:size])
            left = left[size:]
            turn += 1
            if turn < CHECKED_PIECES or turn % CHECKED_PIECES == 0:
                reader.check()
            await asyncio.sleep(0)


class TestCount:
    """What is counted is never less than what is held."""

    # An answered or refused request was kept by its connection, uncounted.
    @settings(
        max_examples=EXAMPLES or 150,
        derandomize=not EXAMPLES,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(actions=ACTIONS, pieces=PIECES)
    def test_drawn_clients(self, actions, pieces):
        asyncio.run(play(actions, pieces))
