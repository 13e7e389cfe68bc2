"""Test that decoders give a value or the one error of their border.

Every process reads what others have written, so an error of another kind ends
it, and each process that takes its place.
"""

from collections.abc import Callable
import json

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
from poolhelpers import make_job
import pytest

from hickorywing.backends import BackendAnnouncement
from hickorywing.decoding import convert
from hickorywing.decoding import Count
from hickorywing.decoding import decode_json
from hickorywing.decoding import decode_msgpack
from hickorywing.decoding import DecodingError
from hickorywing.decoding import Number
from hickorywing.handover import OfferAnswer
from hickorywing.handover import RoleOffer
from hickorywing.holderchecks import HolderCheck
from hickorywing.holderchecks import HolderCheckAnswer
from hickorywing.httpclient import HttpAnswer
from hickorywing.messages import decode_message
from hickorywing.orders import OrderAnswer
from hickorywing.orders import StartOrder
from hickorywing.orders import StopOrder
from hickorywing.orders import WatchOrder
from hickorywing.orders import WorkerReport
from hickorywing.platform import callers
from hickorywing.platform.operator import decode_configuration
from hickorywing.platform.runner import decode_announcement
from hickorywing.platform.runner import decode_answer
from hickorywing.platform.runner import decode_poll
from hickorywing.platform.store import decode_answer as decode_store_answer
from hickorywing.platform.store import decode_commit
from hickorywing.platform.store import WirePage
from hickorywing.platform.store import WireParts
from hickorywing.policy.poolmodel import QueueTerms
from hickorywing.policy.poolruns import JobState
from hickorywing.policy.poolruns import parse_task
from hickorywing.poolconfig import Queue
from hickorywing.poolrows import AgentRow
from hickorywing.poolrows import decode_job
from hickorywing.poolrows import decode_row
from hickorywing.poolrows import decode_status
from hickorywing.poolrows import EntryRow
from hickorywing.poolrows import JobPoolRow
from hickorywing.poolrows import LeaseRow
from hickorywing.poolrows import RowUnreadable
from hickorywing.poolworker import WorkerSilent
from hickorywing.progressrows import ProgressRows
from hickorywing.progressrows import restore_progress
from hickorywing.rows import RowKey
from hickorywing.rows import StoreUnavailable
from hickorywing.runtimerows import decode_run_times

QUEUE = Queue("h", "/", QueueTerms("q", "p"))
Decoder = Callable[[bytes], object]


def answer(decode: Callable[[HttpAnswer], object], status: int) -> Decoder:
    """Return a decoder of the body of an HTTP answer."""
    return lambda body: decode(HttpAnswer(status, body))


