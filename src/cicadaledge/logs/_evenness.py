"""Finds accounts that were served unevenly, from the logs of a fleet's routers."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable

from attrs import define, field, frozen

# Number of seconds over which accounts are compared. In as many seconds without faults, no account
# may get less than half of what the others get.
_SPAN_S = 6
_EXPECTED_FRACTION = 0.5
# This many of an account's requests within a span, the largest ones, count as served, because they
# may find no free capacity by chance.
_ALLOWED_REQUESTS = 3
_PLACED = "Placed."
_NOT_PLACED = "No server was chosen."


@define
class _Second:
    """Demand and admitted tokens of all accounts within one second.

    Args:
        asked: Tokens of all requests, by account.
        got: Tokens of admitted requests, by account.
        sizes: Tokens of each request, by account.
        refused: Accounts with refused requests.
        levels: Max-min shares logged by the routers, in tokens per second.
    """

    asked: dict[str, int] = field(factory=lambda: defaultdict(int))
    got: dict[str, int] = field(factory=lambda: defaultdict(int))
    sizes: dict[str, list[int]] = field(factory=lambda: defaultdict(list))
    refused: set[str] = field(factory=set)
    levels: list[int] = field(factory=list)

    @property
    def best(self) -> int:
        """Largest number of tokens that an account got."""
        return max(self.got.values(), default=0)


@frozen
class UnevenSpan:
    """Consecutive seconds in each of which requests of an account were refused.

    Args:
        from_s: First second, counted from the first log line about placing.
        margin: Tokens that the account got, plus its largest requests, divided by half of the
            tokens that it could expect. For each second it could expect what it asked for, but no
            more than the best served account got. Below 1 it was held back in favour of others.
        asked_tokens: Tokens of all its requests.
        got_tokens: Tokens of its admitted requests.
        min_share_per_s: Smallest max-min share that a router logged, in tokens per second.
        max_share_per_s: Largest one; 0 if no router knew a limit.
    """

    account: str
    from_s: int
    margin: float
    asked_tokens: int
    got_tokens: int
    min_share_per_s: int
    max_share_per_s: int

    def text(self) -> str:
        """Format the span as a line of a table."""
        levels = (
            f"{self.min_share_per_s} to {self.max_share_per_s}" if self.max_share_per_s else "none"
        )
        return (
            f"{self.margin:6.2f} {self.from_s:5d} s  {self.account:20} asked {self.asked_tokens:>10}"
            f" got {self.got_tokens:>10}  levels {levels}"
        )


def uneven_spans(lines: Iterable[str]) -> list[UnevenSpan]:
    """Return for each account the span with the smallest margin, smallest margin first."""
    seconds = _seconds(lines)
    smallest: dict[str, UnevenSpan] = {}
    for from_s in range(len(seconds) - _SPAN_S + 1):
        span = seconds[from_s : from_s + _SPAN_S]
        for account in set.intersection(*(second.refused for second in span)):
            uneven = _measure(account, from_s, span)
            if account not in smallest or uneven.margin < smallest[account].margin:
                smallest[account] = uneven
    return sorted(smallest.values(), key=lambda span: span.margin)


def _seconds(lines: Iterable[str]) -> list[_Second]:
    seconds: dict[int, _Second] = defaultdict(_Second)
    for line in lines:
        start = line.find("{")
        if start < 0 or '"share_per_s"' not in line:
            continue
        try:
            fields = json.loads(line[start:])
            second = seconds[int(float(fields["timestamp"]))]
            _count(second, fields)
        except (ValueError, KeyError, TypeError):
            continue  # The line comes from another program or is truncated.
    if not seconds:
        return []
    return [seconds[at_s] for at_s in range(min(seconds), max(seconds) + 1)]


def _count(second: _Second, fields: dict[str, object]) -> None:
    account, tokens = fields["account"], fields["cost_tokens"]
    if not isinstance(account, str) or not isinstance(tokens, int) or not tokens:
        return
    message = str(fields["message"])
    if message.endswith(_PLACED) and fields.get("attempt", 1) == 1:
        second.got[account] += tokens
    elif message.endswith(_NOT_PLACED):
        second.refused.add(account)
    else:
        return
    second.asked[account] += tokens
    second.sizes[account].append(tokens)
    if isinstance(level := fields["share_per_s"], int):
        second.levels.append(level)


def _measure(account: str, from_s: int, span: list[_Second]) -> UnevenSpan:
    expected = sum(min(second.asked[account], second.best) for second in span)
    got = sum(second.got[account] for second in span)
    sizes = sorted(size for second in span for size in second.sizes[account])
    allowance = sum(sizes[-_ALLOWED_REQUESTS:])
    levels = [level for second in span for level in second.levels]
    return UnevenSpan(
        account=account,
        from_s=from_s,
        margin=(got + allowance) / (expected * _EXPECTED_FRACTION) if expected else 1.0,
        asked_tokens=sum(second.asked[account] for second in span),
        got_tokens=got,
        min_share_per_s=min(levels, default=0),
        max_share_per_s=max(levels, default=0),
    )
