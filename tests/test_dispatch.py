"""Test the headers of dispatches, which any client can send."""

from blacksheep import Headers
import pytest

from hickorywing.decoding import decode_json
from hickorywing.decoding import DecodingError
from hickorywing.dispatch import DispatchHeader
from hickorywing.dispatch import read_terms
from hickorywing.dispatch import RevokeRequest


def read(name: bytes = b"d1", incarnation: bytes = b"7", deadline=b"3.0"):
    return read_terms(
        Headers(
            [
                (DispatchHeader.DISPATCH, name),
                (DispatchHeader.INCARNATION, incarnation),
                (DispatchHeader.DEADLINE, deadline),
            ]
        )
    )


class TestTerms:
    """Ids are remembered, and a dispatch waits until its deadline."""

    def test_ordinary_dispatch(self):
        terms = read()
        assert (terms.dispatch_id, terms.incarnation) == ("d1", 7)
        assert terms.deadline_s == 3.0

    @pytest.mark.parametrize(
        "fields",
        [
            {"name": b""},
            {"name": b"d" * 60_000},
            {"incarnation": b"seven"},
            {"incarnation": b"9" * 5000},
            {"deadline": b"inf"},
            {"deadline": b"nan"},
            {"deadline": b"1e9"},
            {"deadline": b"soon"},
        ],
    )
    def test_malformed(self, fields):
        assert read(**fields) is None

    def test_revocation_of_a_long_id(self):
        body = b'{"dispatch_id":"%s","incarnation":7}'
        assert decode_json(body % b"d1", RevokeRequest).dispatch_id == "d1"
        with pytest.raises(DecodingError):
            decode_json(body % (b"d" * 60_000), RevokeRequest)
