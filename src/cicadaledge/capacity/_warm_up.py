"""Number of slots that a backend server may be given while it warms up."""

from __future__ import annotations

from cicadaledge.settings import TargetSettings
from cicadaledge.world import BackendServer


class WarmUp:
    """Slow start of one backend server.

    A server has no open slots until its boot id is known, and then its cold slots. Each
    time enough requests have completed within the target, the number of open slots
    doubles, up to the warm slots. Any sign of a cold start resets it at once.

    Args:
        server: Provides the numbers of cold and warm slots.
        targets: Provides the least number of completions that doubles the open slots.
    """

    def __init__(self, server: BackendServer, targets: TargetSettings) -> None:
        self._server = server
        self._targets = targets
        self._open_slots = server.cold_slots
        self._completions = 0
        self.boot_id = ""

    @property
    def open_slots(self) -> int:
        """Number of slots that may be leased now; 0 while the boot id is unknown."""
        return self._open_slots if self.boot_id else 0

    def update_server(self, server: BackendServer) -> None:
        """Apply a changed configuration of the server."""
        self._server = server
        self._open_slots = min(self._open_slots, server.warm_slots)

    def on_boot_id(self, boot_id: str) -> bool:
        """Apply the boot id of a load report; reset the slots and return True if it is new."""
        if boot_id == self.boot_id:
            return False
        self.boot_id = boot_id
        self._reset()
        return True

    def on_cold_start(self, boot_id: str) -> bool:
        """Reset the open slots; return whether the boot id is the current one.

        Args:
            boot_id: Boot that showed a cold start; empty for the current one.
        """
        if boot_id and boot_id != self.boot_id:
            return False
        self._reset()
        return True

    def add_completions(self, count: int) -> None:
        """Count requests completed within the target, and open slots accordingly."""
        self._completions += count
        while (
            self._completions >= self._completions_needed()
            and self._open_slots < self._server.warm_slots
        ):
            self._completions -= self._completions_needed()
            self._open_slots = min(self._server.warm_slots, self._open_slots * 2)

    def restore(self, boot_id: str, open_slots: int) -> None:
        """Restore the state handed over by the former home router."""
        self.boot_id = boot_id
        self._open_slots = max(self._server.cold_slots, min(open_slots, self._server.warm_slots))

    def _completions_needed(self) -> int:
        return max(self._targets.warm_completions, self._open_slots)

    def _reset(self) -> None:
        self._open_slots = self._server.cold_slots
        self._completions = 0