# Decoders of JSON with a readable document and the error of their border.
HEARTBEAT = {
    "service": "s",
    "state": "ready",
    "seq": 4,
    "zone": "z",
    "address": "10.1.0.9:8080",
    "capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 8},
    "labels": ["a", "r1"],
    "clock-ms": 482113,
    "remaining-ms": 1000,
    "born": 1,
}
POLL = {
    "clock-ms": 1,
    "born": 1,
    "running": [["j.0.0.0", 1, "s", 40, 7]],
    "ended": [[1, "j.0.0.1", 1, "done", "s"]],
}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "path-prefix": "/",
            "service": "s",
            "priority": 1,
            "attempts": 2,
            "stretch": 3.0,
            "target-latency-ms": 1000,
            "timeout-ms": 3000,
        }
    ],
    "tenants": [{"name": "t", "api-keys": ["k"], "guaranteed": {"gpu": 8}}],
    "limits": {"header-bytes": 16384, "body-bytes": 262144},
}
STEP = {
    "count": 4,
    "cpu": 500,
    "mem-mb": 256,
    "gpu": 1,
    "estimate-ms": 900,
    "after": [],
    "anti-affinity": 1,
    "target-ms": 5,
    "may-miss": 1,
}
JOB = {
    "spec": "s",
    "steps": [STEP, {**STEP, "after": [0]}],
    "times": 3,
    "first-ms": 1_700_000_000_000,
    "interval-ms": 3000,
}
ROW = {"table": "t", "part": "p", "key": "k", "value": "YQ==", "ver": 7}
PAGE = {"rows": [ROW], "ver": 7, "now-ms": 9, "has-more": False}
JSON_BORDERS: dict[str, tuple[Decoder, dict, type | tuple]] = {
    "heartbeat": (lambda body: decode_announcement("n", body), HEARTBEAT, ()),
    "poll": (answer(decode_poll, 200), POLL, WorkerSilent),
    "order": (
        answer(decode_answer, 409),
        {"clock-ms": 1, "reason": "old", "born": 1},
        (),
    ),
    "configuration": (decode_configuration, CONFIG, ()),
    "job": (
        lambda body: callers.decode_job("j", QUEUE, None, body),
        JOB,
        DecodingError,
    ),
    "page": (
        answer(lambda page: decode_store_answer(page, WirePage), 200),
        PAGE,
        StoreUnavailable,
    ),
    "parts": (
        answer(lambda page: decode_store_answer(page, WireParts), 200),
        {"parts": ["a"]},
        StoreUnavailable,
    ),
    "mismatch": (answer(decode_commit, 412), PAGE, ()),
    "offer": (
        lambda body: decode_json(body, RoleOffer),
        {"pool": "p", "epoch": 3, "planned": True, "binding": True},
        DecodingError,
    ),
    "offer answer": (
        lambda body: decode_json(body, OfferAnswer),
        {"accepted": True, "term": 3, "head_start_s": 0.1},
        DecodingError,
    ),
    "check": (
        lambda body: decode_json(body, HolderCheck),
        {"pool": "p", "epoch": 3, "address": "a"},
        DecodingError,
    ),
    "check answer": (
        lambda body: decode_json(body, HolderCheckAnswer),
        {"contact": "holds"},
        DecodingError,
    ),
}


def restore(value: bytes) -> JobState:
    """Restore a job from its progress row."""
    state = JobState(make_job(), 1, 0.0)
    restore_progress(state, ProgressRows(value), 0.0)
    return state


def restore_part(value: bytes) -> JobState:
    """Restore a large job from one of its rows."""
    state = JobState(make_job(), 1, 0.0)
    key = RowKey("progress", "p", "j1/0.0.0")
    restore_progress(state, ProgressRows(parts={key: value}), 0.0)
    return state


def row(row_type: type) -> Decoder:
    return lambda value: decode_row(value, row_type)


def message(message_type: type) -> Decoder:
    return lambda value: decode_msgpack(value, message_type)


ORDER = {"pool": "p", "epoch": 3, "worker": "w", "lease_ms": 9}
RUN = {**ORDER, "task": "j.0.0.0", "run": 1}
UNIT = [0, 0, 0, 1, 0, False, "s", [[0, "w", ""]], 1.0]
MSGPACK_BORDERS: dict[str, tuple[Decoder, object, type | tuple]] = {
    "agent": (row(AgentRow), ["127.0.0.1:80", "z", "p"], RowUnreadable),
    "entry": (row(EntryRow), ["127.0.0.1:80", 1.0], RowUnreadable),
    "lease": (row(LeaseRow), ["e", 1, 1, 1], RowUnreadable),
    "job pool": (row(JobPoolRow), ["p"], RowUnreadable),
    "count": (row(Count), 3, RowUnreadable),
    "speeds": (row(dict[str, Number]), {"w": 1.5}, RowUnreadable),
    "run times": (
        decode_run_times,
        {"queues": [["q", [[0, 1]], [], [], {"kind": [0.1, 2.0]}]]},
        RowUnreadable,
    ),
    "status": (decode_status, "active", RowUnreadable),
    "progress": (restore, ["active", [0], [UNIT]], RowUnreadable),
    "large progress": (
        restore,
        {"status": "active", "finished": [[0, 1]]},
        RowUnreadable,
    ),
    "part of progress": (restore_part, [UNIT], RowUnreadable),
    "job row": (
        decode_job,
        msgspec.msgpack.decode(msgspec.msgpack.encode(make_job())),
        RowUnreadable,
    ),
    "watch": (message(WatchOrder), {**ORDER, "seen": 1}, DecodingError),
    "start": (message(StartOrder), {**RUN, "payload": "s"}, DecodingError),
    "stop": (message(StopOrder), RUN, DecodingError),
    "order answer": (
        message(OrderAnswer),
        {"outcome": "ok", "clock_ms": 1},
        DecodingError,
    ),
    "report": (
        message(WorkerReport),
        {
            "number": 1,
            "capacity": {"cores_milli": 1},
            "running": [["j.0.0.0", 1, "s", 4]],
            "ended": [[1, "j.0.0.0", 1, "done", "s"]],
        },
        DecodingError,
    ),
    "message": (lambda frame: decode_message(frame), ["n", "a", {}], ()),
}

