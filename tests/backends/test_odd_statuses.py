"""Heads with a status that no answer has, at the interface with its own protocol."""

import pytest

from cicadaledge.backends import AnswerLimits, BackendConnection
from cicadaledge.errors import BackendError
from cicadaledge.standins import RawServer

LIMITS = AnswerLimits(1_048_576, total_ms=2_000, idle_ms=2_000)


# Guards against a head of a server in trouble that is passed on as an answer.
@pytest.mark.parametrize("status", ["000", "099", "101", "102", "199", "600", "999"])
def test_a_status_that_no_answer_has_fails_the_request(status):
    raw = f"HTTP/1.1 {status} Odd\r\nContent-Length: 5\r\n\r\nwhole".encode()
    with RawServer(raw) as server:
        connection = BackendConnection(server.address)
        connection._http.connect()
        with pytest.raises(BackendError) as error:
            connection.request("POST", "/x", b"{}", {}, LIMITS)
        assert error.value.sent


def test_statuses_of_final_answers_are_accepted():
    for status in (200, 404, 500, 599):
        raw = f"HTTP/1.1 {status} Usual\r\nContent-Length: 5\r\n\r\nwhole".encode()
        with RawServer(raw) as server:
            connection = BackendConnection(server.address)
            connection._http.connect()
            answer = connection.request("POST", "/x", b"{}", {}, LIMITS)
            assert (answer.status, answer.read()) == (status, b"whole")
