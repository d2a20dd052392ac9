"""Type-checked access to decoded JSON and TOML."""

from __future__ import annotations

import json
import math
from typing import Any

from snipejunction.errors import SettingsError

_MILLISECONDS = 1000
# Largest integer that messages hold: 64 bits with a sign.
_MAX_INTEGER = 9223372036854775807


class Fields:
    """A table of fields; errors hold the path of the field."""

    __slots__ = ('_path', '_table')

    def __init__(self, table: Any, path: str = '') -> None:
        """Wrap a decoded table.

        Raises:
            SettingsError: if it is not a table.
        """
        if not isinstance(table, dict):
            raise SettingsError(path or '/', 'not a table')
        self._table = table
        self._path = path

    def has(self, name: str) -> bool:
        """Return whether a field is present and not null."""
        return self._table.get(name) is not None

    def string(self, name: str, default: str | None = None) -> str:
        """Return a string; empty only if ``default`` is given."""
        raw = self._get(name, default)
        if not isinstance(raw, str) or (not raw and default is None):
            raise self.error(name, 'not a string')
        self._check_text(name, raw)
        return raw

    def number(
        self,
        name: str,
        default: float | None = None,
        lowest: float = 0,
    ) -> float:
        """Return a finite number not less than ``lowest``."""
        raw = self._get(name, default)
        if isinstance(raw, bool) or not isinstance(raw, (int, float)):
            raise self.error(name, 'not a number')
        if isinstance(raw, int):
            self._check_range(name, raw, lowest)
        elif not math.isfinite(raw) or raw < lowest:
            raise self.error(name, f'less than {lowest}')
        return raw

    def integer(
        self,
        name: str,
        default: int | None = None,
        lowest: int = 0,
    ) -> int:
        """Return an integer not less than ``lowest``."""
        raw = self._get(name, default)
        if isinstance(raw, bool) or not isinstance(raw, int):
            raise self.error(name, 'not a whole number')
        self._check_range(name, raw, lowest)
        return raw

    def seconds(self, name: str, default_ms: float | None = None) -> float:
        """Return a duration in seconds from a field in milliseconds."""
        return self.number(name, default_ms) / _MILLISECONDS

    def boolean(self, name: str, default: bool) -> bool:
        """Return a boolean."""
        raw = self._get(name, default)
        if not isinstance(raw, bool):
            raise self.error(name, 'not a boolean')
        return raw

    def strings(self, name: str) -> tuple[str, ...]:
        """Return a list of non-empty strings, empty if absent."""
        raw = self._items(name)
        if not all(isinstance(element, str) and element for element in raw):
            raise self.error(name, 'not a list of strings')
        for element in raw:
            self._check_text(name, element)
        return tuple(raw)

    def table(self, name: str) -> Fields:
        """Return a table, empty if absent."""
        raw = self._table.get(name)
        path = f'{self._path}/{name}'
        return Fields({} if raw is None else raw, path)

    def tables(self, name: str) -> list[Fields]:
        """Return a list of tables, empty if absent."""
        return [
            Fields(element, f'{self._path}/{name}/{number}')
            for number, element in enumerate(self._items(name))
        ]

    def to_strings(self) -> dict[str, str]:
        """Return all fields, converted to strings."""
        return {name: str(raw) for name, raw in self._table.items()}

    def error(self, name: str, problem: str) -> SettingsError:
        """Create an error that holds the path of a field."""
        return SettingsError(f'{self._path}/{name}', problem)

    def _check_text(self, name: str, text: str) -> None:
        # JSON can hold halves of surrogate pairs, which UTF-8 cannot.
        try:
            text.encode()
        except UnicodeEncodeError as error:
            raise self.error(
                name, f'not Unicode text: {error.reason}'
            ) from error

    def _check_range(self, name: str, number: int, lowest: float) -> None:
        if number < lowest:
            raise self.error(name, f'less than {lowest}')
        if number > _MAX_INTEGER:
            raise self.error(name, f'more than {_MAX_INTEGER}')

    def _items(self, name: str) -> list[Any]:
        raw = self._table.get(name)
        if raw is None:
            return []
        if not isinstance(raw, list):
            raise self.error(name, 'not a list')
        return raw

    def _get(self, name: str, default: Any) -> Any:
        raw = self._table.get(name, default)
        return default if raw is None else raw


def parse_json(content: bytes, *, takes_constants: bool = False) -> Fields:
    """Decode a JSON body, with ``takes_constants`` also NaN and infinities.

    Raises:
        SettingsError: if it is not a JSON object.
    """
    parse_constant = float if takes_constants else _refuse_constant
    try:
        return Fields(json.loads(content, parse_constant=parse_constant))
    except (ValueError, RecursionError) as error:
        raise SettingsError('/', 'not a JSON object') from error


def _refuse_constant(text: str) -> float:
    """Refuse NaN and infinities, which JSON does not have."""
    raise ValueError(f'{text} is not JSON')
