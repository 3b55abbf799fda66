"""Validates data from YAML files and reports all mistakes at once."""

from __future__ import annotations

import types
import typing
from typing import Any

import attrs

_SCALAR_NAMES = {int: "a whole number", str: "text", bool: "true or false", float: "a number"}


def find_mistakes(value: Any, kind: Any, path: str = "$") -> list[str]:
    """Return one line for each mistake in *value*, with its path, the expected and the found value.

    Args:
        value: Data as loaded from YAML.
        kind: The type that it should be converted to, such as an attrs class.
        path: Path of the value within the file.
    """
    if attrs.has(kind):
        return _object_mistakes(value, kind, path)
    origin = typing.get_origin(kind)
    if origin is list:
        return _list_mistakes(value, kind, path)
    if origin is dict:
        return _mapping_mistakes(value, kind, path)
    if origin in (typing.Union, types.UnionType):
        inner = [argument for argument in typing.get_args(kind) if argument is not type(None)]
        return [] if value is None else find_mistakes(value, inner[0], path)
    if kind in _SCALAR_NAMES and not _is_scalar(value, kind):
        return [_line(path, _SCALAR_NAMES[kind], value)]
    return []


def _is_scalar(value: Any, kind: Any) -> bool:
    if kind is float:
        return type(value) in (int, float)
    return type(value) is kind


def _object_mistakes(value: Any, kind: Any, path: str) -> list[str]:
    if not isinstance(value, dict):
        return [_line(path, "a mapping", value)]
    fields = attrs.fields_dict(attrs.resolve_types(kind))
    mistakes = [
        f"{path}.{key}: expected one of {', '.join(fields)}; found an unknown key"
        for key in value
        if key not in fields
    ]
    for name, field in fields.items():
        if name in value:
            mistakes += _field_mistakes(value[name], field, f"{path}.{name}")
        elif field.default is attrs.NOTHING:
            mistakes.append(f"{path}.{name}: expected a value; found none")
    return mistakes


def _field_mistakes(value: Any, field: Any, path: str) -> list[str]:
    mistakes = find_mistakes(value, field.type, path)
    if mistakes or field.validator is None:
        return mistakes
    try:
        field.validator(None, field, value)
    except (ValueError, TypeError) as error:
        if not field.repr:
            return [f"{path}: the value is not allowed; found a secret that is not shown"]
        reason = str(error.args[0]) if error.args else str(error)
        return [f"{path}: {reason}; found {value!r}"]
    return []


def _list_mistakes(value: Any, kind: Any, path: str) -> list[str]:
    if not isinstance(value, list):
        return [_line(path, "a list", value)]
    (inner,) = typing.get_args(kind)
    return [
        line
        for index, item in enumerate(value)
        for line in find_mistakes(item, inner, f"{path}[{index}]")
    ]


def _mapping_mistakes(value: Any, kind: Any, path: str) -> list[str]:
    if not isinstance(value, dict):
        return [_line(path, "a mapping", value)]
    _, inner = typing.get_args(kind)
    mistakes = [
        f"{path}: expected text as key; found {key!r}" for key in value if not isinstance(key, str)
    ]
    for key, item in value.items():
        mistakes += find_mistakes(item, inner, f"{path}.{key}")
    return mistakes


def _line(path: str, expected: str, value: Any) -> str:
    shown = repr(value)
    if len(shown) > 60:
        shown = shown[:57] + "..."
    return f"{path}: expected {expected}; found {shown}"
