"""Codecs that convert field values to msgpack and validate them back."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, Protocol


class WireError(Exception):
    """Raised for a frame that is malformed, too large or of unknown type."""


class Codec(Protocol):
    """Converts the values of one type annotation."""

    @property
    def is_plain(self) -> bool:
        """Return whether values are packed without conversion."""

    def pack(self, value: Any) -> Any:
        """Return the msgpack representation of a value."""

    def unpack(self, part: Any) -> Any:
        """Return the value of a msgpack representation.

        Raises:
            WireError: if its type or length is wrong.
        """


class ScalarCodec:
    """Codec of strings, numbers, booleans and bytes."""

    __slots__ = ('_accepted', '_scalar_type')

    is_plain: Final = True

    def __init__(self, scalar_type: type) -> None:
        """Create a codec of ``scalar_type``; a float field accepts an int."""
        self._scalar_type = scalar_type
        self._accepted = (
            (float, int) if scalar_type is float else (scalar_type,)
        )

    def pack(self, value: Any) -> Any:
        """Return the value itself."""
        return value

    def unpack(self, part: Any) -> Any:
        """Return the value if it is of the scalar type."""
        is_unexpected_bool = (
            isinstance(part, bool) and self._scalar_type is not bool
        )
        if is_unexpected_bool or not isinstance(part, self._accepted):
            found = type(part).__name__
            expected = self._scalar_type.__name__
            raise WireError(f'expected {expected}, got {found}')
        return part


class OptionalCodec:
    """Codec of a value or None."""

    __slots__ = ('_inner',)

    def __init__(self, inner: Codec) -> None:
        """Create a codec from the codec of the value."""
        self._inner = inner

    @property
    def is_plain(self) -> bool:
        """Return whether values are packed without conversion."""
        return self._inner.is_plain

    def pack(self, value: Any) -> Any:
        """Return None or the packed value."""
        return None if value is None else self._inner.pack(value)

    def unpack(self, part: Any) -> Any:
        """Return None or the validated value."""
        return None if part is None else self._inner.unpack(part)


class SequenceCodec:
    """Codec of lists and variable-length tuples of one member type."""

    __slots__ = ('_factory', '_member')

    def __init__(self, factory: Callable[[Any], Any], member: Codec) -> None:
        """Create a codec; ``factory`` converts a list to the field's type."""
        self._factory = factory
        self._member = member

    @property
    def is_plain(self) -> bool:
        """Return whether values are packed without conversion."""
        return self._member.is_plain

    def pack(self, value: Any) -> Any:
        """Return the packed members."""
        if self._member.is_plain:
            return value
        return [self._member.pack(member) for member in value]

    def unpack(self, part: Any) -> Any:
        """Return the validated members."""
        if not isinstance(part, list):
            raise WireError(f'expected an array, got {type(part).__name__}')
        return self._factory([self._member.unpack(member) for member in part])


class TupleCodec:
    """Codec of tuples of fixed length with a type for each member."""

    __slots__ = ('_members',)

    def __init__(self, members: list[Codec]) -> None:
        """Create a codec from one codec for each member."""
        self._members = members

    @property
    def is_plain(self) -> bool:
        """Return whether values are packed without conversion."""
        return all(member.is_plain for member in self._members)

    def pack(self, value: Any) -> Any:
        """Return the packed members."""
        pairs = zip(self._members, value, strict=True)
        return [codec.pack(member) for codec, member in pairs]

    def unpack(self, part: Any) -> Any:
        """Return the validated members."""
        if not isinstance(part, list) or len(part) != len(self._members):
            raise WireError(f'expected {len(self._members)} members')
        pairs = zip(self._members, part, strict=True)
        return tuple([codec.unpack(member) for codec, member in pairs])


class MappingCodec:
    """Codec of maps with scalar keys."""

    __slots__ = ('_key', '_member')

    def __init__(self, key: Codec, member: Codec) -> None:
        """Create a codec from the codecs of the keys and the values."""
        self._key = key
        self._member = member

    @property
    def is_plain(self) -> bool:
        """Return whether values are packed without conversion."""
        return self._member.is_plain

    def pack(self, value: Any) -> Any:
        """Return the packed entries."""
        if self._member.is_plain:
            return value
        return {key: self._member.pack(item) for key, item in value.items()}

    def unpack(self, part: Any) -> Any:
        """Return the validated entries."""
        if not isinstance(part, dict):
            raise WireError(f'expected a map, got {type(part).__name__}')
        return {
            self._key.unpack(key): self._member.unpack(item)
            for key, item in part.items()
        }
