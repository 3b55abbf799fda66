"""Tells crashes of servers from lost connections, and reports suspected requests to all peers."""

from __future__ import annotations

import time

from cicadaledge.backends import call_backend
from cicadaledge.codes import Code
from cicadaledge.errors import BackendError, RefusalError
from cicadaledge.router._context import RouterContext, monotonic_ms
from cicadaledge.router._entry_queue import Ticket
from cicadaledge.wire import Crash, Crashes, Outcome

_PROBE_TIMEOUT_MS = 1000
# The refusal of a poison request waits this long for its crash evidence to reach the peers.
_BROADCAST_PAUSE_S = 0.1


class CrashMonitor:
    """Records which requests were running on a server when it crashed."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request may have crashed a server."""
        return self._context.suspects.is_suspect(digest)

    def record_answered(self, digest: str) -> None:
        """Record a complete answer, which clears the request of the crashes it was involved in."""
        suspects = self._context.suspects
        crashes = list(suspects.crashes_of(digest))
        if crashes and suspects.clear(digest, crashes):
            self._broadcast_from_thread([Crash(crash, [digest], [digest]) for crash in crashes])

    def refuse_poison(self, digest: str) -> None:
        """Refuse a request that is blamed for server crashes.

        Raises:
            RefusalError: Code 3004.
        """
        if not self._context.suspects.is_blamed(digest):
            return
        wait_ms = int(self._context.suspects.expires_in_ms(digest, monotonic_ms()))
        # Peers must learn of the crashes before the caller can retry the request with them.
        time.sleep(_BROADCAST_PAUSE_S)
        raise RefusalError(Code.POISON_REQUEST, retry_after_ms=wait_ms)

    def outcome_of_loss(self, ticket: Ticket) -> Outcome:
        """Return whether a request was lost with its server or only with its connection.

        A crash makes the request a suspect here and, by a broadcast, at every peer.
        """
        grant = ticket.grant
        assert grant is not None
        if self._is_alive(grant.server, grant.boot_id):
            return Outcome.LOST
        digest = ticket.body_digest
        crash = f"{grant.server}/{grant.boot_id}"
        self._context.suspects.record_crash(crash, [digest], monotonic_ms())
        self._broadcast_from_thread([Crash(crash, [digest], [])])
        return Outcome.DIED

    def _broadcast_from_thread(self, crashes: list[Crash]) -> None:
        self._context.loop.call_soon_threadsafe(self._broadcast, Crashes(crashes))

    def _is_alive(self, server_name: str, boot_id: str) -> bool:
        server = self._context.configuration.servers.get(server_name)
        if server is None:
            return False
        try:
            load = call_backend(server, "GET", "/load", _PROBE_TIMEOUT_MS)
            return not boot_id or str(load["boot_id"]) == boot_id
        except (BackendError, KeyError, TypeError):
            return False

    def _broadcast(self, message: Crashes) -> None:
        for peer in self._context.links.peers():
            self._context.send(peer, message)
