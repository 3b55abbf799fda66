"""Numbers of many records as one block: reading them one by one takes most of a view's time."""

from __future__ import annotations

import sys
from array import array
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import attrs

_TYPE = "I"  # 32 bits

T = TypeVar("T")


def to_columns(kind: type[Any], records: Sequence[Any]) -> bytes:
    """Return the figures of all records, column by column, as whole numbers.

    Raises:
        OverflowError: A figure is below 0 or takes more than 32 bits.
    """
    columns = array(_TYPE)
    for name in _figures(kind):
        columns.extend([round(getattr(record, name)) for record in records])
    _order_bytes(columns)
    return columns.tobytes()


def from_columns(kind: Callable[..., T], names: Sequence[str], figures: bytes) -> list[T]:
    """Return the records with some names.

    Raises:
        ValueError: The figures do not belong to as many records.
    """
    columns = array(_TYPE)
    columns.frombytes(figures)
    _order_bytes(columns)
    count = len(names)
    if len(columns) != count * len(_figures(kind)):
        raise ValueError(f"expected figures of {count} records, found {len(columns)} numbers")
    rows = zip(
        *(columns[at : at + count] for at in range(0, len(columns), count or 1)), strict=True
    )
    return [kind(name, *row) for name, row in zip(names, rows, strict=True)]


def _figures(kind: Any) -> list[str]:
    """Return the fields of a kind behind its name."""
    return [one.name for one in attrs.fields(kind)][1:]


def _order_bytes(columns: array[int]) -> None:
    if sys.byteorder == "big":
        columns.byteswap()
