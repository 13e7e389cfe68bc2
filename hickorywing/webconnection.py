"""Read requests from connections, within the limits of their listener.

The parser keeps whatever a client sends until a line or a head ends, and
uvicorn starts a request once its head is complete. Here what is kept is
counted, and a request starts once all of it has arrived. A request that
exceeds a limit is refused and has then not run. What belongs to a request is
dropped as a whole once it is refused or its handler has ended.
"""

import asyncio
import http
from typing import Any
import urllib.parse

import httptools
import msgspec
from uvicorn.protocols.http.flow_control import service_unavailable
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from hickorywing.clientmemory import measure_body
from hickorywing.clientmemory import measure_head
from hickorywing.clientmemory import REQUEST_BYTES
from hickorywing.listeners import BUFFER_BYTES
from hickorywing.policy.clientroom import HeldMemory
from hickorywing.webexchange import Exchange
from hickorywing.webexchange import ExchangeOwner
from hickorywing.weblistener import Listener

__all__ = ["Connection", "Listener"]

# The parser is fed at most this much at a time, so that few requests are read
# beyond those that may wait.
PIECE_BYTES = 4096
# What full buffers of the kernel take, in one direction.
KERNEL_BYTES = 2 * BUFFER_BYTES
# What a refused client may still send. Closing the connection at once would
# reset it, and the client might not see the refusal.
DISCARDED_BYTES = 1 << 20
DISCARD_S = 5.0
# How long a listener that is closed waits for the rest of a request, and for a
# client that doesn't read its answer.
CLOSING_S = 2.0
RETRY_AFTER_S = 1


def encode_refusal(status: int, reason: str) -> bytes:
    """Return the answer that refuses a request and ends the connection."""
    phrase = http.HTTPStatus(status).phrase
    problem = {
        "title": phrase,
        "status": status,
        "detail": reason,
        "run": "not run",
    }
    body = msgspec.json.encode(problem)
    lines = [
        f"HTTP/1.1 {status} {phrase}",
        "content-type: application/problem+json",
        f"content-length: {len(body)}",
        "connection: close",
    ]
    if status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"retry-after: {RETRY_AFTER_S}")
    return "\r\n".join([*lines, "", ""]).encode("ascii") + body


