"""Framing of bodies, which arrive in pieces of any size."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.ingress import BodyError, BodyReader, BodyTooLargeError

LIMIT_BYTES = 1_000
REST = b"GET / HTTP/1.1\r\n"


def read(reader, pieces, max_chunks=1_000):
    """Feed pieces; return the body and the bytes after it, or None if it is not complete."""
    for number, piece in enumerate(pieces):
        rest = reader.feed(piece, max_chunks)
        while rest is None and reader.has_more:
            rest = reader.feed(b"", max_chunks)
        if rest is not None:
            return reader.take_body(), rest + b"".join(pieces[number + 1 :])
    return None


def cut(data, sizes):
    """Return data in pieces of the sizes, and what is left."""
    pieces, start = [], 0
    for size in sizes:
        pieces.append(data[start : start + size])
        start += size
    return [*pieces, data[start:]]


@given(
    chunks=st.lists(st.binary(min_size=1, max_size=40), max_size=12),
    sizes=st.lists(st.integers(1, 30)),
    extension=st.sampled_from([b"", b";x=y"]),
    trailer=st.sampled_from([b"", b"X: y\r\n"]),
    max_chunks=st.integers(1, 5),
)
def test_chunks_are_read_whatever_the_pieces(chunks, sizes, extension, trailer, max_chunks):
    framed = b"".join(b"%x%b\r\n%b\r\n" % (len(one), extension, one) for one in chunks)
    pieces = cut(framed + b"0\r\n" + trailer + b"\r\n" + REST, sizes)
    reader = BodyReader(None, LIMIT_BYTES)
    assert read(reader, pieces, max_chunks) == (b"".join(chunks), REST)


@given(body=st.binary(max_size=100), sizes=st.lists(st.integers(1, 30)))
def test_a_body_with_a_length_is_read_whatever_the_pieces(body, sizes):
    reader = BodyReader(len(body), LIMIT_BYTES)
    assert read(reader, cut(body + REST, sizes)) == (body, REST)


@pytest.mark.parametrize(
    "framed",
    [b"x\r\n", b"-1\r\na", b"\r\n", b"5\r\nwholeX", b"5 5\r\n", b"+5\r\n", b"5;" + b"x" * 5_000],
)
def test_invalid_chunks_are_refused(framed):
    with pytest.raises(BodyError):
        read(BodyReader(None, LIMIT_BYTES), [framed])


def test_a_trailer_without_end_is_refused():
    with pytest.raises(BodyError):
        read(BodyReader(None, LIMIT_BYTES), [b"0\r\n", *[b"X: yyyyyyyy\r\n"] * 2_000])


def test_bodies_over_the_limit_are_refused_before_they_are_read():
    with pytest.raises(BodyTooLargeError):
        BodyReader(LIMIT_BYTES + 1, LIMIT_BYTES)
    with pytest.raises(BodyTooLargeError):
        read(BodyReader(None, LIMIT_BYTES), [b"3e9\r\n"])
    assert read(BodyReader(None, LIMIT_BYTES), [b"3e8\r\n"]) is None


def test_discarded_bodies_count_against_the_limit_and_hold_nothing():
    reader = BodyReader(None, LIMIT_BYTES)
    reader.feed(b"10\r\n" + b"x" * 16 + b"\r\n", 10)
    reader.discard()
    with pytest.raises(BodyTooLargeError):
        read(reader, [b"10\r\n" + b"x" * 16 + b"\r\n"] * 100)
    assert reader.held_bytes == 0
