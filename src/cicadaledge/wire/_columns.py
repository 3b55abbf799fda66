"""Numbers of many records as one block: reading them one by one takes most of a view's time."""

from __future__ import annotations

import sys
from array import array

import attrs

from cicadaledge.wire._messages import ServerUse

_TYPE = "I"
_FIGURES = [one.name for one in attrs.fields(ServerUse)][1:]


def to_columns(uses: list[ServerUse]) -> bytes:
    """Return the figures of all records, column by column.

    Raises:
        OverflowError: A figure is below 0 or takes more than 32 bits.
    """
    columns = array(_TYPE)
    for name in _FIGURES:
        columns.extend([getattr(use, name) for use in uses])
    _order_bytes(columns)
    return columns.tobytes()


def from_columns(servers: list[str], figures: bytes) -> list[ServerUse]:
    """Return the records of some servers.

    Raises:
        ValueError: The figures do not belong to as many servers.
    """
    columns = array(_TYPE)
    columns.frombytes(figures)
    _order_bytes(columns)
    count = len(servers)
    if len(columns) != count * len(_FIGURES):
        raise ValueError(f"expected figures of {count} servers, found {len(columns)} numbers")
    rows = zip(
        *(columns[at : at + count] for at in range(0, len(columns), count or 1)), strict=True
    )
    return [ServerUse(server, *row) for server, row in zip(servers, rows, strict=True)]


def _order_bytes(columns: array[int]) -> None:
    if sys.byteorder == "big":
        columns.byteswap()
