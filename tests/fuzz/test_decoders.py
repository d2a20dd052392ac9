"""Mutated frames, heartbeats and documents."""

from __future__ import annotations

import copy
import importlib
import json
import pkgutil
import types
from collections.abc import Callable
from contextlib import suppress
from typing import Any, get_args, get_origin, get_type_hints

import msgpack
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from snipejunction import components
from snipejunction.errors import SettingsError
from snipejunction.helpers.wire import decode, encode, registered_types
from snipejunction.helpers.wire_codecs import WireError
from snipejunction.platform.announcements import (
    read_announcement,
    read_searcher_id,
    read_start,
)
from snipejunction.platform.documents import (
    read_accepted_document,
    read_document,
)
from tests.fuzz.mutations import check_memory, mutate
from tests.platform.test_documents import (
    ANNOUNCEMENT,
    CUSTOMERS,
    DOCUMENT,
    encode_json,
)

ERROR_CHARACTERS = 400
# Characters of an error for each byte: escapes take ten.
ERROR_FACTOR = 10
LONG = 5000
INTEGERS = st.integers(-(2**63), 2**63 - 1)
SCALARS = types.MappingProxyType(
    {
        int: INTEGERS,
        float: st.floats() | INTEGERS,
        str: st.text(max_size=6),
        bytes: st.binary(max_size=6),
        bool: st.booleans(),
    }
)
ANYTHING = st.recursive(
    st.none()
    | st.one_of(*SCALARS.values())
    | st.sampled_from(('x' * LONG, bytes(LONG))),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.text(max_size=2) | INTEGERS | st.booleans(), inner, max_size=3
        )
    ),
    max_leaves=6,
)
FRAME_TOKENS = (
    b'\x90',
    b'\x80',
    b'\xc0',
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\x00\x10\x00\x00',
    b'\xc6\x7f\xff\xff\xff',
    b'\xd6\xff\x00\x00\x00\x00',
    b'\x81\x91\x00\x00',
    b'\xcf\xff\xff\xff\xff\xff\xff\xff\xff',
    b'\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00',
)
JSON_TOKENS = (
    b'[',
    b'{"a":',
    b'{},',
    b'null',
    b'NaN',
    b'1e999',
    b'1e308',
    b'-0.0',
    b'9',
    json.dumps('\ud800').encode(),
    b'\x00',
    b'\xff\xfe',
    b'\xef\xbb\xbf',
)


def import_messages() -> None:
    """Import all modules of messages, which registers their types."""
    for found in pkgutil.walk_packages(
        components.__path__, f'{components.__name__}.'
    ):
        if found.name.endswith('messages'):
            importlib.import_module(found.name)


import_messages()
RECORD_TYPES = registered_types()


def packed(hint: Any) -> st.SearchStrategy:
    """Return a strategy for packed fields of an annotation."""
    if hint in SCALARS:
        return SCALARS[hint]
    members = get_args(hint)
    origin = get_origin(hint)
    if origin is list or (origin is tuple and members[-1] is Ellipsis):
        return st.lists(packed(members[0]), max_size=3)
    if origin is tuple:
        return st.tuples(*map(packed, members)).map(list)
    if origin is dict:
        return st.dictionaries(*map(packed, members), max_size=3)
    if members:
        return st.none() | packed(members[0])
    return packed_fields(hint)


def packed_fields(record_type: type) -> st.SearchStrategy:
    """Return a strategy for the packed fields of a type of record."""
    hints = get_type_hints(record_type.__init__)
    hints.pop('return')
    return st.tuples(*map(packed, hints.values())).map(list)


@st.composite
def frames(draw: Callable[..., Any]) -> tuple[list[Any], bytes]:
    """Draw the body of a valid frame and a frame that resembles it."""
    number = draw(st.sampled_from(sorted(RECORD_TYPES)))
    body = [1, number, *draw(packed_fields(RECORD_TYPES[number]))]
    changed = list(body)
    changed[draw(st.integers(0, len(body) - 1))] = draw(ANYTHING)
    frame = msgpack.packb(changed)
    return body, draw(st.just(frame) | mutate(frame, FRAME_TOKENS))


