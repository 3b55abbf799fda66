"""How many slots of a backend server are open."""

from __future__ import annotations

from cicadaledge.settings import TargetSettings
from cicadaledge.world import BackendServer


class WarmUp:
    """Opens the slots of one server stepwise as it shows warmth.

    A server is cold until its load report is known and enough requests have completed
    within the target; then the open slots double with each round of completions. Any
    sign of a cold start closes them again at once.

    Args:
        server: Gives `cold_slots` and `warm_slots`.
        targets: Gives the first-token target in milliseconds.
    """

    def __init__(self, server: BackendServer, targets: TargetSettings) -> None:
        self._server = server
        self._targets = targets
        self._open_slots = server.cold_slots
        self._completions = 0
        self.boot_id = ""

    @property
    def open_slots(self) -> int:
        """Slots that the server may be given now; 0 while its boot is unknown."""
        return self._open_slots if self.boot_id else 0

    def update_server(self, server: BackendServer) -> None:
        """Take over changed slot numbers."""
        self._server = server
        self._open_slots = min(self._open_slots, server.warm_slots)

    def on_boot_id(self, boot_id: str) -> bool:
        """Note the boot id of a load report; return whether it is new."""
        if boot_id == self.boot_id:
            return False
        self.boot_id = boot_id
        self._reset()
        return True

    def on_cold_start(self, boot_id: str) -> bool:
        """Close the slots on a sign from the current boot; return whether it counted.

        Args:
            boot_id: Boot that the sign is about; empty means the current one.
        """
        if boot_id and boot_id != self.boot_id:
            return False
        self._reset()
        return True

    def add_completions(self, count: int) -> None:
        """Count completions within the target and open slots."""
        self._completions += count
        while (
            self._completions >= self._completions_needed()
            and self._open_slots < self._server.warm_slots
        ):
            self._completions -= self._completions_needed()
            self._open_slots = min(self._server.warm_slots, self._open_slots * 2)

    def restore(self, boot_id: str, open_slots: int) -> None:
        """Take over the state that a former home router reported."""
        self.boot_id = boot_id
        self._open_slots = max(self._server.cold_slots, min(open_slots, self._server.warm_slots))

    def _completions_needed(self) -> int:
        return max(self._targets.warm_completions, self._open_slots)

    def _reset(self) -> None:
        self._open_slots = self._server.cold_slots
        self._completions = 0
