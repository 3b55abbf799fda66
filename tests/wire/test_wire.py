"""Tests of frames and links: round trips, damaged data, authentication."""

import asyncio
from pathlib import Path

import capnp
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cicadaledge.errors import FrameError
from cicadaledge.wire import (
    Counters,
    Descriptor,
    Enqueue,
    Grant,
    Heartbeat,
    LeaseGrant,
    LeaseReply,
    LoadView,
    NameTable,
    PeerLinks,
    RolloutCell,
    RolloutView,
    ServerUse,
    StoreNews,
    ViewScope,
    _codec,
    decode_message,
    encode_message,
)
from cicadaledge.wire._columns import from_columns
from cicadaledge.wire._messages import AccountCost

KEY = "a-fleet-key-for-tests"
MESSAGES = [
    Heartbeat(1, -1, 5, 7, True, 2, True),
    Enqueue("p", "z", [Descriptor(7, "ash", "p", 9, 2**63, True, ["s1"], "r1", 1)]),
    Grant(7, "p", "z", "s", "boot", 12),
    LeaseReply("p", "z", 3, 1500, [LeaseGrant("s", 3, "b", -1, -1, 2, True)]),
    Counters("p", "z", 4, 2, -1.0, [AccountCost("ash", 1.5, 2)]),
    StoreNews("control", 3, 4, b"record", 5, True, 7),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_messages_survive_encoding_and_decoding(message):
    assert decode_message(encode_message(message)) == message


def former_schema(directory):
    """Return the schema of a build whose relayed pages have no epoch."""
    current = Path(_codec.__file__).with_name("control.capnp").read_text()
    lines = [line for line in current.splitlines() if "epoch @6" not in line]
    path = directory / "former.capnp"
    path.write_text("\n".join(lines))
    return capnp.SchemaParser().load(str(path))


def test_relayed_pages_are_exchanged_with_routers_of_a_build_without_epochs(tmp_path):
    """While a fleet is upgraded, a page without an epoch was taken for one of epoch 0."""
    former = former_schema(tmp_path)
    page = {"topic": "control", "firstOffset": 3, "nextOffset": 4, "records": b"record"}
    page |= {"echoMs": 5, "afterOutage": True}
    sent = former.Frame.new_message(storeNews=page).to_bytes_packed()
    assert decode_message(sent) == StoreNews("control", 3, 4, b"record", 5, True, -1)
    received = former.Frame.from_bytes_packed(
        encode_message(StoreNews("control", 3, 4, b"record", 5, True, 7))
    )
    assert received.storeNews.to_dict() == page


def test_names_are_sent_once_on_a_link():
    sent, received = NameTable(), NameTable()
    frames = [encode_message(message, sent) for message in MESSAGES * 2]
    assert [decode_message(frame, received) for frame in frames] == MESSAGES * 2
    again = sum(len(frame) for frame in frames[len(MESSAGES) :])
    assert again < sum(len(frame) for frame in frames[: len(MESSAGES)])


def test_an_index_of_an_unknown_name_is_a_frame_error():
    sent = NameTable()
    encode_message(MESSAGES[2], sent)
    with pytest.raises(FrameError):
        decode_message(encode_message(MESSAGES[2], sent))


@given(st.sampled_from(MESSAGES), st.integers(0, 200), st.binary(min_size=1, max_size=4))
def test_damaged_frames_give_a_frame_error_or_a_message(message, place, noise):
    frame = bytearray(encode_message(message))
    place %= len(frame)
    frame[place : place + len(noise)] = noise
    try:
        decode_message(bytes(frame))
    except FrameError:
        pass


@given(st.binary(max_size=300))
def test_junk_gives_a_frame_error_or_a_message(data):
    try:
        decode_message(data)
    except FrameError:
        pass


class Node:
    """Links of one router that record received messages and linked peers."""

    def __init__(self, name, key=KEY):
        self.received = []
        self.up = []
        self.links = PeerLinks(
            name,
            1,
            key,
            lambda peer, message: self.received.append((peer, message)),
            lambda peer, incarnation: self.up.append(peer),
            lambda peer: None,
        )


async def wait_until(condition):
    for _ in range(200):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


async def connect(first, second):
    await first.links.listen("127.0.0.1", 0)
    port = first.links._listener.port
    second.links.dial("127.0.0.1", port)
    return port


def test_routers_with_the_fleet_key_exchange_messages():
    async def run():
        first, second = Node("r1"), Node("r2")
        await connect(first, second)
        assert await wait_until(lambda: first.up and second.up)
        assert second.links.send("r1", MESSAGES[0])
        assert await wait_until(lambda: first.received)
        assert first.received == [("r2", MESSAGES[0])]
        second.links.partitioned_peers = {"r1"}
        second.links.send("r1", MESSAGES[1])
        await asyncio.sleep(0.05)
        assert len(first.received) == 1
        await first.links.close()
        await second.links.close()

    asyncio.run(run())


def test_a_peer_without_the_fleet_key_gets_no_link():
    async def run():
        first, stranger = Node("r1"), Node("r2", "another-fleet-key")
        await connect(first, stranger)
        await asyncio.sleep(0.3)
        assert first.up == [] and stranger.up == []
        await first.links.close()
        await stranger.links.close()

    asyncio.run(run())


@pytest.mark.parametrize("junk", [b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\0\0\0\5hello"])
def test_invalid_data_on_a_link_closes_it_and_no_other_link(junk):
    async def run():
        first, second = Node("r1"), Node("r2")
        port = await connect(first, second)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(junk)
        await writer.drain()
        writer.write_eof()
        await asyncio.wait_for(reader.read(), 5)
        writer.close()
        assert await wait_until(lambda: first.up == ["r2"])
        await first.links.close()
        await second.links.close()

    asyncio.run(run())


@given(
    st.lists(st.tuples(st.text(max_size=8), *[st.integers(0, 2**32 - 1)] * 8), max_size=20).map(
        lambda rows: [ServerUse(*row) for row in rows]
    )
)
def test_the_uses_of_servers_survive_as_columns(uses):
    view = LoadView(5, int(ViewScope.ZONE), 3, False, uses, [])
    sender, receiver = NameTable(), NameTable()
    for _ in range(2):
        assert decode_message(encode_message(view, sender), receiver) == view


@pytest.mark.parametrize("figures", [b"", b"\0" * 28, b"\0" * 31, b"\0" * 64])
def test_columns_of_the_wrong_length_are_rejected(figures):
    with pytest.raises(ValueError):
        from_columns(ServerUse, ["desk-0"], figures)


def test_counts_of_rollouts_survive_with_their_names_sent_once():
    cells = [RolloutCell("look", True, 5, 4, 3, 2, 1, 7, 2**40), RolloutCell("look", False)]
    view = RolloutView(int(ViewScope.ZONE), "desk", "v2", "zone-a", 2**50, -1, cells)
    sender, receiver = NameTable(), NameTable()
    first = encode_message(view, sender)
    assert decode_message(first, receiver) == view
    assert len(encode_message(view, sender)) < len(first)