def _is_json(field: object) -> bool:
    try:
        encode_json(field)
    except TypeError:
        return False
    return True


class FuzzCase(TestCase):
    """Checks of what is raised and of the memory that is taken."""

    def check(
        self,
        read: Callable[..., Any],
        content: Any,
        own_error: type[Exception],
        most: int = ERROR_FACTOR,
        **options: Any,
    ) -> None:
        """Check that only its own error is raised.

        Its text has at most ``most`` characters for each byte and some more.
        """
        with check_memory(len(content), self.fail):
            try:
                read(content, **options)
            except own_error as error:
                text = str(error)
            else:
                return
        limit = ERROR_CHARACTERS + most * len(content)
        self.assertThat(len(text), LessThan(limit))


class FrameFuzzTest(FuzzCase):
    """Frames between hosts."""

    @given(frames())
    def test_frames(self, drawn: tuple[list[Any], bytes]) -> None:
        """Valid frames are decoded; others raise the decoder's error."""
        body, frame = drawn
        sent = encode(decode(msgpack.packb(body)))
        self.assertThat(encode(decode(sent)), Equals(sent))
        self.check(decode, frame, WireError, most=0)
        skipped: list[str] = []
        self.check(decode, frame, WireError, most=0, skipped=skipped)
        for reason in skipped:
            self.assertThat(len(reason), LessThan(ERROR_CHARACTERS))


class HeartbeatFuzzTest(FuzzCase):
    """Heartbeats of searchers."""

    @given(mutate(encode_json(dict(ANNOUNCEMENT)), JSON_TOKENS))
    def test_heartbeats(self, content: bytes) -> None:
        """Heartbeats are read or refused; those that are read can be sent."""
        self.check(
            lambda body: read_announcement('i', body), content, SettingsError
        )
        self.check(read_start, content, SettingsError)

    @given(st.sampled_from(sorted(ANNOUNCEMENT)), ANYTHING.filter(_is_json))
    def test_fields(self, name: str, field: object) -> None:
        """A field of any type is read or refused."""
        content = encode_json({**ANNOUNCEMENT, name: field})
        self.check(
            lambda body: read_announcement('i', body), content, SettingsError
        )

    @given(st.text(st.characters(exclude_categories=())))
    def test_ids(self, text: str) -> None:
        """Ids of searchers are read or refused."""
        self.check(read_searcher_id, text, SettingsError)


class DocumentFuzzTest(FuzzCase):
    """Deployment documents."""

    @given(mutate(encode_json({**DOCUMENT, 'tenants': CUSTOMERS}), JSON_TOKENS))
    def test_documents(self, content: bytes) -> None:
        """Documents are read or refused; accepted ones are read again."""
        self.check(read_document, content, SettingsError)
        self.check(read_accepted_document, content, SettingsError)
        with suppress(SettingsError):
            read_document(content)
            read_accepted_document(content)

    @given(st.data())
    def test_fields(self, drawn: st.DataObject) -> None:
        """A field of any type in any place is read or refused."""
        table = {**DOCUMENT, 'tenants': list(CUSTOMERS)}
        node: Any = table
        is_last = False
        while not is_last:
            places = (
                sorted(node) if isinstance(node, dict) else range(len(node))
            )
            place = drawn.draw(st.sampled_from(places))
            child = copy.deepcopy(node[place])
            is_leaf = not isinstance(child, (dict, list, tuple)) or not child
            is_last = is_leaf or drawn.draw(st.booleans())
            if is_last:
                child = drawn.draw(ANYTHING.filter(_is_json))
            elif isinstance(child, tuple):
                child = list(child)
            node[place] = child
            node = child
        content = encode_json(table)
        self.check(read_document, content, SettingsError)
        self.check(read_accepted_document, content, SettingsError)
