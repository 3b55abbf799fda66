"""Opens connections that a grant allows, and names how a grant ended."""

from __future__ import annotations

from cicadaledge.backends import BackendConnection, BackendConnectionPool
from cicadaledge.errors import BackendError
from cicadaledge.router._context import RouterContext, monotonic_ms
from cicadaledge.router._deaths import CrashMonitor
from cicadaledge.router._desk import EntryQueue, Ticket
from cicadaledge.wire import Outcome

_SEND_MARGIN_MS = 20


class GrantExpiredError(BackendError):
    """The grant may no longer be used; nothing was sent."""


class GrantedConnections:
    """Connections to backend servers, opened under grants only."""

    def __init__(
        self, context: RouterContext, entry_queue: EntryQueue, connections: BackendConnectionPool
    ) -> None:
        self.pool = connections
        self._context = context
        self._entry_queue = entry_queue
        self.crash_monitor = CrashMonitor(context)

    def open(self, ticket: Ticket) -> BackendConnection:
        """Return a connection on which the ticket's request may be sent at once.

        Raises:
            GrantExpiredError: The grant is too old.
            BackendError: The server cannot be reached or has restarted.
        """
        grant = ticket.grant
        assert grant is not None
        server = self._context.configuration.servers.get(grant.server)
        if server is None:
            raise GrantExpiredError(f"{grant.server} is not configured", sent=False)
        connection = self.pool.acquire(server, grant.boot_id)
        if monotonic_ms() > self._entry_queue.usable_until_ms(ticket) - _SEND_MARGIN_MS:
            self.pool.release(connection)
            raise GrantExpiredError(f"grant for {grant.server} is too old", sent=False)
        return connection

    def outcome_of(self, ticket: Ticket, error: BackendError) -> Outcome:
        """Return how the grant ended that met an error."""
        if isinstance(error, GrantExpiredError):
            return Outcome.NOT_STARTED
        if not error.sent:
            return Outcome.REFUSED
        return self.crash_monitor.outcome_of_loss(ticket)
