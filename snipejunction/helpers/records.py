"""Base class of data classes with slots."""

from __future__ import annotations


class Record:
    """Data class with field-wise equality and a readable ``repr``.

    Subclasses list their fields in ``__slots__`` and set all of them.
    """

    __slots__ = ()

    def __repr__(self) -> str:
        """Return the class name with the names and values of all fields."""
        parts = [
            f'{name}={getattr(self, name, None)!r}'
            for name in field_names(type(self))
        ]
        joined = ', '.join(parts)
        return f'{type(self).__name__}({joined})'

    def __eq__(self, other: object) -> bool:
        """Return whether ``other`` is of this type and has equal fields."""
        if not isinstance(other, self.__class__):
            return NotImplemented
        return all(
            getattr(self, name, None) == getattr(other, name, None)
            for name in field_names(type(self))
        )

    def __hash__(self) -> int:
        """Return a hash by identity, since records are mutable."""
        return id(self)


_names_by_type: dict[type, tuple[str, ...]] = {}


def field_names(record_type: type[Record]) -> tuple[str, ...]:
    """Return the sorted field names of a record type and its bases."""
    names = _names_by_type.get(record_type)
    if names is None:
        names = _find_field_names(record_type)
        _names_by_type[record_type] = names
    return names


def _find_field_names(record_type: type[Record]) -> tuple[str, ...]:
    names: set[str] = set()
    for base in record_type.__mro__:
        names.update(getattr(base, '__slots__', ()))
    return tuple(sorted(names))