class Connection(HttpToolsProtocol, ExchangeOwner):
    """One connection of a client.

    What it holds is counted in the memory of its listener: the request that is
    being read, those that wait behind one that runs, and the answers that the
    client doesn't read. An ``Exchange`` counts the request that runs.
    """

    def __init__(
        self,
        config: Any,
        server_state: Any,
        app_state: dict[str, Any],
        _loop: asyncio.AbstractEventLoop | None = None,
        *,
        listener: Listener,
    ) -> None:
        super().__init__(config, server_state, app_state, _loop)
        self._listener = listener
        self._memory = listener.memory
        self._running: Exchange | None = None
        # Received while enough requests wait; reading is paused meanwhile.
        self._unparsed = b""
        self._paused = False
        # Nothing more is parsed: the client was refused, or asked to close.
        self._ended = False
        self._refusal = b""
        self._discarded: int | None = None
        # The request that is being read.
        self._in_body = False
        self._outside_bytes = 0
        self._head_cost = 0
        self._declared_bytes = 0
        self._body: bytes | bytearray = b""
        self._keep_alive = True
        self._began_s: float | None = None
        # What is counted beside the request that runs.
        self._reading_bytes = 0
        self._waiting_bytes = 0
        self._unread_bytes = 0
        self._active_s = self.loop.time()
        self._unread_since_s: float | None = None
        self._closing = False

    # Connections

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Serve a new connection, or refuse it if there are too many."""
        super().connection_made(transport)
        # All that the network doesn't take at once counts as unread.
        transport.set_write_buffer_limits(high=0)
        if self._listener.add(self):
            return
        if not self._listener.add_refused():
            self._listener.report("too many connections")
            self._ended = True
            transport.abort()
            return
        self._refuse(503, "too many connections")
        # The sweep doesn't see this connection.
        self.loop.call_later(DISCARD_S, self._end_refused)

    def _end_refused(self) -> None:
        self._listener.remove_refused()
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds; nothing more of it runs."""
        self._leave()
        if self._running is not None:
            self._running.disconnected = True
            self._running.message_event.set()
        self.cycle = None
        super().connection_lost(exc)

    def _leave(self) -> None:
        """Stop to read, and drop all but the request that runs."""
        self._ended = True
        self._listener.remove(self)
        self.pipeline.clear()
        self._memory.hold(-self._unread_bytes)
        self._unread_bytes = 0
        self._unparsed = b""
        self._paused = False
        self._drop_request()
        self._memory.forget(self)

    def _drop_request(self) -> None:
        """Drop the request that is being read, and count anew."""
        self._body = b""
        self._in_body = False
        self._outside_bytes = 0
        self.url = b""
        self.headers = []
        self.scope = None
        self._count()

    def is_idle(self) -> bool:
        """Return whether nothing is lost if the connection is closed."""
        return self._running is None

    def drop(self) -> None:
        """Close the connection without an answer."""
        self._leave()
        self.transport.abort()

    def count_held_bytes(self) -> int:
        """Return what the connection holds, with the request that runs."""
        running = 0 if self._running is None else self._running.held_bytes
        return self._sum_releasable() + running

    def _sum_releasable(self) -> int:
        return self._reading_bytes + self._waiting_bytes + self._unread_bytes

    def describe_held(self) -> HeldMemory:
        """Return what the connection would release."""
        since_s = self._active_s
        if self._unread_since_s is not None:
            since_s = self._unread_since_s
        elif self._began_s is not None:
            since_s = self._began_s
        return HeldMemory(self._sum_releasable(), since_s)

    def make_room(self) -> None:
        """Release what is held, as other connections need it.

        Requests that wait haven't run. The first of them gets the refusal.
        """
        if self._unread_since_s is not None:
            self._listener.report("answers unread")
            self.drop()
            return
        self.pipeline.clear()
        if self._refusal:
            self._count()
        else:
            self._refuse(503, "too many bytes pending")

    def check_time(self, now_s: float) -> None:
        """Close the connection if it has used up its time."""
        limits = self._listener.limits
        if self._discarded is not None:
            if now_s - self._active_s > DISCARD_S:
                self.drop()
        elif self._unread_since_s is not None:
            if now_s - self._unread_since_s > limits.answer_s:
                self._listener.report("answers unread")
                self.drop()
        elif self._running is not None:
            return
        elif self._began_s is not None:
            if now_s - self._began_s > limits.request_s:
                self._refuse(408, "request not complete in time")
        elif now_s - self._active_s > limits.idle_s:
            self._close_in_time()

    def shutdown(self) -> None:
        """Close the connection once its requests are answered."""
        self._closing = True
        if self._running is None and self._began_s is None:
            self._close_in_time()
            return
        if not self._unparsed and self._began_s is None:
            last = self.pipeline[0][0] if self.pipeline else self._running
            last.keep_alive = False
        self.loop.call_later(CLOSING_S, self._close_unfinished)

    def _close_in_time(self) -> None:
        """Close the connection, also if the client doesn't read the rest."""
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self.loop.call_later(CLOSING_S, self.transport.abort)

    def _close_unfinished(self) -> None:
        if self._running is None or self._unread_since_s is not None:
            self.transport.abort()
        else:
            self.loop.call_later(CLOSING_S, self._close_unfinished)

    # Reading

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or discard those of a refused client."""
        if self._ended:
            self._discard(len(data))
            return
        self._active_s = self.loop.time()
        if self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)
        self._count()

    def _discard(self, size: int) -> None:
        if self._discarded is not None:
            self._discarded += size
            if self._discarded > DISCARDED_BYTES:
                self.drop()
        elif not self.transport.is_closing():
            self._pause()
            self._count()

    def _parse(self, data: bytes) -> None:
        """Parse until enough requests wait; keep the rest."""
        start = 0
        while start < len(data) and not self._ended:
            if len(self.pipeline) >= self._listener.limits.requests_ahead:
                self._unparsed = data[start:]
                self._pause()
                return
            piece = data[start : start + PIECE_BYTES]
            start += len(piece)
            self._outside_bytes += len(piece)
            try:
                self.parser.feed_data(piece)
            except httptools.HttpParserUpgrade as upgrade:
                # No other protocol is spoken; what follows is a request.
                start -= len(piece) - upgrade.args[0]
            except httptools.HttpParserError:
                if not self._ended:
                    self._refuse(400, "not HTTP")
            if (
                self._listener.is_head_too_large(self._outside_bytes)
                and not self._ended
            ):
                self._refuse(431, "head or trailers too large")
        if self._ended:
            # It keeps the part of a head that it has read.
            self.parser = None

    def _count(self) -> None:
        """Count what is held beside the request that runs."""
        before = self._sum_releasable()
        reading = len(self._unparsed)
        if self._in_body:
            reading += self._head_cost + measure_body(len(self._body))
        elif self._outside_bytes:
            reading += self._measure_head()
        if reading == 0:
            self._began_s = None
        elif self._began_s is None:
            self._began_s = self._active_s
        if self._paused:
            # The client may go on to send until the buffers are full.
            reading += KERNEL_BYTES
        self._reading_bytes = reading
        self._waiting_bytes = sum(item.held_bytes for item, _ in self.pipeline)
        change = self._sum_releasable() - before
        if change:
            self._memory.hold(change, self)

    def _measure_head(self) -> int:
        """Return what the request that is being read takes, so far."""
        if self.scope is None:
            return self._outside_bytes
        return REQUEST_BYTES + measure_head(
            self._outside_bytes, len(self.headers), len(self.url)
        )

    def _pause(self) -> None:
        self._paused = True
        self.transport.pause_reading()

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
            self._count()

    def _go_on(self) -> None:
        """Parse what was kept while enough requests waited."""
        data, self._unparsed = self._unparsed, b""
        self._active_s = self.loop.time()
        self._began_s = None
        self._parse(data)
        if not self._unparsed and not self._ended:
            self._resume()
        self._count()

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Start to read a request."""
        if self._ended:
            return
        super().on_message_begin()
        self._declared_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Keep a part of the path."""
        if not self._ended:
            super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; trailers are dropped."""
        if self._in_body or self._ended:
            return
        name = name.lower()
        value = value.rstrip(b" \t")
        if name == b"content-length" and value.isdigit():
            self._declared_bytes = int(value)
        elif name == b"expect" and value.lower() == b"100-continue":
            self.expect_100_continue = True
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check a head; the request starts when its body is complete."""
        if self._ended:
            return
        scope = self.scope
        version = self.parser.get_http_version()
        if version != "1.1":
            scope["http_version"] = version
        scope["method"] = self.parser.get_method().decode("ascii")
        url = httptools.parse_url(self.url)
        path = url.path.decode("ascii")
        scope["path"] = urllib.parse.unquote(path) if "%" in path else path
        scope["raw_path"] = url.path
        scope["query_string"] = url.query or b""
        self._keep_alive = version != "1.0" and self.parser.should_keep_alive()
        self._head_cost = self._measure_head()
        self._in_body = True
        self._body = b""
        self._outside_bytes = 0
        if self._listener.is_body_too_large(self._declared_bytes):
            self._refuse(413, "body too large")
        elif self.expect_100_continue and self._running is None:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Keep a part of a body."""
        if self._ended:
            return
        self._outside_bytes = 0
        if not self._body:
            self._body = body
        else:
            if isinstance(self._body, bytes):
                self._body = bytearray(self._body)
            self._body += body
        if self._listener.is_body_too_large(len(self._body)):
            self._refuse(413, "body too large")

    def on_message_complete(self) -> None:
        """Run a request, or queue it behind an earlier one."""
        if self._ended:
            return
        exchange = Exchange(
            self._memory,
            self._head_cost + measure_body(len(self._body)),
            self,
            scope=self.scope,
            transport=self.transport,
            flow=self.flow,
            logger=self.logger,
            access_logger=self.access_logger,
            access_log=self.access_log,
            default_headers=self.server_state.default_headers,
            message_event=asyncio.Event(),
            expect_100_continue=False,
            keep_alive=self._keep_alive and not self._closing,
        )
        exchange.body = self._body
        exchange.more_body = False
        exchange.message_event.set()
        app = self.app
        if len(self.tasks) >= self.limit_concurrency:
            self._listener.report("too many requests")
            app = service_unavailable
        self._ended = not exchange.keep_alive
        self.pipeline.appendleft((exchange, app))
        # From here on the exchange counts what was read of the request. To
        # make room for it, it may be refused.
        self._drop_request()
        self._run_next()

    def _run_next(self) -> None:
        """Run the next request, unless an answer is still under way."""
        if (
            self.pipeline
            and self._running is None
            and self._unread_since_s is None
            and not self.transport.is_closing()
        ):
            exchange, app = self.pipeline.pop()
            self._waiting_bytes -= exchange.held_bytes
            self._running = exchange
            self._start_asgi_task(exchange, app)

    # Answers

    def end_exchange(self) -> None:
        """Run the next request that has arrived, and read on."""
        self.server_state.total_requests += 1
        self._running = None
        self._listener.note_served(self)
        self._active_s = self.loop.time()
        self._advance()

    def _advance(self) -> None:
        """Go on after an answer that the client has taken."""
        if self.transport.is_closing() or self._unread_since_s is not None:
            return
        self._run_next()
        if self._running is not None:
            if self._unparsed and not self._ended:
                self._go_on()
            return
        if self._refusal:
            self._send_refusal()
            return
        if self._unparsed and not self._ended:
            self._go_on()
        if self._running is not None or self._ended:
            return
        if self._in_body and self.expect_100_continue:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        elif self._closing and self._began_s is None:
            self.transport.close()

    def pause_writing(self) -> None:
        """Count the answers that the client doesn't read."""
        super().pause_writing()
        self._unread_since_s = self.loop.time()
        # The transport may keep an answer of which it has sent a part.
        sending = 0 if self._running is None else self._running.sending_bytes
        size = max(self.transport.get_write_buffer_size(), sending)
        self._unread_bytes = size + KERNEL_BYTES
        self._memory.hold(self._unread_bytes, self)

    def resume_writing(self) -> None:
        """Go on with answers that the client reads again."""
        super().resume_writing()
        self._unread_since_s = None
        unread_bytes, self._unread_bytes = self._unread_bytes, 0
        self._memory.hold(-unread_bytes, self)
        if self._running is None:
            self._advance()

    def _refuse(self, status: int, reason: str) -> None:
        """Refuse the request that is being read, and read no further one.

        Requests before it are answered first, as answers come in the order of
        the requests.
        """
        if self._refusal:
            return
        self._ended = True
        self._refusal = encode_refusal(status, reason)
        self._listener.report(reason)
        self._unparsed = b""
        self.parser = None
        self._drop_request()
        if self._running is None and not self.pipeline:
            self._send_refusal()

    def _send_refusal(self) -> None:
        if self._discarded is not None:
            return
        self._discarded = 0
        self._active_s = self.loop.time()
        self._listener.note_refused(self)
        self.transport.write(self._refusal)
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self._resume()
