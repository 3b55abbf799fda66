"""Opens backend connections under grants and classifies how grants ended."""

from __future__ import annotations

from cicadaledge.backends import BackendConnection, BackendConnectionPool
from cicadaledge.errors import BackendError
from cicadaledge.router._context import RouterContext, monotonic_ms
from cicadaledge.router._crash_monitor import CrashMonitor
from cicadaledge.router._entry_queue import EntryQueue, Ticket
from cicadaledge.wire import Outcome

# A connection must be ready this long before its grant expires; otherwise the grant counts as
# expired and nothing is sent.
_SEND_MARGIN_MS = 20


class GrantExpiredError(BackendError):
    """The grant is no longer valid; nothing was sent."""


class GrantedConnections:
    """Connections to backend servers; each is opened under a valid grant."""

    def __init__(
        self, context: RouterContext, entry_queue: EntryQueue, connections: BackendConnectionPool
    ) -> None:
        self.pool = connections
        self._context = context
        self._entry_queue = entry_queue
        self.crash_monitor = CrashMonitor(context)

    def open(self, ticket: Ticket) -> BackendConnection:
        """Return a connection on which the ticket's request may be sent immediately.

        Raises:
            GrantExpiredError: The grant has expired or its server is no longer configured.
            BackendError: The server cannot be reached or has restarted.
        """
        grant = ticket.grant
        assert grant is not None
        server = self._context.configuration.servers.get(grant.server)
        if server is None:
            raise GrantExpiredError(f"backend server {grant.server} is not configured", sent=False)
        connection = self.pool.acquire(server, grant.boot_id)
        if monotonic_ms() > self._entry_queue.usable_until_ms(ticket) - _SEND_MARGIN_MS:
            self.pool.release(connection)
            raise GrantExpiredError(
                f"grant for backend server {grant.server} has expired", sent=False
            )
        return connection

    def outcome_of(self, ticket: Ticket, error: BackendError) -> Outcome:
        """Return the outcome of a grant whose use failed with an error."""
        if isinstance(error, GrantExpiredError):
            return Outcome.NOT_STARTED
        if not error.sent:
            return Outcome.REFUSED
        return self.crash_monitor.outcome_of_loss(ticket)
