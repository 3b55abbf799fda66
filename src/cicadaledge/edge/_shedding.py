"""Decides when a router sends callers to other routers, by how late its event loop is.

Answers the load of an account whose callers all come to one router: the balancer picks the router
by a hash of the caller, so the others stay idle, and more routers do not help.
"""

from __future__ import annotations

from collections import deque
from statistics import median

from attrs import field, frozen
from attrs.validators import ge, gt, le

from cicadaledge.placing import RouterTotals

_SAMPLES = 7  # a single long turn, a collection of garbage for one, changes the median little


@frozen
class SheddingSettings:
    """Thresholds of shedding.

    Args:
        late_ms: Lateness of the loop from which callers are sent away: a stream's event and a
            request's first server each wait that long, of objectives of some hundred.
        calm_ms: Lateness at which no more of them are.
        times_others: How many times as late as the other routers' mean it must be: where all
            are late, callers that move gain nothing.
        notice_ms: Time after which the balancer sends no new callers: two probes a second apart.
            Callers that are sent away before would come back.
        least_ms: Shortest time without new callers; the balancer returns them a probe later.
            A router that has taken them again does so for as long as it had kept them away.
        close_part: Part of the answers that end their connection; the callers that stay are a
            load that the router bears, and the next router gets a part of the account only.
        fleet_part: Part of the fleet's routers that may shed at once. As each rests as long as it
            sheds, half of it over time: below the eighth in which routers may be not ready.
    """

    late_ms: float = field(default=25.0, validator=gt(0))
    calm_ms: float = field(default=10.0, validator=gt(0))
    times_others: float = field(default=2.0, validator=gt(1))
    notice_ms: float = field(default=2_200.0, validator=gt(0))
    least_ms: float = field(default=3_500.0, validator=gt(0))
    close_part: float = field(default=0.3, validator=[ge(0), le(1)])
    fleet_part: float = field(default=0.2, validator=[ge(0), le(0.5)])


class LoadShedder:
    """Whether a router takes new callers, and which of its callers it keeps.

    Args:
        settings: Thresholds.
    """

    def __init__(self, settings: SheddingSettings) -> None:
        self._settings = settings
        self._late_ms: deque[float] = deque(maxlen=_SAMPLES)
        self._since_ms: float | None = None
        self._paused_until_ms = 0.0

    @property
    def is_active(self) -> bool:
        """Whether new callers are kept away."""
        return self._since_ms is not None

    @property
    def late_ms(self) -> float:
        """How late the loop usually is at present."""
        return median(self._late_ms) if self._late_ms else 0.0

    def record_lateness(self, late_ms: float, others: RouterTotals, now_ms: float) -> bool:
        """Take a sample of the loop's lateness; return whether `is_active` has changed.

        Args:
            others: State of the other routers.
        """
        self._late_ms.append(max(0.0, late_ms))
        if self._since_ms is None:
            if now_ms < self._paused_until_ms or not self._is_crowded(others):
                return False
            self._since_ms = now_ms
            return True
        if now_ms - self._since_ms < self._settings.least_ms or not self._is_calm(others):
            return False
        self._paused_until_ms = now_ms + (now_ms - self._since_ms)
        self._since_ms = None
        return True

    def should_close(self, drawn: float, now_ms: float) -> bool:
        """Return whether an answer should end its connection.

        Args:
            drawn: Evenly distributed between 0 and 1.
        """
        if self._since_ms is None or now_ms - self._since_ms < self._settings.notice_ms:
            return False
        return self.late_ms > self._settings.calm_ms and drawn < self._settings.close_part

    def _is_crowded(self, others: RouterTotals) -> bool:
        if len(self._late_ms) < _SAMPLES:
            return False
        settings = self._settings
        if (others.shedding + 1) > max(1.0, (others.routers + 1) * settings.fleet_part):
            return False
        if not others.routers:
            return False
        return self.late_ms >= max(settings.late_ms, others.mean_late_ms * settings.times_others)

    def _is_calm(self, others: RouterTotals) -> bool:
        return self.late_ms <= max(self._settings.calm_ms, others.mean_late_ms)
