"""How long servers take to answer, learned from the latest answers of each route."""

from __future__ import annotations

from collections import OrderedDict, deque
from statistics import median, quantiles

# A route's times follow from this many of its latest answers. More would hide a change of load.
_MAX_SAMPLES = 32
# Fewer samples say nothing about the longest answers.
_MIN_SAMPLES = 4
# Times are kept for this many routes, those with the latest answers.
_MAX_ROUTES = 512
_TENTHS = 10


class AnswerTimes:
    """Durations from sending a request to the end of its answer, by route."""

    def __init__(self) -> None:
        self._samples_ms: OrderedDict[str, deque[float]] = OrderedDict()

    def record(self, route: str, took_ms: float) -> None:
        """Record the duration of a complete answer."""
        samples_ms = self._samples_ms.setdefault(route, deque(maxlen=_MAX_SAMPLES))
        samples_ms.append(took_ms)
        self._samples_ms.move_to_end(route)
        while len(self._samples_ms) > _MAX_ROUTES:
            self._samples_ms.popitem(last=False)

    def typical_ms(self, route: str) -> float:
        """Return the median duration; 0 if none is known."""
        return median(self._samples_ms.get(route) or (0.0,))

    def long_ms(self, route: str) -> float:
        """Return the duration that nine of ten answers do not exceed; 0 if too few are known."""
        samples_ms = self._samples_ms.get(route, ())
        if len(samples_ms) < _MIN_SAMPLES:
            return 0.0
        return quantiles(samples_ms, n=_TENTHS, method="inclusive")[-1]
