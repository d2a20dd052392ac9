"""Encoding of typed records as msgpack frames.

A frame is the array ``[version, type number, field, ...]`` with the fields in
the order of the constructor. Nested records are arrays of their fields; their
type follows from the annotation. Every value is checked against the
constructor's annotations before a record is created.

The last fields of a type may be optional: they are left out if all of them
have the default values of the constructor. So hosts of a release that does not
know them exchange messages with hosts of the next one, as long as their values
are the defaults.

A type may name one list of records as independent. An entry of it that cannot
be encoded or decoded is then left out, so that it does not cost the others.
"""

from __future__ import annotations

import inspect
import reprlib
import types
from copy import copy
from typing import (
    Any,
    Final,
    TypeAlias,
    TypeVar,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

import msgpack

from snipejunction.helpers.wire_codecs import (
    Codec,
    MappingCodec,
    OptionalCodec,
    ScalarCodec,
    SequenceCodec,
    TupleCodec,
    WireError,
)

WIRE_VERSION: Final = 1
MAX_FRAME_BYTES: Final = 8388608
_HEADER_FIELDS: Final = 2

_RecordType = TypeVar('_RecordType', bound=type)
_NamedCodecs: TypeAlias = list[tuple[str, Codec]]
_CodecTable: TypeAlias = dict[type, _NamedCodecs]
_types: Final[dict[int, type]] = {}
_numbers: Final[dict[type, int]] = {}
_codecs: Final[_CodecTable] = {}
# Default values of the optional fields of each type that has any.
_optional: Final[dict[type, list[Any]]] = {}
# Name of the field with independent entries of each type that has one.
_independent: Final[dict[type, str]] = {}


class _WireTypeRegistration:
    """Class decorator that registers a record type under its number."""

    __slots__ = ('_independent_entries', '_number', '_optional_fields')

    def __init__(
        self, number: int, optional_fields: int, independent_entries: str
    ) -> None:
        self._number = number
        self._optional_fields = optional_fields
        self._independent_entries = independent_entries

    def __call__(self, record_type: _RecordType) -> _RecordType:
        if self._number in _types:
            raise ValueError(f'wire type {self._number} is already registered')
        _types[self._number] = record_type
        _numbers[record_type] = self._number
        if self._optional_fields:
            signature = inspect.signature(record_type)
            defaults = [
                argument.default for argument in signature.parameters.values()
            ]
            _optional[record_type] = defaults[-self._optional_fields :]
        if self._independent_entries:
            _independent[record_type] = self._independent_entries
        return record_type


class _RecordCodec:
    """Codec of records nested in other records."""

    __slots__ = ('_record_type',)

    is_plain: Final = False

    def __init__(self, record_type: type) -> None:
        self._record_type = record_type

    def pack(self, value: Any) -> Any:
        return pack_fields(value)

    def unpack(self, part: Any) -> Any:
        return unpack_fields(self._record_type, part)


def wire(
    number: int,
    optional_fields: int = 0,
    independent_entries: str = '',
) -> _WireTypeRegistration:
    """Return a decorator that registers a record class under ``number``.

    ``optional_fields`` is the number of its last fields that are optional;
    ``independent_entries`` names a field with a list of records that do not
    depend on each other.
    """
    return _WireTypeRegistration(number, optional_fields, independent_entries)


def registered_types() -> dict[int, type]:
    """Return a copy of the registry of wire types."""
    return dict(_types)


def encode(record: object, skipped: list[str] | None = None) -> bytes:
    """Encode a registered record as a frame.

    Independent entries that cannot be packed are left out if ``skipped`` is
    given; the reasons are added to it.

    Raises:
        WireError: if the type is not registered, a field cannot be packed
            or the frame is too large.
    """
    record_type = type(record)
    number = _numbers.get(record_type)
    if number is None:
        raise WireError(f'{record_type.__name__} is not a wire type')
    try:
        frame = _pack([WIRE_VERSION, number, *pack_fields(record)])
    except WireError as error:
        if skipped is None or record_type not in _independent:
            raise WireError(f'{record_type.__name__}: {error}') from error
        reduced = _without_unpackable(record, skipped)
        frame = _pack([WIRE_VERSION, number, *pack_fields(reduced)])
    _check_size(frame)
    return frame


def decode(frame: bytes, skipped: list[str] | None = None) -> Any:
    """Decode the record in a frame.

    Independent entries that are malformed are left out if ``skipped`` is
    given; the reasons are added to it.

    Raises:
        WireError: if the frame is malformed, too large, of another version
            or of an unknown type.
    """
    _check_size(frame)
    try:
        body = msgpack.unpackb(frame, strict_map_key=False)
    except Exception as error:
        raise WireError('not a msgpack value') from error
    if not isinstance(body, list) or len(body) < _HEADER_FIELDS:
        raise WireError('not an array of version, type and fields')
    if body[0] != WIRE_VERSION:
        found = reprlib.repr(body[0])
        raise WireError(f'version {found}, expected {WIRE_VERSION}')
    number = body[1]
    record_type = _types.get(number) if isinstance(number, int) else None
    if record_type is None:
        raise WireError(f'unknown type {reprlib.repr(number)}')
    parts = body[_HEADER_FIELDS:]
    if skipped is None or record_type not in _independent:
        return unpack_fields(record_type, parts)
    try:
        return unpack_fields(record_type, parts)
    except WireError:
        reduced = _without_malformed(record_type, parts, skipped)
        return unpack_fields(record_type, reduced)


def pack_fields(record: object) -> list[Any]:
    """Return the fields of a record in their msgpack representation."""
    packed = []
    for name, codec in _codecs_to_send(record):
        value = getattr(record, name)
        packed.append(value if codec.is_plain else codec.pack(value))
    return packed


def unpack_fields(record_type: type, parts: Any) -> Any:
    """Create a record from its packed fields after type checks.

    Raises:
        WireError: if the number of fields or the type of a field is wrong.
    """
    codecs = _codecs_for(record_type)
    name = record_type.__name__
    if not isinstance(parts, list):
        raise WireError(f'{name}: expected an array')
    missing = len(codecs) - len(parts)
    if missing not in {0, len(_optional.get(record_type, ()))}:
        raise WireError(f'{name}: wrong number of fields')
    try:
        arguments = [
            codec.unpack(part)
            for (_, codec), part in zip(
                codecs[: len(parts)], parts, strict=True
            )
        ]
    except WireError as error:
        raise WireError(f'{name}: {error}') from error
    return record_type(*arguments)


def _pack(fields: list[Any]) -> bytes:
    try:
        return bytes(msgpack.packb(fields))
    except (TypeError, ValueError, OverflowError) as error:
        raise WireError(str(error)) from error


def _without_unpackable(record: object, skipped: list[str]) -> object:
    """Return a copy of a record without the entries that cannot be packed."""
    name = _independent[type(record)]
    kept = []
    for position, entry in enumerate(getattr(record, name)):
        try:
            _pack(pack_fields(entry))
        except WireError as error:
            skipped.append(f'entry {position}: {error}')
        else:
            kept.append(entry)
    reduced = copy(record)
    setattr(reduced, name, kept)
    return reduced


def _without_malformed(
    record_type: type, parts: list[Any], skipped: list[str]
) -> list[Any]:
    """Return packed fields without the entries that cannot be unpacked."""
    names = [name for name, _ in _codecs_for(record_type)]
    index = names.index(_independent[record_type])
    if index >= len(parts) or not isinstance(parts[index], list):
        return parts
    _, codec = _codecs_for(record_type)[index]
    kept = []
    for position, entry in enumerate(parts[index]):
        try:
            codec.unpack([entry])
        except WireError as error:
            skipped.append(f'entry {position}: {error}')
        else:
            kept.append(entry)
    return [*parts[:index], kept, *parts[index + 1 :]]


def _check_size(frame: bytes) -> None:
    if len(frame) > MAX_FRAME_BYTES:
        raise WireError(
            f'frame of {len(frame)} bytes, at most {MAX_FRAME_BYTES}',
        )


def _codecs_to_send(record: object) -> _NamedCodecs:
    """Return the codecs of a record without optional fields at defaults."""
    codecs = _codecs_for(type(record))
    defaults = _optional.get(type(record))
    if defaults is None:
        return codecs
    required = len(codecs) - len(defaults)
    values = [getattr(record, name) for name, _ in codecs[required:]]
    return codecs[:required] if values == defaults else codecs


def _codecs_for(record_type: Any) -> _NamedCodecs:
    codecs = _codecs.get(record_type)
    if codecs is None:
        hints = get_type_hints(record_type.__init__)
        names = inspect.signature(record_type).parameters
        codecs = [(name, _codec_for(hints[name])) for name in names]
        _codecs[record_type] = codecs
    return codecs


def _codec_for(hint: Any) -> Codec:
    if hint in _SCALAR_TYPES:
        return ScalarCodec(hint)
    if hint in _numbers:
        return _RecordCodec(hint)
    origin = get_origin(hint)
    members = get_args(hint)
    if origin is list:
        return SequenceCodec(list, _codec_for(members[0]))
    if origin is dict:
        return MappingCodec(_codec_for(members[0]), _codec_for(members[1]))
    if origin is tuple:
        return _tuple_codec(members)
    if origin in _UNION_ORIGINS:
        inner = [member for member in members if member is not types.NoneType]
        return OptionalCodec(_codec_for(inner[0]))
    raise TypeError(f'no codec for annotation {hint}')


def _tuple_codec(members: tuple[Any, ...]) -> Codec:
    if members[-1] is Ellipsis:
        return SequenceCodec(tuple, _codec_for(members[0]))
    return TupleCodec([_codec_for(member) for member in members])


_SCALAR_TYPES: Final = frozenset((str, int, float, bool, bytes))
_UNION_ORIGINS: Final = frozenset((types.UnionType, Union))
