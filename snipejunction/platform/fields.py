"""Checked access to the fields of the platform's JSON and TOML."""

from __future__ import annotations

import json
import math
from typing import Any

from snipejunction.errors import SettingsError

_MILLISECONDS = 1000


class Fields:
    """A table of fields; errors name the path of the field."""

    __slots__ = ('_path', '_table')

    def __init__(self, table: Any, path: str = '') -> None:
        """Take a decoded table.

        Raises:
            SettingsError: if it is no table.
        """
        if not isinstance(table, dict):
            raise SettingsError(path or '/', 'not a table')
        self._table = table
        self._path = path

    def has(self, name: str) -> bool:
        """Return whether a field is there and not null."""
        return self._table.get(name) is not None

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string that is not empty."""
        found = self._get(name, default)
        if not isinstance(found, str) or (not found and default is None):
            raise self.error(name, 'not a string')
        return found

    def number(
        self,
        name: str,
        default: float | None = None,
        lowest: float = 0,
    ) -> float:
        """Return a finite number."""
        found = self._get(name, default)
        if isinstance(found, bool) or not isinstance(found, (int, float)):
            raise self.error(name, 'not a number')
        if not math.isfinite(found) or found < lowest:
            raise self.error(name, f'less than {lowest}')
        return found

    def whole(
        self,
        name: str,
        default: int | None = None,
        lowest: int = 0,
    ) -> int:
        """Return a whole number."""
        found = self._get(name, default)
        if isinstance(found, bool) or not isinstance(found, int):
            raise self.error(name, 'not a whole number')
        if found < lowest:
            raise self.error(name, f'less than {lowest}')
        return found

    def seconds(self, name: str, default_ms: float | None = None) -> float:
        """Return a time that the field gives in milliseconds."""
        return self.number(name, default_ms) / _MILLISECONDS

    def flag(self, name: str, default: bool) -> bool:
        """Return a boolean."""
        found = self._get(name, default)
        if not isinstance(found, bool):
            raise self.error(name, 'not a boolean')
        return found

    def texts(self, name: str) -> tuple[str, ...]:
        """Return a list of strings, empty without the field."""
        found = self._items(name)
        if not all(isinstance(one, str) and one for one in found):
            raise self.error(name, 'not a list of strings')
        return tuple(found)

    def table(self, name: str) -> Fields:
        """Return a table, empty without the field."""
        found = self._table.get(name)
        path = f'{self._path}/{name}'
        return Fields({} if found is None else found, path)

    def tables(self, name: str) -> list[Fields]:
        """Return a list of tables, empty without the field."""
        return [
            Fields(one, f'{self._path}/{name}/{number}')
            for number, one in enumerate(self._items(name))
        ]

    def pairs(self) -> dict[str, str]:
        """Return the whole table as strings by name."""
        return {name: str(found) for name, found in self._table.items()}

    def error(self, name: str, problem: str) -> SettingsError:
        """Return an error about a field."""
        return SettingsError(f'{self._path}/{name}', problem)

    def _items(self, name: str) -> list[Any]:
        found = self._table.get(name)
        if found is None:
            return []
        if not isinstance(found, list):
            raise self.error(name, 'not a list')
        return found

    def _get(self, name: str, default: Any) -> Any:
        found = self._table.get(name, default)
        return default if found is None else found


def parse_json(content: bytes) -> Fields:
    """Return the table in a JSON body.

    Raises:
        SettingsError: if it is no JSON object.
    """
    try:
        return Fields(json.loads(content))
    except (ValueError, RecursionError) as error:
        raise SettingsError('/', 'not a JSON object') from error
