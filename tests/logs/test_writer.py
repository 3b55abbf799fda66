"""Tests that writing log lines never blocks, whatever the reader does."""

import asyncio
import contextlib
import json
import os

from cicadaledge.logs import LineWriter


def test_lines_are_dropped_and_counted_while_the_reader_stalls():
    reader, writer = os.pipe()
    lines = LineWriter(writer, backlog_bytes=20_000)
    for number in range(20_000):
        lines.write({"message": "x" * 100, "number": number})
    assert lines.dropped > 0
    received = b""
    os.set_blocking(reader, False)
    for _ in range(200):
        try:
            received += os.read(reader, 65_536)
        except BlockingIOError:
            lines.write({"message": "more"})
    notices = [
        json.loads(line) for line in received.decode().splitlines() if "Lines were dropped" in line
    ]
    assert notices
    assert notices[0]["count"] > 0
    os.close(reader)
    os.close(writer)


def test_lines_arrive_whole_and_in_order():
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    for number in range(50):
        lines.write({"number": number})
    received = os.read(reader, 65_536).decode().splitlines()
    assert [json.loads(line)["number"] for line in received] == list(range(50))
    os.close(reader)
    os.close(writer)


def test_a_closed_reader_is_no_error():
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    os.close(reader)
    lines.write({"message": "nobody reads this"})
    os.close(writer)


def test_lines_of_a_running_loop_are_written_in_one_system_call(monkeypatch):
    """Two calls for each refused request took a tenth of an overloaded router's time."""
    calls = []
    write = os.write

    def count(descriptor, data):
        calls.append(len(data))
        return write(descriptor, data)

    async def scenario(lines):
        for number in range(100):
            lines.write({"number": number})
        await asyncio.sleep(0.1)

    reader, writer = os.pipe()
    monkeypatch.setattr(os, "write", count)
    asyncio.run(scenario(LineWriter(writer)))
    assert len(calls) == 1
    received = os.read(reader, 65_536).decode().splitlines()
    assert [json.loads(line)["number"] for line in received] == list(range(100))
    os.close(reader)
    os.close(writer)


def test_drain_waits_for_a_slow_reader():
    """Otherwise the last lines of a stopping router are lost if its log is read late."""

    async def scenario():
        reader, writer = os.pipe()
        lines = LineWriter(writer)
        for number in range(2_000):
            lines.write({"message": "x" * 100, "number": number})
        assert lines.dropped == 0
        draining = asyncio.create_task(lines.drain(10.0))
        await asyncio.sleep(0.1)
        assert not draining.done()
        os.set_blocking(reader, False)
        received = b""
        while not draining.done():
            await asyncio.sleep(0.01)
            with contextlib.suppress(BlockingIOError):
                received += os.read(reader, 1_000_000)
        with contextlib.suppress(BlockingIOError):
            received += os.read(reader, 1_000_000)
        numbers = [json.loads(line)["number"] for line in received.splitlines()]
        assert numbers == list(range(2_000))
        os.close(reader)
        os.close(writer)

    asyncio.run(scenario())


def test_drain_waits_no_longer_than_its_limit():
    async def scenario():
        reader, writer = os.pipe()
        lines = LineWriter(writer)
        for _ in range(1_000):
            lines.write({"message": "x" * 100})
        async with asyncio.timeout(5.0):
            await lines.drain(0.1)
        os.close(reader)
        os.close(writer)

    asyncio.run(scenario())


def test_no_field_contains_a_line_separator():
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    sent = {"request_id": "a\x85b\u2028c\nd\xe9", "many": 2**70, "at": {1: 2}}
    lines.write(sent)
    lines.write({"last": None})
    received = os.read(reader, 65_536).decode().splitlines()
    assert [json.loads(line) for line in received] == [sent | {"at": {"1": 2}}, {"last": None}]
    os.close(reader)
    os.close(writer)
