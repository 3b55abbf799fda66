"""Reads fields of a JSON record as the routers do, and goes on after errors to find all of them."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from attrs import evolve, frozen

from cicadaledge.platform._fields import MAX_INTEGER, Fields

T = TypeVar("T")

# Reports show this much of an entry's name, which is enough to recognise it.
_MAX_ENTRY_CHARACTERS = 80


@frozen
class Location:
    """Where a value stands in a record.

    Args:
        path: Path of the value; empty for the record as a whole.
        entry: Name of the innermost entry with a name that contains the value; empty if none does.
    """

    path: str = ""
    entry: str = ""

    def field(self, name: str) -> Location:
        """Return the location of a field of the object that is here."""
        return evolve(self, path=f"{self.path}.{name}" if self.path else name)

    def item(self, index: int) -> Location:
        """Return the location of an item of the list that is here."""
        return evolve(self, path=f"{self.path}[{index}]")


@frozen
class RecordError:
    """A value for which routers reject a record.

    Args:
        text: What was expected, and what was found.
    """

    location: Location
    text: str


class CollectingFields(Fields):
    """Fields that record errors and return a substitute instead of raising them.

    Args:
        decoded: Decoded JSON value.
        errors: Gets an entry for each error.
        location: Where the object stands in the record.
    """

    def __init__(
        self,
        decoded: Any,
        errors: list[RecordError],
        location: Location,
        *,
        hides_values: bool = False,
    ) -> None:
        try:
            super().__init__(decoded, hides_values=hides_values)
        except ValueError as error:
            errors.append(_error_at(location, error))
            super().__init__({}, hides_values=hides_values)
            errors = []  # the fields that a value of another type lacks are not reported as well
        name = self._values.get("name")
        if isinstance(name, str):
            location = evolve(location, entry=name[:_MAX_ENTRY_CHARACTERS])
        self._location = location
        self._errors = errors

    def text(self, name: str) -> str:
        """Return a text; an empty one if the field is not valid."""
        return self._collect(name, lambda: Fields.text(self, name), "")

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of texts; an empty one if the field is not valid."""
        return self._collect(name, lambda: Fields.texts(self, name), ())

    def integer(self, name: str, maximum: int = MAX_INTEGER, minimum: int = 0) -> int:
        """Return a whole number; the minimum if the field is not valid."""
        return self._collect(name, lambda: Fields.integer(self, name, maximum, minimum), minimum)

    def number(self, name: str, default: float | None = None) -> float:
        """Return a number; 0 if the field is not valid."""
        return self._collect(name, lambda: Fields.number(self, name, default), 0.0)

    def flag(self, name: str) -> bool:
        """Return true or false; false if the field is not valid."""
        return self._collect(name, lambda: Fields.flag(self, name), False)

    def choice(self, name: str, choices: Mapping[str, T]) -> T:
        """Return what was chosen; the first choice if the field is not valid."""
        first = next(iter(choices.values()))
        return self._collect(name, lambda: Fields.choice(self, name, choices), first)

    def nested(self, name: str) -> Fields:
        """Return the fields of a nested object; none if it is not valid."""
        location = self._location.field(name)
        value = self._values.get(name)
        return CollectingFields(value, self._errors, location, hides_values=self._hides_values)

    def nested_list(self, name: str, *, hides_values: bool = False) -> list[Fields]:
        """Return the fields of objects in a list; of a single empty one if it is not valid."""
        hides_values = hides_values or self._hides_values
        location = self._location.field(name)
        try:
            items = self._items(name, hides_values)
        except ValueError as error:
            self._errors.append(_error_at(location, error))
            return [CollectingFields({}, [], location)]
        return [
            CollectingFields(item, self._errors, location.item(index), hides_values=hides_values)
            for index, item in enumerate(items)
        ]

    def _collect(self, name: str, read: Callable[[], T], substitute: T) -> T:
        try:
            return read()
        except ValueError as error:
            self._errors.append(_error_at(self._location.field(name), error))
            return substitute


def _error_at(location: Location, error: ValueError) -> RecordError:
    """Return an error without the field's name, which its message begins with."""
    return RecordError(location, str(error).split(": ", 1)[-1])