odd_numbers = st.one_of(
    st.integers(),
    st.sampled_from([-1, 2**31, 2**53 + 1, 2**63, 2**64 - 1, 1e300, -1e300]),
    st.floats(allow_nan=False, allow_infinity=False),
)
odd_values = st.recursive(
    st.one_of(st.none(), st.booleans(), st.text(max_size=8), odd_numbers),
    lambda values: st.one_of(
        st.lists(values, max_size=3),
        st.dictionaries(st.text(max_size=4), values, max_size=3),
    ),
    max_leaves=6,
)


@st.composite
def change(draw: st.DrawFn, document: object) -> object:
    """Return a document in which one value, at any depth, is an odd one."""
    if isinstance(document, dict) and document and draw(st.integers(0, 3)):
        key = draw(st.sampled_from(sorted(document)))
        return {**document, key: draw(change(document[key]))}
    if isinstance(document, list) and document and draw(st.integers(0, 3)):
        place = draw(st.integers(0, len(document) - 1))
        changed = draw(change(document[place]))
        return [*document[:place], changed, *document[place + 1 :]]
    return draw(odd_values)


def check(decode: Decoder, data: bytes, errors: type | tuple) -> bool:
    """Decode data; return whether it is readable."""
    try:
        return decode(data) is not None
    except errors:
        return False


def clip(value: object) -> object:
    """Limit integers to those that MessagePack can hold."""
    if isinstance(value, bool):
        return value
    if isinstance(value, int):
        return max(-(2**63), min(value, 2**64 - 1))
    if isinstance(value, list):
        return [clip(item) for item in value]
    if isinstance(value, dict):
        return {key: clip(item) for key, item in value.items()}
    return value


def nest(opening: bytes, closing: bytes) -> bytes:
    return opening * 100_000 + closing * 100_000


class TestJsonBorders:
    """Documents of callers, the operator, workers and the store."""

    @pytest.mark.parametrize("border", JSON_BORDERS)
    def test_readable_document(self, border):
        decode, document, errors = JSON_BORDERS[border]
        assert check(decode, msgspec.json.encode(document), errors)

    @pytest.mark.parametrize("border", JSON_BORDERS)
    @pytest.mark.parametrize("odd", [nest(b"[", b"]"), nest(b'{"a":', b"}")])
    def test_nesting(self, border, odd):
        decode, document, errors = JSON_BORDERS[border]
        encoded = msgspec.json.encode(document)
        check(decode, odd, errors)
        check(decode, encoded[:-1] + b',"later":' + odd + b"}", errors)

    @pytest.mark.parametrize("border", JSON_BORDERS)
    def test_large_numbers(self, border):
        decode, document, errors = JSON_BORDERS[border]
        encoded = msgspec.json.encode(document)
        places = [
            place
            for place, byte in enumerate(encoded)
            if byte in b"0123456789"
        ]
        for place in places:
            for odd in (b"9" * 400, b"9" * 5000, b"1e400", b"-9", b"1e-400"):
                data = encoded[:place] + odd + encoded[place + 1 :]
                check(decode, data, errors)

    @pytest.mark.parametrize("border", JSON_BORDERS)
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(data=st.data())
    def test_any_value(self, border, data):
        decode, document, errors = JSON_BORDERS[border]
        odd = data.draw(change(document))
        check(decode, msgspec.json.encode(odd), errors)


