"""Validators of settings values; error messages state the bounds."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import Any, Final, TypeAlias
from urllib.parse import urlsplit

import voluptuous as vol

from snipejunction.errors import SettingsError

Check: TypeAlias = Callable[[Any], Any]

MAX_PORT: Final = 65535
MAX_NAME_CHARACTERS: Final = 64
MAX_TEXT_CHARACTERS: Final = 256

_NAME: Final = re.compile(r'[A-Za-z0-9][A-Za-z0-9._-]*')
_HEX_SHA256: Final = re.compile('[0-9a-fA-F]{64}')


class IntegerRange:
    """Accepts integers between two bounds."""

    __slots__ = ('_maximum', '_minimum')

    def __init__(self, minimum: int, maximum: int) -> None:
        """Create a check; both bounds are inclusive."""
        self._minimum = minimum
        self._maximum = maximum

    def __call__(self, value: Any) -> int:
        """Return the validated number or raise ``Invalid``."""
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if not is_integer or not self._minimum <= value <= self._maximum:
            bounds = f'{self._minimum} to {self._maximum}'
            raise vol.Invalid(f'expected a whole number, {bounds}')
        return int(value)


class NumberRange:
    """Accepts integers and floats between two bounds."""

    __slots__ = ('_maximum', '_minimum')

    def __init__(self, minimum: float, maximum: float) -> None:
        """Create a check; both bounds are inclusive."""
        self._minimum = minimum
        self._maximum = maximum

    def __call__(self, value: Any) -> float:
        """Return the validated number or raise ``Invalid``."""
        is_bool = isinstance(value, bool)
        is_number = isinstance(value, (int, float)) and not is_bool
        if not is_number or not self._minimum <= value <= self._maximum:
            bounds = f'{self._minimum} to {self._maximum}'
            raise vol.Invalid(f'expected a number, {bounds}')
        return float(value)


class PrintableText:
    """Accepts printable strings of bounded length."""

    __slots__ = ('_max_length',)

    def __init__(self, max_length: int = MAX_TEXT_CHARACTERS) -> None:
        """Create a check for 1 to ``max_length`` characters."""
        self._max_length = max_length

    def __call__(self, value: Any) -> str:
        """Return the validated string or raise ``Invalid``."""
        is_text = isinstance(value, str) and value.isprintable()
        if not is_text or not 0 < len(value) <= self._max_length:
            raise vol.Invalid(
                f'expected a text of 1 to {self._max_length} characters',
            )
        return str(value)


class OneOf:
    """Accepts one of several strings."""

    __slots__ = ('_choices',)

    def __init__(self, *choices: str) -> None:
        """Create a check for the strings ``choices``."""
        self._choices = choices

    def __call__(self, value: Any) -> str:
        """Return the validated string or raise ``Invalid``."""
        if value not in self._choices:
            choices = ', '.join(self._choices)
            raise vol.Invalid(f'expected one of {choices}')
        return str(value)


class Mapping:
    """Accepts objects with validated keys and a bounded number of fields."""

    __slots__ = ('_max_length', '_schema')

    def __init__(self, key: Check, member: Any, max_length: int) -> None:
        """Create a check for up to ``max_length`` fields."""
        self._schema = vol.Schema({key: member})
        self._max_length = max_length

    def __call__(self, value: Any) -> Any:
        """Return the validated object or raise ``Invalid``."""
        if not isinstance(value, dict) or len(value) > self._max_length:
            raise vol.Invalid(
                f'expected an object of up to {self._max_length} fields',
            )
        return self._schema(value)

    @property
    def schema(self) -> vol.Schema:
        """Return the schema of the fields."""
        return self._schema


class Sequence:
    """Accepts arrays with a bounded number of members."""

    __slots__ = ('_max_length', '_schema', '_min_length')

    def __init__(self, member: Any, min_length: int, max_length: int) -> None:
        """Create a check for ``min_length`` to ``max_length`` members."""
        self._schema = vol.Schema([member])
        self._min_length = min_length
        self._max_length = max_length

    def __call__(self, value: Any) -> Any:
        """Return the validated array or raise ``Invalid``."""
        is_list = isinstance(value, list)
        if (
            not is_list
            or not self._min_length <= len(value) <= self._max_length
        ):
            bounds = f'{self._min_length} to {self._max_length}'
            raise vol.Invalid(f'expected an array of {bounds} members')
        return self._schema(value)

    @property
    def schema(self) -> vol.Schema:
        """Return the schema of the members."""
        return self._schema


def check_name(value: Any) -> str:
    """Validate a name of letters, digits, dots, dashes and underscores."""
    is_name = isinstance(value, str) and _NAME.fullmatch(value)
    if not is_name or len(value) > MAX_NAME_CHARACTERS:
        raise vol.Invalid(
            'expected a name of letters, digits, ".", "_" and "-", '
            + f'1 to {MAX_NAME_CHARACTERS} characters',
        )
    return str(value)


def check_full_name(value: Any) -> str:
    """Validate a name of the form ``team/name``."""
    parts = value.split('/') if isinstance(value, str) else []
    if len(parts) != 2:
        raise vol.Invalid('expected "team/name"')
    for part in parts:
        check_name(part)
    return str(value)


def check_ip_address(value: Any) -> str:
    """Validate an IP address and reject host names."""
    try:
        ipaddress.ip_address(value if isinstance(value, str) else '')
    except ValueError:
        raise vol.Invalid('expected an IP number, not a host name') from None
    return str(value)


def check_url(value: Any) -> str:
    """Validate an HTTP or HTTPS URL whose host is an IP address."""
    checked = PrintableText()(value)
    try:
        parts = urlsplit(checked)
    except ValueError:
        raise vol.Invalid('expected a URL') from None
    if parts.scheme not in {'http', 'https'}:
        raise vol.Invalid('expected a URL that begins with http or https')
    check_ip_address(parts.hostname)
    return str(checked)


def check_token_hash(value: Any) -> str:
    """Validate the SHA-256 of a token and return it in lower case."""
    if not isinstance(value, str) or not _HEX_SHA256.fullmatch(value):
        raise vol.Invalid('expected the SHA-256 of a token, 64 hex digits')
    return value.lower()


def validate(schema: vol.Schema, value: Any, path: str) -> Any:
    """Return the value after validation with ``schema``.

    Raises:
        SettingsError: states the field below ``path`` and the bound.
    """
    try:
        return schema(value)
    except vol.Invalid as error:
        raise _first_error(error, path) from None
    except RecursionError:
        raise SettingsError(path, 'nested too deeply') from None


def _first_error(error: vol.Invalid, path: str) -> SettingsError:
    first = error
    if isinstance(error, vol.MultipleInvalid):
        first = error.errors[0]
    below = '.'.join(str(part) for part in first.path)
    location = ': '.join(part for part in (path, below) if part)
    return SettingsError(location, str(first.msg))
