"""Reads fields of records that any program may have written, with bounds for each kind of value."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Iterable
from typing import Any

import orjson

_LATEST_MS = 4_102_444_800_000  # the year 2100; a later start would outrank every true one
_MOST_COUNT = 2**53 - 1  # whole numbers that every JSON reader keeps exactly
_MOST_TEXT = 1_024  # longer than any name, host or path of a deployment
_MOST_PORT = 65_535
_PORT_DIGITS = 5
_MOST_REASON = 160  # enough to recognise a value in a log line


class Fields:
    """The fields of one JSON object.

    Args:
        plain: The decoded object.
    """

    def __init__(self, plain: Any) -> None:
        if not isinstance(plain, dict):
            raise _unexpected("the record", "an object", plain)
        self._plain: dict[str, Any] = plain

    @classmethod
    def parse(cls, data: bytes) -> Fields:
        """Return the fields of a JSON document.

        Raises:
            ValueError: The data is no JSON object, is nested too deeply, or holds a number that
                is not finite or text that is no Unicode.
        """
        return cls(orjson.loads(data))

    def has(self, name: str) -> bool:
        """Return whether a field has a value."""
        return self._plain.get(name) is not None

    def text(self, name: str) -> str:
        """Return text that is not empty."""
        value = self._plain.get(name)
        if not isinstance(value, str) or not 0 < len(value) <= _MOST_TEXT:
            raise _unexpected(name, f"text of 1 to {_MOST_TEXT} characters", value)
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; empty if the field is missing."""
        values = self._plain.get(name)
        if values is None:
            return ()
        if not isinstance(values, list) or not all(isinstance(one, str) for one in values):
            raise _unexpected(name, "a list of texts", values)
        return tuple(values)

    def integer(self, name: str, maximum: int = _MOST_COUNT, minimum: int = 0) -> int:
        """Return a whole number within bounds."""
        value: Any = self._plain.get(name)
        if type(value) is not int or not minimum <= value <= maximum:
            raise _unexpected(name, f"a whole number from {minimum} to {maximum}", value)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number of at least 0; *usual* if the field is missing."""
        value: Any = self._plain.get(name)
        if value is None and default is not None:
            return default
        if type(value) not in (int, float) or not 0 <= value < math.inf:
            raise _unexpected(name, "a number of at least 0", value)
        return float(value)

    def flag(self, name: str) -> bool:
        """Return true or false; false if the field is missing."""
        value = self._plain.get(name)
        if value is not None and type(value) is not bool:
            raise _unexpected(name, "true or false", value)
        return bool(value)

    def time_ms(self, name: str) -> int:
        """Return a time in milliseconds since the epoch."""
        return self.integer(name, _LATEST_MS)

    def port(self, name: str) -> int:
        """Return a TCP port."""
        return self.integer(name, _MOST_PORT, 1)

    def host(self, name: str) -> str:
        """Return an IPv4 address."""
        return _host(name, self.text(name))

    def address(self, name: str) -> tuple[str, int]:
        """Return the IPv4 address and the port of a text like `10.1.0.33:8783`."""
        text = self.text(name)
        host, _, port = text.rpartition(":")
        if not (port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS):
            raise _unexpected(name, "an address with a port", text)
        if not 1 <= int(port) <= _MOST_PORT:
            raise _unexpected(name, f"an address with a port from 1 to {_MOST_PORT}", text)
        return _host(name, host), int(port)

    def nested(self, name: str) -> Fields:
        """Return the fields of an object."""
        return Fields(self._plain.get(name))

    def nested_list(self, name: str) -> list[Fields]:
        """Return the fields of each object of a list; none if the field is missing."""
        values = self._plain.get(name)
        if values is not None and not isinstance(values, list):
            raise _unexpected(name, "a list", values)
        return [Fields(one) for one in values or ()]

    def names(self) -> Iterable[str]:
        """Return the names of the fields."""
        return self._plain.keys()


def check_header_name(name: str) -> str:
    """Return a name that stands in a header line as it is.

    Raises:
        ValueError: It is empty, or has characters other than printable ASCII.
    """
    if not name or not name.isascii() or not name.isprintable() or " " in name:
        raise _unexpected("name", "printable ASCII", name)
    return name


def _host(name: str, text: str) -> str:
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError as error:
        raise _unexpected(name, "an IPv4 address", text) from error


def _unexpected(name: str, expected: str, value: Any) -> ValueError:
    return ValueError(f"{name}: expected {expected}, found {_shown(value)}")


def _shown(value: Any) -> str:
    """Return a short text of a value of any size."""
    if isinstance(value, str):
        return repr(value[:_MOST_REASON])
    if isinstance(value, int | float) or value is None:
        return str(value)[:_MOST_REASON]
    return type(value).__name__
