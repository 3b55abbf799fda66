"""The addresses on which a router accepts HTTP connections, and the tasks that serve them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cicadaledge.edge._caller_connection import CallerConnection
from cicadaledge.edge._caller_connections import CallerConnections
from cicadaledge.edge._channel import Channel
from cicadaledge.edge._connection_gate import ConnectionGate, ProbeGate
from cicadaledge.edge._metrics import EdgeMetrics
from cicadaledge.edge._probe_service import ProbeService
from cicadaledge.edge._request_handler import RequestHandler
from cicadaledge.edge._settings import EdgeSettings
from cicadaledge.ingress import Intake
from cicadaledge.logs import PartLog
from cicadaledge.settings import Address
from cicadaledge.wire import Listener

# At most this many new connections wait to be set up, which takes half a second for all of them.
# Callers time out after one second in the queue.
_BACKLOG = 128
_log = PartLog("router")


class HttpPorts:
    """Listens for callers and probes, and serves each accepted connection in a task.

    Args:
        settings: Settings of this router.
        intake: Memory for requests that arrive in parts.
        metrics: Counts the connections of probes that are refused or give way.

    Attributes:
        tasks: Tasks that serve the connections.
    """

    def __init__(self, settings: EdgeSettings, intake: Intake, metrics: EdgeMetrics) -> None:
        self._settings = settings
        self._intake = intake
        self._metrics = metrics
        self._probe_gates: list[ProbeGate] = []
        self.tasks: set[asyncio.Task[None]] = set()

    def listen_for_callers(
        self, service: RequestHandler, callers: CallerConnections, gate: ConnectionGate
    ) -> Listener:
        """Accept callers while the gate has room for them; they may read and send slowly."""

        def start(channel: Channel) -> None:
            connection = CallerConnection(channel, service, self._intake, service.check_head)
            self._start_connection(channel, connection, callers)
            channel.allow_slow_peer()

        return _listen(self._settings.callers, start, gate)

    def listen_for_probes(self, address: Address, service: ProbeService) -> Listener:
        """Accept connections at an address for probes or for readers of the metrics."""
        probes = CallerConnections(self._settings, self._settings.ingress.probe_connections)
        gate = ProbeGate(probes, address, self._metrics)
        self._probe_gates.append(gate)

        def start(channel: Channel) -> None:
            connection = CallerConnection(channel, service, self._intake, service.check_head)
            self._start_connection(channel, connection, probes)

        return _listen(address, start, gate)

    def report_probes(self) -> None:
        """Log how many connections of probes were refused or gave way since the last report."""
        for gate in self._probe_gates:
            gate.report()

    def _start_connection(
        self, channel: Channel, connection: CallerConnection, connections: CallerConnections
    ) -> None:
        task = asyncio.get_running_loop().create_task(connection.run())
        self.tasks.add(task)
        connections.add(connection)

        def done(ended: asyncio.Task[None]) -> None:
            self.tasks.discard(ended)
            if not ended.cancelled() and ended.exception() is not None:
                _log.warning(
                    "Handler of an accepted connection has failed; the connection is aborted.",
                    error=repr(ended.exception()),
                )
                channel.abort()
            channel.call_when_lost(lambda: connections.discard(connection))

        task.add_done_callback(done)


def _listen(
    address: Address, start: Callable[[Channel], None], gate: ConnectionGate | ProbeGate
) -> Listener:
    def accept() -> Channel:
        return Channel(lambda channel: start(channel))

    listener = Listener(accept, backlog=_BACKLOG, admission=gate)
    listener.start(address.host, address.port)
    return listener
