"""New callers for whom a router has no room get a correct refusal or no response."""

import json
import socket

import pytest
from edge_world import SETTINGS

from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._connection_gate import ConnectionGate
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.platform import PlatformHeaderCodec

REQUEST = b"POST /book/1 HTTP/1.1\r\nHost: site.example\r\nContent-Length: 2\r\n\r\n{}"


@pytest.fixture
def gate():
    return ConnectionGate(CallerConnections(SETTINGS), PlatformHeaderCodec(), EdgeMetrics())


@pytest.fixture
def ends():
    caller, router = socket.socketpair()
    router.setblocking(False)
    caller.settimeout(2.0)
    yield caller, router
    caller.close()


def received(caller):
    data = b""
    while chunk := caller.recv(65_536):
        data += chunk
    return data


def test_a_caller_that_sent_a_request_learns_that_it_was_not_run(gate, ends):
    caller, router = ends
    caller.sendall(REQUEST)
    gate.reject(router)
    head, _, body = received(caller).partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"HTTP/1.1 503 Service Unavailable"
    assert b"Retry-After: 0.050" in lines
    assert b"Connection: close" in lines
    assert b"Content-Length: %d" % len(body) in lines
    error = json.loads(body)["error"]
    assert (error["code"], error["run_state"]) == (2008, "not_run")
    assert router.fileno() < 0


@pytest.mark.parametrize("sent", [b"", b"POST /book/1 HTTP/1.1\r\nHost: site"])
def test_a_caller_without_a_complete_head_gets_no_response(gate, ends, sent):
    caller, router = ends
    caller.sendall(sent)
    gate.reject(router)
    assert received(caller) == b""


def test_a_disconnected_caller_is_no_error(gate, ends):
    caller, router = ends
    caller.sendall(REQUEST)
    caller.close()
    gate.reject(router)
    assert router.fileno() < 0
