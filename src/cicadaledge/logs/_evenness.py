"""How evenly the accounts of a fleet were served, from the logs of its routers."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable

from attrs import define, field, frozen

_SPAN_S = 6  # calm seconds in which an account must not get less than half of the others
_PART = 0.5
_SPARED_REQUESTS = 3  # the largest ones, which may find no room by chance
_PLACED = "Placed."
_NOT_PLACED = "No server was chosen."


@define
class _Second:
    """What accounts asked and got within a second, in tokens."""

    asked: dict[str, int] = field(factory=lambda: defaultdict(int))
    got: dict[str, int] = field(factory=lambda: defaultdict(int))
    sizes: dict[str, list[int]] = field(factory=lambda: defaultdict(list))
    refused: set[str] = field(factory=set)
    levels: list[int] = field(factory=list)

    @property
    def best(self) -> int:
        """What the best served account got."""
        return max(self.got.values(), default=0)


@frozen
class UnevenSpan:
    """Seconds in which an account was refused requests all through.

    Args:
        from_s: First second, since the first line on placing.
        margin: What it got and its largest requests over half of what it could expect, second by
            second the less of what it asked and what the best served account got; below 1 it was
            held back for others.
        least_level: Least max-min share that a router went by, in tokens a second.
        most_level: The largest one; 0 where no router knew of a limit.
    """

    account: str
    from_s: int
    margin: float
    asked_tokens: int
    got_tokens: int
    min_share_per_s: int
    max_share_per_s: int

    def text(self) -> str:
        """Return the span as a line of a table."""
        levels = (
            f"{self.min_share_per_s} to {self.max_share_per_s}" if self.max_share_per_s else "none"
        )
        return (
            f"{self.margin:6.2f} {self.from_s:5d} s  {self.account:20} asked {self.asked_tokens:>10}"
            f" got {self.got_tokens:>10}  levels {levels}"
        )


def uneven_spans(lines: Iterable[str]) -> list[UnevenSpan]:
    """Return each account's span of least margin, the least first."""
    seconds = _seconds(lines)
    least: dict[str, UnevenSpan] = {}
    for from_s in range(len(seconds) - _SPAN_S + 1):
        span = seconds[from_s : from_s + _SPAN_S]
        for account in set.intersection(*(one.refused for one in span)):
            found = _weigh(account, from_s, span)
            if account not in least or found.margin < least[account].margin:
                least[account] = found
    return sorted(least.values(), key=lambda one: one.margin)


def _seconds(lines: Iterable[str]) -> list[_Second]:
    found: dict[int, _Second] = defaultdict(_Second)
    for line in lines:
        start = line.find("{")
        if start < 0 or '"share_per_s"' not in line:
            continue
        try:
            plain = json.loads(line[start:])
            second = found[int(float(plain["timestamp"]))]
            _count(second, plain)
        except (ValueError, KeyError, TypeError):
            continue  # of another program, or cut off
    if not found:
        return []
    return [found[at_s] for at_s in range(min(found), max(found) + 1)]


def _count(second: _Second, plain: dict[str, object]) -> None:
    account, tokens = plain["account"], plain["cost_tokens"]
    if not isinstance(account, str) or not isinstance(tokens, int) or not tokens:
        return
    message = str(plain["message"])
    if message.endswith(_PLACED) and plain.get("attempt", 1) == 1:
        second.got[account] += tokens
    elif message.endswith(_NOT_PLACED):
        second.refused.add(account)
    else:
        return
    second.asked[account] += tokens
    second.sizes[account].append(tokens)
    if isinstance(level := plain["share_per_s"], int):
        second.levels.append(level)


def _weigh(account: str, from_s: int, span: list[_Second]) -> UnevenSpan:
    expected = sum(min(one.asked[account], one.best) for one in span)
    got = sum(one.got[account] for one in span)
    sizes = sorted(size for one in span for size in one.sizes[account])
    spared = sum(sizes[-_SPARED_REQUESTS:])
    levels = [level for one in span for level in one.levels]
    return UnevenSpan(
        account=account,
        from_s=from_s,
        margin=(got + spared) / (expected * _PART) if expected else 1.0,
        asked_tokens=sum(one.asked[account] for one in span),
        got_tokens=got,
        min_share_per_s=min(levels, default=0),
        max_share_per_s=max(levels, default=0),
    )
