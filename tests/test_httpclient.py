"""Test the HTTP client, and the clients of table and worker built on it."""

import asyncio
import contextlib
import gc

from platformsystem import find_free_address
import pytest

from hickorywing.httpclient import AnswerTooLarge
from hickorywing.httpclient import CallError
from hickorywing.httpclient import CallTimeout
from hickorywing.httpclient import ConnectError
from hickorywing.httpclient import ConnectRefused
from hickorywing.httpclient import HttpClient
from hickorywing.httpclient import MAX_ANSWER_BYTES
from hickorywing.table import HttpTable
from hickorywing.zoneworker import HttpWorker
from hickorywing.zoneworker import TaskIds

PAUSE_S = 0.1


def make_head(length: int) -> bytes:
    return (
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        f"content-length: {length}\r\n\r\n"
    ).encode()


async def serve_slowly(address: str, body: bytes) -> asyncio.Server:
    """Serve answers with a garbage collection between head and body."""

    async def answer(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(make_head(len(body)))
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        gc.collect()
        await asyncio.sleep(PAUSE_S)
        writer.write(body)
        await writer.drain()

    host, port = address.split(":")
    return await asyncio.start_server(answer, host, int(port))


class TestGarbageCollection:
    """A body arrives although garbage is collected while it is awaited.

    blacksheep's client lost the body, as nothing refers to the task in which
    it reads.
    """

    async def test_rows_of_the_table(self):
        address = find_free_address()
        server = await serve_slowly(address, b'{"rows":[{"key":"a"}]}')
        table = HttpTable(f"http://{address}")
        async with asyncio.timeout(3):
            row = await table.read("a")
        assert row.key == "a"
        await table.close()
        server.close()

    async def test_states_of_a_worker(self):
        address = find_free_address()
        server = await serve_slowly(address, b'{"tasks":[]}')
        worker = HttpWorker(f"http://{address}")
        async with asyncio.timeout(3):
            states = await worker.renew(TaskIds([]))
        assert states.tasks == []
        server.close()


class TestErrors:
    """The type of an error says whether the call may have taken effect."""

    async def test_nothing_listens(self):
        http = HttpClient()
        with pytest.raises(ConnectError):
            await http.call("GET", f"http://{find_free_address()}/", 1.0)
        await http.close()

    async def test_no_answer_in_time(self):
        address = find_free_address()
        server = await serve_slowly(address, b"late")
        http = HttpClient()
        with pytest.raises(CallTimeout):
            await http.call("GET", f"http://{address}/", PAUSE_S)
        await http.close()
        server.close()

    async def test_connection_closed_before_the_whole_body(self):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(make_head(10) + b"half")
            writer.close()

        address = find_free_address()
        host, port = address.split(":")
        server = await asyncio.start_server(answer, host, int(port))
        http = HttpClient()
        with pytest.raises(CallError) as caught:
            await http.call("GET", f"http://{address}/", 1.0)
        assert not isinstance(caught.value, ConnectError | CallTimeout)
        await http.close()
        server.close()


class TestRefusedConnection:
    """No process listens at the address."""

    async def test_differs_from_other_errors(self):
        client = HttpClient()
        with pytest.raises(ConnectRefused):
            await client.call("GET", f"http://{find_free_address()}/", 1.0)
        await client.close()


class TestUnusableAddresses:
    """An address that can't be called is an error of the call, no other.

    Guards against processes that end by an error that no caller expects.
    """

    @pytest.mark.parametrize(
        "address",
        [
            "127.0.0.1:99999",
            "127.0.0.1:-1",
            "127.0.0.1:x",
            "127.0.0.1:" + "9" * 5000,
            "[::1",
            "",
            "..:1",
            "x" * 300 + ":1",
            "\ud800:1",
            "a b:1",
            "127.0.0.1:1\r\n",
        ],
    )
    async def test_address(self, address):
        http = HttpClient()
        with pytest.raises(CallError):
            await http.call("POST", f"http://{address}/watch", 0.5, b"")
        await http.close()


class TestLargeAnswers:
    """An answer takes no more memory than there is room for."""

    @pytest.mark.parametrize("size", [MAX_ANSWER_BYTES, 200_000_000])
    async def test_size(self, size):
        address = find_free_address()

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(make_head(size))
            with contextlib.suppress(ConnectionError):
                for _ in range(0, size, 1 << 20):
                    writer.write(b" " * (1 << 20))
                    await writer.drain()
            writer.close()

        host, port = address.split(":")
        server = await asyncio.start_server(answer, host, int(port))
        client = HttpClient()
        url = f"http://{address}/"
        if size <= MAX_ANSWER_BYTES:
            assert len((await client.call("GET", url, 10)).body) == size
            with pytest.raises(AnswerTooLarge):
                await client.call(
                    "GET", url, 10, reserve=lambda part: part < 1000
                )
        else:
            with pytest.raises(AnswerTooLarge):
                await client.call("GET", url, 10)
        await client.close()
        server.close()
