"""Backend servers whose responses are incomplete, malformed, lost or for another request."""

import asyncio

import pytest
from edge_world import request_headers, small_world

from cicadaledge.standins import BackendFaults

MODEL = {"model": True}


def test_a_request_that_is_not_idempotent_is_not_retried_after_a_lost_response():
    async def play():
        async with small_world(desks=2) as world:
            for runner in world.runners[:2]:
                runner.faults = BackendFaults(reset=True)
            answer = await world.call("/book/1")
            assert answer.status == 502
            assert sum(len(runner.runs) for runner in world.runners[:2]) == 1

    asyncio.run(play())


def test_an_idempotent_request_is_retried_after_a_lost_response():
    async def play():
        async with small_world(desks=2) as world:
            world.runners[0].faults = BackendFaults(reset=True)
            for number in range(4):
                answer = await world.call(f"/look/{number}")
                assert answer.body == f"desk-1 /look/{number}".encode()

    asyncio.run(play())


def test_a_full_server_has_not_run_the_request_and_another_gets_it():
    async def play():
        async with small_world(desks=2) as world:
            world.runners[0].faults = BackendFaults(full=True)
            answers = [await world.call(f"/look/{number}") for number in range(6)]
            assert {answer.status for answer in answers} == {200}
            assert world.runners[0].runs == []

    asyncio.run(play())


def test_when_all_servers_are_full_the_request_is_refused_and_not_run():
    async def play():
        async with small_world() as world:
            world.runners[0].faults = BackendFaults(full=True)
            answer = await world.call("/book/1")
            assert answer.status == 503
            assert float(answer.head.get(b"Retry-After")) > 0
            assert world.runners[0].runs == []

    asyncio.run(play())


@pytest.mark.parametrize(
    "raw",
    [
        b"not an answer at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\ncut",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: request-of-nobody\r\nContent-Length: 5\r\n\r\nother",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal",
    ],
)
def test_malformed_responses_are_not_forwarded_to_the_caller(raw):
    async def play():
        async with small_world() as world:
            world.runners[0].faults = BackendFaults(raw=raw)
            answer = await world.call("/book/1")
            assert answer.status == 502
            assert b"code" in answer.body

    asyncio.run(play())


def test_a_late_response_to_another_request_is_skipped():
    async def play():
        async with small_world() as world:
            world.runners[0].faults = BackendFaults(stray=True)
            answer = await world.call("/book/1")
            assert (answer.status, answer.body) == (200, b"desk-0 /book/1")

    asyncio.run(play())


def test_extra_bytes_after_a_response_are_not_taken_for_the_next_response():
    async def play():
        async with small_world() as world:
            extra = b"HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Length: 5\r\n\r\nextra"
            world.runners[0].faults = BackendFaults(trailing=extra)
            for number in range(5):
                answer = await world.call(f"/book/{number}")
                assert answer.body == f"desk-0 /book/{number}".encode()

    asyncio.run(play())


REFUSAL = b"HTTP/1.1 %b\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize("status", [b"503 Full", b"421 Misdirected", b"429 Many"])
def test_a_refusal_without_an_id_on_a_reused_connection_does_not_mean_not_run(status):
    """A server can repeat an earlier refusal and then run the request.

    The router must not report the request as "not run".
    """

    async def play():
        async with small_world() as world:
            for number in range(3):
                assert (await world.call(f"/book/{number}")).status == 200
            world.runners[0].faults = BackendFaults(raw=REFUSAL % status)
            answer = await world.call("/book/3")
            assert [run.target for run in world.runners[0].runs][3:] == ["/book/3"]
            assert answer.status == 502

    asyncio.run(play())


@pytest.mark.parametrize("status", [b"503 Full", b"421 Misdirected"])
def test_a_refusal_without_an_id_on_a_new_connection_belongs_to_the_request(status):
    async def play():
        async with small_world() as world:
            world.runners[0].faults = BackendFaults(raw=REFUSAL % status)
            assert (await world.call("/book/1")).status == 503

    asyncio.run(play())


def test_a_refusal_without_an_id_does_not_make_a_server_unhealthy():
    async def play():
        async with small_world(desks=2) as world:
            for number in range(6):
                await world.call(f"/look/{number}")
            for runner in world.runners[:2]:
                runner.faults = BackendFaults(raw=REFUSAL % b"503 Full")
            for number in range(6):
                await world.call(f"/look/{number}")
            for runner in world.runners[:2]:
                runner.faults = BackendFaults()
                runner.runs.clear()
            await asyncio.sleep(0.15)  # a full server gets no requests for a moment
            await asyncio.gather(*(world.call("/look/1") for _ in range(8)))
            assert min(len(runner.runs) for runner in world.runners[:2]) >= 2

    asyncio.run(play())


def test_an_error_response_is_forwarded_with_its_seal():
    async def play():
        async with small_world() as world:
            world.runners[0].faults = BackendFaults(error=True)
            answer = await world.call("/book/1")
            assert answer.status == 500
            assert answer.head.get(b"Response-Seal") == "desk-0.1"

    asyncio.run(play())


