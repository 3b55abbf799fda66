"""Speeds of the engines of a replay, which differ and change while other work shares a machine."""

from __future__ import annotations

import random
from bisect import bisect_right

from attrs import frozen


@frozen
class SpeedPattern:
    """How long work takes on the machines of a replay, as multiples of the usual time.

    Args:
        lasting: Factors that last for the whole day; engines get them in turn.
        spell_factor: Further factor while other work occupies the machine.
        spell_fraction: Fraction of the time for which that is the case.
        spell_ms: Length of each such spell.
    """

    lasting: tuple[float, ...]
    spell_factor: float = 1.0
    spell_fraction: float = 0.0
    spell_ms: float = 600.0


class MachineSpeed:
    """How long work takes on one machine over time.

    Args:
        index: Number of the machine, which selects its lasting factor.
        seed: Seed of the spells, with the index.
        end_ms: Time after which there are no more spells.
    """

    def __init__(self, pattern: SpeedPattern, index: int, seed: int, end_ms: float) -> None:
        self._lasting = pattern.lasting[index % len(pattern.lasting)]
        self._pattern = pattern
        self._begin_ms: list[float] = []
        source = random.Random(f"{seed}/{index}")
        fraction = pattern.spell_fraction
        if fraction <= 0:
            return
        mean_pause_ms = pattern.spell_ms * (1 - fraction) / fraction
        begin_ms = source.expovariate(1 / mean_pause_ms)
        while begin_ms < end_ms:
            self._begin_ms.append(begin_ms)
            begin_ms += pattern.spell_ms + source.expovariate(1 / mean_pause_ms)

    def time_factor(self, now_ms: float) -> float:
        """Return how long work takes now, as a multiple of the usual time."""
        index = bisect_right(self._begin_ms, now_ms) - 1
        if index >= 0 and now_ms < self._begin_ms[index] + self._pattern.spell_ms:
            return self._lasting * self._pattern.spell_factor
        return self._lasting