class TestMessagePackBorders:
    """Rows of the store and messages between processes."""

    @pytest.mark.parametrize("border", MSGPACK_BORDERS)
    def test_readable_document(self, border):
        decode, document, errors = MSGPACK_BORDERS[border]
        encoded = msgspec.msgpack.encode(document)
        assert check(decode, encoded, errors)

    @pytest.mark.parametrize("border", MSGPACK_BORDERS)
    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(data=st.data())
    def test_any_value(self, border, data):
        decode, document, errors = MSGPACK_BORDERS[border]
        odd = data.draw(change(document))
        check(decode, msgspec.msgpack.encode(clip(odd)), errors)

    @pytest.mark.parametrize("border", MSGPACK_BORDERS)
    @settings(max_examples=30, deadline=None, derandomize=True)
    @given(data=st.binary(max_size=40))
    def test_any_bytes(self, border, data):
        decode, _, errors = MSGPACK_BORDERS[border]
        check(decode, data, errors)

    @pytest.mark.parametrize("border", MSGPACK_BORDERS)
    def test_nesting(self, border):
        decode, document, errors = MSGPACK_BORDERS[border]
        deep = b"\x91" * 100_000 + b"\xc0"
        check(decode, deep, errors)
        check(decode, b"\x81\xa5later" + deep, errors)
        if isinstance(document, list):
            encoded = msgspec.msgpack.encode(document)[1:]
            count = bytes([0x91 + len(document)])
            check(decode, count + encoded + deep, errors)


class TestAnnouncements:
    """What announces a worker or back end is kept, so it has to be short."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"labels": ["ab"] * 100_000},
            {"labels": ["a" * 100_000]},
            {"zone": "z" * 100_000},
            {"address": "a" * 100_000},
        ],
    )
    def test_long_heartbeat(self, changes):
        body = json.dumps({**HEARTBEAT, **changes}).encode()
        assert decode_announcement("i-1", json.dumps(HEARTBEAT).encode())
        assert decode_announcement("i-1", body) is None

    def test_long_name(self):
        body = json.dumps(HEARTBEAT).encode()
        assert decode_announcement("i" * 60_000, body) is None

    def test_long_back_end(self):
        fields = dict(name="b1", url="u", service="s", slots=1, connections=1)
        body = json.dumps({**fields, "service": "s" * 100_000}).encode()
        decode_json(json.dumps(fields), BackendAnnouncement)
        with pytest.raises(DecodingError):
            decode_json(body, BackendAnnouncement)


class TestBounds:
    """Numbers that later calculations can't hold are not decoded."""

    @pytest.mark.parametrize("value", [-1, 2**53 + 1, 2**64 - 1])
    def test_counts(self, value):
        with pytest.raises(DecodingError):
            decode_msgpack(msgspec.msgpack.encode(value), Count)

    @pytest.mark.parametrize("value", [float("inf"), float("nan"), 1e300])
    def test_numbers(self, value):
        with pytest.raises(DecodingError):
            decode_msgpack(msgspec.msgpack.encode(value), Number)
        with pytest.raises(DecodingError):
            convert(value, Number)

    @pytest.mark.parametrize(
        "name",
        [
            "",
            "j.0.0",
            "j.0.0.-1",
            "j.0.0." + "9" * 5000,
            "j.0.0.\u0660",
            "j.0.0.0.0",
        ],
    )
    def test_names_of_tasks(self, name):
        assert parse_task(name) is None
