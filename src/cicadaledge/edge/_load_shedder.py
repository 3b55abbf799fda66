"""Decides, by the lateness of its event loop, when a router moves callers to other routers.

The load balancer picks the router by a hash of the caller. The callers of one account can therefore
all reach one router while the others stay idle, and more routers would not help.
"""

from __future__ import annotations

from collections import deque
from statistics import median

from attrs import field, frozen
from attrs.validators import ge, gt, le

from cicadaledge.placing import RouterTotals

# The loop's lateness is the median of this many samples. One long iteration, such as a garbage
# collection, hardly changes it.
_SAMPLES = 7


@frozen
class SheddingSettings:
    """Thresholds of load shedding.

    Args:
        late_ms: Lateness of the event loop at which shedding starts. It delays each event of a
            stream and the start of each request; at several times this value, a pause between
            events becomes visible to callers.
        calm_ms: Lateness at which shedding ends.
        times_others: Shedding starts only if the lateness is at least this multiple of the mean of
            the other routers. Where all routers are late, moving callers gains nothing.
        notice_ms: Time until the load balancer stops sending new callers, after two probes a
            second apart. Callers moved before that would come back.
        least_ms: Minimum duration of shedding; the balancer sends new callers again one probe
            after its end. Afterwards, shedding does not start again for as long as it lasted.
        close_part: Ratio of responses after which the connection is closed. The remaining callers
            are a load that the router can carry, and the next router gets only part of the account.
        fleet_part: Ratio of the fleet's routers that may shed at once. The others get their new
            callers: with a fifth away, a quarter more each.
    """

    late_ms: float = field(default=25.0, validator=gt(0))
    calm_ms: float = field(default=10.0, validator=gt(0))
    times_others: float = field(default=2.0, validator=gt(1))
    notice_ms: float = field(default=2_200.0, validator=gt(0))
    least_ms: float = field(default=3_500.0, validator=gt(0))
    close_part: float = field(default=0.3, validator=[ge(0), le(1)])
    fleet_part: float = field(default=0.2, validator=[ge(0), le(0.5)])


class LoadShedder:
    """Decides when load is shed: the router is then not ready, and disconnects some of its callers.

    Args:
        settings: Thresholds.
    """

    def __init__(self, settings: SheddingSettings) -> None:
        self._settings = settings
        self._samples_ms: deque[float] = deque(maxlen=_SAMPLES)
        self._started_ms: float | None = None
        self._paused_until_ms = 0.0

    @property
    def is_active(self) -> bool:
        """Whether the router reports that it is not ready, to get no new callers."""
        return self._started_ms is not None

    @property
    def late_ms(self) -> float:
        """Median lateness of the event loop over the latest samples."""
        return median(self._samples_ms) if self._samples_ms else 0.0

    def record_lateness(self, late_ms: float, others: RouterTotals, now_ms: float) -> bool:
        """Add a sample of the loop's lateness; return whether `is_active` has changed.

        Args:
            others: State of the other routers.
        """
        self._samples_ms.append(max(0.0, late_ms))
        if self._started_ms is None:
            if now_ms < self._paused_until_ms or not self._should_start(others):
                return False
            self._started_ms = now_ms
            return True
        if now_ms - self._started_ms < self._settings.least_ms or not self._should_end(others):
            return False
        self._paused_until_ms = now_ms + (now_ms - self._started_ms)
        self._started_ms = None
        return True

    def should_close(self, drawn: float, now_ms: float) -> bool:
        """Return whether to close a connection after its response.

        Args:
            drawn: Random number between 0 and 1.
        """
        if self._started_ms is None or now_ms - self._started_ms < self._settings.notice_ms:
            return False
        return self.late_ms > self._settings.calm_ms and drawn < self._settings.close_part

    def _should_start(self, others: RouterTotals) -> bool:
        if len(self._samples_ms) < _SAMPLES:
            return False
        settings = self._settings
        if (others.shedding + 1) > max(1.0, (others.routers + 1) * settings.fleet_part):
            return False
        if not others.routers:
            return False
        return self.late_ms >= max(settings.late_ms, others.mean_late_ms * settings.times_others)

    def _should_end(self, others: RouterTotals) -> bool:
        return self.late_ms <= max(self._settings.calm_ms, others.mean_late_ms)
