"""Reads and validates fields of untrusted JSON records."""

from __future__ import annotations

import ipaddress
import math
from collections.abc import Iterable, Mapping
from typing import Any, TypeVar

import orjson

T = TypeVar("T")

# Times after this one, the year 2100, are rejected, because such a start time would supersede every
# real one.
_MAX_TIME_MS = 4_102_444_800_000
# Larger integers are rejected, as not all JSON parsers represent them exactly.
MAX_INTEGER = 2**53 - 1
# Longer texts are rejected; no name, host or path of a deployment is longer.
_MAX_TEXT_CHARACTERS = 1_024
_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
# Error messages show this much of an invalid value, which is enough to recognise it in a log line.
_MAX_SHOWN_CHARACTERS = 160


class Fields:
    """The fields of one JSON object.

    Args:
        decoded: Decoded JSON value.
        hides_values: Whether error messages name the type of an invalid value instead of the value.
    """

    def __init__(self, decoded: Any, *, hides_values: bool = False) -> None:
        if not isinstance(decoded, dict):
            raise _unexpected("the record", "an object", decoded, hides_value=hides_values)
        self._values: dict[str, Any] = decoded
        self._hides_values = hides_values

    @classmethod
    def parse(cls, data: bytes) -> Fields:
        """Parse a JSON document.

        Raises:
            ValueError: The data is not a JSON object, is nested too deeply, or contains a number
                that is not finite or text that is not valid Unicode.
        """
        return cls(orjson.loads(data))

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._values.get(name) is not None

    def text(self, name: str) -> str:
        """Return a string field, which must not be empty."""
        value = self._values.get(name)
        if not isinstance(value, str) or not 0 < len(value) <= _MAX_TEXT_CHARACTERS:
            raise self._unexpected(name, f"text of 1 to {_MAX_TEXT_CHARACTERS} characters", value)
        return value

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings; empty if the field is missing."""
        values = self._values.get(name)
        if values is None:
            return ()
        if not isinstance(values, list) or not all(isinstance(item, str) for item in values):
            raise self._unexpected(name, "a list of texts", values)
        return tuple(values)

    def integer(self, name: str, maximum: int = MAX_INTEGER, minimum: int = 0) -> int:
        """Return an integer field within bounds."""
        value: Any = self._values.get(name)
        if type(value) is not int or not minimum <= value <= maximum:
            raise self._unexpected(name, f"a whole number from {minimum} to {maximum}", value)
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number of at least 0; *default* if the field is missing."""
        value: Any = self._values.get(name)
        if value is None and default is not None:
            return default
        if type(value) not in (int, float) or not 0 <= value < math.inf:
            raise self._unexpected(name, "a number of at least 0", value)
        return float(value)

    def flag(self, name: str) -> bool:
        """Return a boolean field; false if it is missing."""
        value = self._values.get(name)
        if value is not None and type(value) is not bool:
            raise self._unexpected(name, "true or false", value)
        return bool(value)

    def version(self, name: str) -> str | int:
        """Return the version of a server's software, which is a text or a whole number."""
        return self.integer(name) if type(self._values.get(name)) is int else self.text(name)

    def time_ms(self, name: str) -> int:
        """Return a time in milliseconds since the epoch."""
        return self.integer(name, _MAX_TIME_MS)

    def port(self, name: str) -> int:
        """Return a TCP port."""
        return self.integer(name, _MAX_PORT, 1)

    def host(self, name: str) -> str:
        """Return an IPv4 address."""
        return _host(name, self.text(name))

    def address(self, name: str) -> tuple[str, int]:
        """Return the IPv4 address and port of a value such as `10.1.0.33:8783`."""
        text = self.text(name)
        host, _, port = text.rpartition(":")
        if not (port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS):
            raise self._unexpected(name, "an address with a port", text)
        if not 1 <= int(port) <= _MAX_PORT:
            raise self._unexpected(name, f"an address with a port from 1 to {_MAX_PORT}", text)
        return _host(name, host), int(port)

    def choice(self, name: str, choices: Mapping[str, T]) -> T:
        """Return what *choices* has for the text of a field."""
        text = Fields.text(self, name)  # not that of a derived class, which may not raise errors
        if text not in choices:
            raise self._unexpected(name, f"one of {', '.join(choices)}", text)
        return choices[text]

    def nested(self, name: str) -> Fields:
        """Return the fields of a nested object."""
        return Fields(self._values.get(name), hides_values=self._hides_values)

    def nested_list(self, name: str, *, hides_values: bool = False) -> list[Fields]:
        """Return the fields of each object in a list; empty if the field is missing.

        Args:
            hides_values: Whether error messages must not show values, as the objects hold secrets.
        """
        hides_values = hides_values or self._hides_values
        items = self._items(name, hides_values)
        return [Fields(item, hides_values=hides_values) for item in items]

    def names(self) -> Iterable[str]:
        """Return the names of the fields."""
        return self._values.keys()

    def _items(self, name: str, hides_values: bool) -> list[Any]:
        """Return the items of a list; empty if the field is missing."""
        values = self._values.get(name)
        if values is not None and not isinstance(values, list):
            raise _unexpected(name, "a list", values, hides_value=hides_values)
        return values or []

    def _unexpected(self, name: str, expected: str, value: Any) -> ValueError:
        return _unexpected(name, expected, value, hides_value=self._hides_values)


def check_header_name(name: str) -> str:
    """Return a name that can be sent in a header without escaping.

    Raises:
        ValueError: The name is empty or contains spaces or characters outside printable ASCII.
    """
    if not name or not name.isascii() or not name.isprintable() or " " in name:
        raise _unexpected("name", "printable ASCII", name)
    return name


def _host(name: str, text: str) -> str:
    try:
        return str(ipaddress.IPv4Address(text))
    except ValueError as error:
        raise _unexpected(name, "an IPv4 address", text) from error


def _unexpected(name: str, expected: str, value: Any, *, hides_value: bool = False) -> ValueError:
    shown = type(value).__name__ if hides_value else _abbreviated(value)
    return ValueError(f"{name}: expected {expected}, found {shown}")


def _abbreviated(value: Any) -> str:
    """Return a value for an error message, shortened; for lists and objects only the type."""
    if isinstance(value, str):
        return repr(value[:_MAX_SHOWN_CHARACTERS])
    if isinstance(value, int | float) or value is None:
        return str(value)[:_MAX_SHOWN_CHARACTERS]
    return type(value).__name__
