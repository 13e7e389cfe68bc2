"""Test the client for operators and callers."""

import asyncio

from platformsystem import find_free_address
import pytest

from hickorywing import client as client_module
from hickorywing.client import Client
from hickorywing.client import EntryNotReachable

HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n"


class TestTimeLimit:
    """Each request ends in time, whatever the entry sends."""

    async def test_answer_without_its_body(self, monkeypatch):
        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD)
            await writer.drain()

        monkeypatch.setattr(client_module, "TIMEOUT_S", 0.3)
        address = find_free_address()
        host, port = address.split(":")
        server = await asyncio.start_server(answer, host, int(port))
        client = Client(f"http://{address}", "token")
        async with asyncio.timeout(3):
            with pytest.raises(EntryNotReachable):
                await client.call("GET", "/v1/status")
        await client.close()
        server.close()