@pytest.mark.parametrize("others", [0, 1])
def test_an_error_response_is_forwarded_when_no_other_server_answers(others):
    async def play():
        async with small_world(desks=1) as world:
            world.runners[0].faults = BackendFaults(error=True)
            for number in range(others):
                full = await world.add_runner(f"desk-x{number}", "desk", "zone-b")
                full.faults = BackendFaults(full=True)
            await asyncio.sleep(0.2)
            answer = await world.call("/look/1")
            assert answer.status == 500
            assert answer.head.get(b"Response-Seal") == "desk-0.1"

    asyncio.run(play())


def test_a_server_that_never_responds_gets_fewer_and_fewer_requests():
    async def play():
        async with small_world(desks=2) as world:
            world.runners[0].faults = BackendFaults(silent=True)
            quick = {"Deadline_Ms": "1200"}
            for _ in range(8):
                await asyncio.gather(*(world.call("/book/1", headers=quick) for _ in range(4)))
            assert len(world.runners[0].runs) <= 12
            assert len(world.runners[1].runs) >= 20

    asyncio.run(play())


def test_disconnecting_callers_do_not_make_a_server_unhealthy():
    async def play():
        async with small_world(desks=2) as world:
            for runner in world.runners[:2]:
                runner.gap_s = 0.3
            for _ in range(12):
                connection = await world.connect()
                connection.send("POST", "/book/1", request_headers(), b"{}")
                await asyncio.sleep(0.05)
                connection.abort()
            for runner in world.runners[:2]:
                runner.gap_s = 0.0
                runner.runs.clear()
            await asyncio.gather(*(world.call("/book/1") for _ in range(8)))
            assert min(len(runner.runs) for runner in world.runners[:2]) >= 2

    asyncio.run(play())


def test_an_interrupted_stream_never_looks_complete():
    async def play():
        async with small_world() as world:
            world.runners[1].faults = BackendFaults(break_after=2)
            answer = await world.call("/draft/1", **MODEL)
            assert not answer.complete
            assert answer.body.startswith(b"id: 1\ndata: piece 1\n\nid: 2\n")

    asyncio.run(play())


def test_a_resumable_stream_continues_on_another_server():
    async def play():
        async with small_world(pools=2) as world:
            for number in range(4):
                pools = world.runners[1:]
                for runner in pools:
                    runner.faults = BackendFaults()
                broken = pools[number % 2]
                broken.faults = BackendFaults(break_after=2)
                answer = await world.call(f"/chat/{number}", **MODEL)
                expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 5))
                assert answer.complete
                assert answer.body == expected

    asyncio.run(play())


ANSWER = b"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\nResponse-Seal: x\r\nContent-Length: %d\r\n\r\n%b"
NOT_A_CONTINUATION = {
    "a text": b"oops",
    "a page": b"<html>\n\n</html>\n\n",
    "events without ids": b"data: oops\n\n",
    "events from the start": b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n",
    "half an event": b"id: 3\ndata: pie",
}


@pytest.mark.parametrize("body", NOT_A_CONTINUATION.values(), ids=NOT_A_CONTINUATION)
def test_a_response_that_does_not_continue_a_stream_is_not_appended_to_it(body):
    """Otherwise an error text could end up within a stream that then looks complete."""

    async def play():
        async with small_world(pools=2) as world:
            pools = world.runners[1:]
            for number in range(4):
                broken, other = pools[number % 2], pools[1 - number % 2]
                broken.faults = BackendFaults(break_after=2)
                other.faults = BackendFaults(raw=ANSWER % (len(body), body))
                first = len(broken.runs)
                answer = await world.call("/chat/1", headers={"Attempt_Id": "mine"}, **MODEL)
                if len(broken.runs) > first and answer.body:
                    assert not answer.complete
                    expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in (1, 2))
                    assert answer.body == expected

    asyncio.run(play())


def test_a_stream_resumed_by_the_caller_continues_after_the_last_forwarded_event():
    """No event is sent twice if the server fails again."""

    async def play():
        async with small_world(pools=2) as world:
            for broken in world.runners[1:]:
                for runner in world.runners[1:]:
                    runner.faults = BackendFaults()
                broken.faults = BackendFaults(break_after=3)
                answer = await world.call("/chat/1", headers={"Last_Event_Id": "1"}, **MODEL)
                expected = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(2, 5))
                assert answer.complete
                assert answer.body == expected

    asyncio.run(play())


def test_a_response_without_a_length_ends_when_the_connection_closes():
    async def play():
        async with small_world() as world:
            runner = world.runners[0]
            runner.faults = BackendFaults(
                raw=b"HTTP/1.1 200 OK\r\nAttempt-Id: mine\r\n\r\nall of it"
            )
            answer = await world.call("/book/1", headers={"Attempt_Id": "mine"})
            assert (answer.status, answer.body, answer.complete) == (200, b"all of it", True)

    asyncio.run(play())


def test_another_server_at_the_same_address_does_not_run_requests_for_the_former_one():
    async def play():
        async with small_world() as world:
            assert (await world.call("/book/1")).status == 200
            world.runners[0].instance = "someone-else"
            answer = await world.call("/book/2")
            assert answer.status == 503
            assert len(world.runners[0].runs) == 1

    asyncio.run(play())
