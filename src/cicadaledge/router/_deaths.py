"""Tells a server's death from a lost connection, and spreads what is known of suspects."""

from __future__ import annotations

import time

from cicadaledge.backends import call_backend
from cicadaledge.codes import Code
from cicadaledge.errors import BackendError, RefusalError
from cicadaledge.router._context import RouterContext, monotonic_ms
from cicadaledge.router._desk import Ticket
from cicadaledge.wire import Crash, Crashes, Outcome

_PROBE_TIMEOUT_MS = 1000
_BROADCAST_PAUSE_S = 0.1


class CrashMonitor:
    """Notes which requests were running on a server that died."""

    def __init__(self, context: RouterContext) -> None:
        self._context = context

    def is_suspect(self, digest: str) -> bool:
        """Return whether a request can have caused a server's death."""
        return self._context.suspects.is_suspect(digest)

    def record_answered(self, digest: str) -> None:
        """Note that a request was answered whole: it has not caused the deaths it ran in."""
        suspects = self._context.suspects
        deaths = list(suspects.crashes_of(digest))
        if deaths and suspects.clear(digest, deaths):
            self._broadcast_from_thread([Crash(death, [digest], [digest]) for death in deaths])

    def refuse_poison(self, digest: str) -> None:
        """Refuse a request that is held to have caused deaths.

        Raises:
            RefusalError: Code 3004.
        """
        if not self._context.suspects.is_blamed(digest):
            return
        wait_ms = int(self._context.suspects.expires_in_ms(digest, monotonic_ms()))
        # Peers learn of the deaths before the caller can send the request to them.
        time.sleep(_BROADCAST_PAUSE_S)
        raise RefusalError(Code.POISON_REQUEST, retry_after_ms=wait_ms)

    def outcome_of_loss(self, ticket: Ticket) -> Outcome:
        """Return whether the server of a lost request has died or only its connection.

        A death makes the request a suspect here and, at once, at every peer.
        """
        grant = ticket.grant
        assert grant is not None
        if self._is_alive(grant.server, grant.boot_id):
            return Outcome.LOST
        digest = ticket.body_digest
        death = f"{grant.server}/{grant.boot_id}"
        self._context.suspects.record_crash(death, [digest], monotonic_ms())
        self._broadcast_from_thread([Crash(death, [digest], [])])
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
