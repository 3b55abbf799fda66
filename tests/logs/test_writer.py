"""Logging never blocks, whatever the reader does."""

import json
import os

from cicadaledge.logs import LineWriter


def test_a_stalled_reader_costs_lines_and_never_time():
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
    told = [
        json.loads(line) for line in received.decode().splitlines() if "Lines were dropped" in line
    ]
    assert told
    assert told[0]["count"] > 0
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


def test_a_reader_that_has_gone_is_no_error():
    reader, writer = os.pipe()
    lines = LineWriter(writer)
    os.close(reader)
    lines.write({"message": "nobody reads this"})
    os.close(writer)
