"""Encodes the numbers of many records as one block of columns.

Decoding them as single Cap'n Proto fields took most of the time for a load view.
"""

from __future__ import annotations

import sys
from array import array
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

import attrs

_TYPE_CODE = "I"  # The columns are arrays of unsigned integers of 32 bits.

T = TypeVar("T")


def to_columns(record_type: type[Any], records: Sequence[Any]) -> bytes:
    """Encode all fields but the first of each record, column by column, as unsigned integers.

    Raises:
        OverflowError: A value is negative or does not fit into 32 bits.
    """
    columns = array(_TYPE_CODE)
    for name in _column_names(record_type):
        columns.extend([round(getattr(record, name)) for record in records])
    _order_bytes(columns)
    return columns.tobytes()


def from_columns(record_type: Callable[..., T], names: Sequence[str], figures: bytes) -> list[T]:
    """Decode one record for each name; the name becomes the first field.

    Raises:
        ValueError: The number of values does not match the number of records.
    """
    columns = array(_TYPE_CODE)
    columns.frombytes(figures)
    _order_bytes(columns)
    count = len(names)
    if len(columns) != count * len(_column_names(record_type)):
        raise ValueError(f"expected values of {count} records, found {len(columns)} values")
    rows = zip(
        *(columns[start : start + count] for start in range(0, len(columns), count or 1)),
        strict=True,
    )
    return [record_type(name, *row) for name, row in zip(names, rows, strict=True)]


def _column_names(record_type: Any) -> list[str]:
    """Return the names of all fields but the first, which is the name of the record."""
    return [attribute.name for attribute in attrs.fields(record_type)][1:]


def _order_bytes(columns: array[int]) -> None:
    if sys.byteorder == "big":
        columns.byteswap()
