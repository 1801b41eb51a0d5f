"""Validation of structured documents that reports all faults, not only the first one."""

from __future__ import annotations

import pathlib
import typing as t

import jsonc
import msgspec

from .exceptions import SettingsError
from .exceptions import ValidationFault

T = t.TypeVar("T", bound=msgspec.Struct)
MAX_DISPLAYED_VALUE_CHARS = 60


def find_faults(expected_type: type, value: t.Any, path: str = "") -> list[ValidationFault]:
    """Validate *value* against the type *expected_type* and return all faults.

    :param expected_type: a :class:`msgspec.Struct` type, or any other type that msgspec can
        convert to.
    :param value: plain data, such as the result of parsing JSON.
    :param path: prefix of the paths in the returned faults.

    >>> class Point(msgspec.Struct):
    ...     x: int
    ...     y: int
    >>> [str(fault) for fault in find_faults(Point, {"x": "1", "z": 3})]
    ["x: got '1', expected int", 'y: got nothing, expected int', 'z: got 3, expected no such key']
    """
    if _is_struct(expected_type):
        return _find_struct_faults(expected_type, value, path)
    if isinstance(value, list) and t.get_origin(_strip_annotation(expected_type)) is list:
        faults = _find_list_faults(t.get_args(_strip_annotation(expected_type))[0], value, path)
        if faults:
            return faults
    if _is_convertible(expected_type, value):
        return []
    return [
        ValidationFault(
            path or "document", _format_value(value), _describe_type(expected_type, value)
        )
    ]


def convert_document(expected_type: type[T], value: t.Any) -> T:
    """Convert plain data to an instance of *expected_type*.

    :raises msgspec.ValidationError: if the data is invalid.
    """
    return msgspec.convert(value, expected_type)


def read_file(path: pathlib.Path) -> str:
    """Return the text of a settings file.

    :raises SettingsError: if the file cannot be read or is not valid UTF-8.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        raise SettingsError(
            str(path), [ValidationFault("file", str(error), "a readable UTF-8 file")]
        ) from error


def parse_document(expected_type: type[T], text: str, source: str) -> T:
    """Parse and validate a document in JSON with comments.

    :param expected_type: the type of the document.
    :param source: origin of the text, used in error messages.
    :raises SettingsError: if the document is invalid; lists all faults.
    """
    try:
        value = jsonc.loads(text)
    except (ValueError, RecursionError) as error:
        fault = ValidationFault("document", str(error), "JSON with comments")
        raise SettingsError(source, [fault]) from error
    faults = find_faults(expected_type, value)
    if faults:
        raise SettingsError(source, faults)
    return convert_document(expected_type, value)


def _find_struct_faults(expected_type: type, value: t.Any, path: str) -> list[ValidationFault]:
    if not isinstance(value, dict):
        return [ValidationFault(path or "document", _format_value(value), "an object")]
    faults = []
    hints = t.get_type_hints(expected_type, include_extras=True)
    fields = {field.encode_name: field for field in msgspec.structs.fields(expected_type)}
    for name, field in fields.items():
        field_path = _join_path(path, name)
        hint = hints[field.name]
        if name in value:
            faults.extend(find_faults(hint, value[name], field_path))
            continue
        if field.required:
            faults.append(ValidationFault(field_path, "nothing", _describe_type(hint, None)))
    for name in value:
        if name not in fields:
            faults.append(
                ValidationFault(_join_path(path, name), _format_value(value[name]), "no such key")
            )
    if not faults and not _is_convertible(expected_type, value):
        faults.append(
            ValidationFault(
                path or "document", _format_value(value), _describe_type(expected_type, value)
            )
        )
    return faults


def _find_list_faults(item_type: type, values: list[t.Any], path: str) -> list[ValidationFault]:
    faults = []
    for index, value in enumerate(values):
        faults.extend(find_faults(item_type, value, f"{path}[{index}]"))
    return faults


def _strip_annotation(expected_type: t.Any) -> t.Any:
    return (
        t.get_args(expected_type)[0]
        if t.get_origin(expected_type) is t.Annotated
        else expected_type
    )


def _is_struct(expected_type: t.Any) -> bool:
    return isinstance(expected_type, type) and issubclass(expected_type, msgspec.Struct)


def _is_convertible(expected_type: t.Any, value: t.Any) -> bool:
    try:
        msgspec.convert(value, expected_type)
    except (msgspec.ValidationError, ValueError):
        return False
    return True


def _describe_type(expected_type: t.Any, value: t.Any) -> str:
    name = getattr(expected_type, "__name__", str(expected_type))
    if t.get_origin(expected_type) is not t.Annotated:
        if t.get_origin(expected_type) is t.Literal:
            return "one of " + ", ".join(map(str, t.get_args(expected_type)))
        return name
    base, *metas = t.get_args(expected_type)
    parts = [getattr(base, "__name__", str(base))]
    for meta in metas:
        for bound in ("gt", "ge", "lt", "le", "min_length", "max_length", "pattern"):
            limit = getattr(meta, bound, None)
            if limit is not None:
                parts.append(f"{bound} {limit}")
    return " ".join(parts)


def _format_value(value: t.Any) -> str:
    text = repr(value)
    if len(text) <= MAX_DISPLAYED_VALUE_CHARS:
        return text
    return text[:MAX_DISPLAYED_VALUE_CHARS] + "..."


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else str(name)
